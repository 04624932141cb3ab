//! Observations of callers, back ends and operators. They are the only input of the checkers.

use std::collections::BTreeMap;

use elderworks_control::{Change, ControlError};
use elderworks_placement::Ticket;
use elderworks_protocol::sidecar::RunView;
use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{
    CallId, CallSpec, Credits, EngineId, Message, Outcome, Refusal, ResourceName, RunId, RunPhase,
    RunSpec, TenantId, ToolName, Usage,
};

use crate::kernel::Instant;

/// A call that a caller submitted to a sidecar.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Time of the submission.
    pub at: Instant,
    /// Submitted call.
    pub call: CallId,
    /// Call as specified by the caller.
    pub spec: CallSpec,
    /// Index of the sidecar.
    pub sidecar: usize,
}

/// An outcome that a caller received for a call.
#[derive(Clone, Debug)]
pub struct CallerOutcome {
    /// Time at which the outcome arrived.
    pub at: Instant,
    /// Time of the submission that this outcome answers.
    pub submitted: Instant,
    /// Call that the outcome belongs to.
    pub call: CallId,
    /// Concatenated chunks received for that submission; `None` if there were none.
    pub streamed: Option<String>,
    /// Received outcome.
    pub outcome: Outcome,
}

/// Reply to a caller's request to start a run.
#[derive(Clone, Debug)]
pub struct RunStart {
    /// Time at which the reply arrived.
    pub at: Instant,
    /// Time of the request.
    pub submitted: Instant,
    /// Requested run.
    pub spec: RunSpec,
    /// Content of the reply.
    pub result: Result<(), Refusal>,
}

/// Reply to a caller that confirms the end of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd {
    /// Time at which the reply arrived.
    pub at: Instant,
    /// Ended run.
    pub run: RunId,
    /// Final phase of the run.
    pub phase: RunPhase,
}

/// Reply to a caller's read of a run.
#[derive(Clone, Debug)]
pub struct RunRead {
    /// Time at which the reply arrived.
    pub at: Instant,
    /// Requested run.
    pub run: RunId,
    /// Messages that the history must begin with, as known to the caller.
    pub known: Vec<Message>,
    /// Content of the reply; `None` if the run was not found.
    pub view: Option<Box<RunView>>,
}

/// A request that an engine accepted.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Time at which the engine accepted the request.
    pub at: Instant,
    /// Engine that executes the request.
    pub engine: EngineId,
    /// Id of the request.
    pub ticket: Ticket,
    /// Messages of the prompt.
    pub messages: Vec<Message>,
    /// Text produced by an earlier attempt, which the engine continues.
    pub continue_text: String,
    /// Text generated so far, without `continue_text`.
    pub generated: String,
    /// Time and kind of the end; `None` while the generation is running.
    pub ended: Option<(Instant, GenerationEnd)>,
    /// Tokens consumed so far.
    pub usage: Usage,
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GenerationEnd {
    /// The answer was generated completely.
    Completed,
    /// The request was cancelled.
    Cancelled,
    /// The engine crashed or left.
    EngineLost,
}

/// An invocation that a tool executed.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Time at which the execution started.
    pub at: Instant,
    /// Invoked tool.
    pub tool: ToolName,
    /// Attempt that sent the invocation.
    pub ticket: Ticket,
    /// Arguments as JSON text.
    pub arguments: String,
    /// Idempotency key of the invocation.
    pub key: String,
    /// Result of the execution, whether or not it reached the node.
    pub result: String,
}

/// Reply to an operator's change of a resource.
#[derive(Clone, Debug)]
pub struct OperatorChange {
    /// Time at which the reply arrived.
    pub at: Instant,
    /// Time of the request.
    pub submitted: Instant,
    /// Index of the operator.
    pub operator: usize,
    /// Index of the node that received the request.
    pub node: usize,
    /// Requested state of the resource.
    pub resource: Resource,
    /// Revision that the change requires to be current.
    pub expected: Option<elderworks_types::Offset>,
    /// Content of the reply.
    pub result: Result<Change, ControlError>,
}

/// Reply to an operator's read of a resource from a ready node.
#[derive(Clone, Debug)]
pub struct OperatorRead {
    /// Time at which the reply arrived.
    pub at: Instant,
    /// Time of the request.
    pub submitted: Instant,
    /// Index of the node.
    pub node: usize,
    /// Generation of the node, counted by starts of its process.
    pub generation: u32,
    /// Requested kind.
    pub kind: Kind,
    /// Requested name.
    pub name: ResourceName,
    /// Content of the reply; `None` if the resource does not exist.
    pub resource: Option<Resource>,
}

/// Announced departure of an engine.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Time of the announcement.
    pub at: Instant,
    /// Time at which the engine exits, by the end of the grace period at the latest.
    pub until: Instant,
    /// Departing engine.
    pub engine: EngineId,
}

/// Request to a node to drain and exit.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Time of the request.
    pub at: Instant,
    /// Index of the node.
    pub node: usize,
    /// Time at which the node exited after draining; `None` if it did not.
    pub exited: Option<Instant>,
}

/// A run for which an engine still holds memory when the simulation ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Engine that holds the memory.
    pub engine: EngineId,
    /// Run for which the memory is held.
    pub run: RunId,
}

/// Everything observed in one simulation.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Calls submitted to sidecars.
    pub submissions: Vec<Submission>,
    /// Outcomes received by callers.
    pub outcomes: Vec<CallerOutcome>,
    /// Replies to requests to start runs.
    pub run_starts: Vec<RunStart>,
    /// Ends of runs confirmed to callers.
    pub run_ends: Vec<RunEnd>,
    /// Reads of runs by callers.
    pub run_reads: Vec<RunRead>,
    /// Requests accepted by engines.
    pub generations: Vec<Generation>,
    /// Invocations executed by tools.
    pub invocations: Vec<Invocation>,
    /// Replies to operators' changes.
    pub changes: Vec<OperatorChange>,
    /// Reads of resources by operators.
    pub reads: Vec<OperatorRead>,
    /// Announced departures of engines.
    pub departures: Vec<Departure>,
    /// Planned stops of nodes.
    pub planned_stops: Vec<PlannedStop>,
    /// Memory held by engines at the end of the simulation.
    pub holdings: Vec<Holding>,
    /// Callers that were not done when the simulation ended: run, and description of what the caller
    /// was waiting for.
    pub unfinished: Vec<(RunId, String)>,
    /// Time at which the last fault stopped.
    pub faults_stopped: Instant,
    /// Time at which the last caller was done; zero if some caller was not done.
    pub callers_done: Instant,
    /// Time at which the simulation ended.
    pub ended: Instant,
    /// Whether a fault applied that may interrupt requests in progress.
    pub had_abrupt_fault: bool,
    /// Whether a fault affected a process or the network.
    pub had_process_fault: bool,
    /// Budget limit of each tenant.
    pub tenant_limits: BTreeMap<TenantId, Credits>,
    /// Prices of the simulated services.
    pub prices: Prices,
}

/// Prices of tokens and tool invocations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Price of one prompt token.
    pub prompt_token: Credits,
    /// Price of one generated token.
    pub output_token: Credits,
    /// Price of one tool invocation.
    pub invocation: Credits,
}

impl Prices {
    /// Returns the cost of the tokens consumed by a generation.
    pub fn cost_of(&self, usage: &Usage) -> Credits {
        let prompt = self.prompt_token.0 * usage.prompt.0;
        let output = self.output_token.0 * usage.output.0;
        Credits(prompt + output)
    }
}
