//! What callers, back ends, operators and the log saw. Checkers read nothing else.

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

/// A caller handed a call to a sidecar.
#[derive(Clone, Debug)]
pub struct Submission {
    /// When.
    pub at: Instant,
    /// The call.
    pub call: CallId,
    /// As made.
    pub spec: CallSpec,
    /// To which sidecar.
    pub sidecar: usize,
}

/// A caller got the end of a call.
#[derive(Clone, Debug)]
pub struct CallerOutcome {
    /// When.
    pub at: Instant,
    /// When the caller handed over the submission that this answers.
    pub submitted: Instant,
    /// The call.
    pub call: CallId,
    /// Chunks delivered for that submission, joined; `None` where none came.
    pub streamed: Option<String>,
    /// The outcome.
    pub outcome: Outcome,
}

/// What became of a caller's wish to start a run.
#[derive(Clone, Debug)]
pub struct RunStart {
    /// When the reply came.
    pub at: Instant,
    /// When it was asked.
    pub submitted: Instant,
    /// As asked.
    pub spec: RunSpec,
    /// The reply.
    pub result: Result<(), Refusal>,
}

/// A caller was told that a run has ended.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd {
    /// When.
    pub at: Instant,
    /// The run.
    pub run: RunId,
    /// How.
    pub phase: RunPhase,
}

/// A caller read a run.
#[derive(Clone, Debug)]
pub struct RunRead {
    /// When the reply came.
    pub at: Instant,
    /// The run asked for.
    pub run: RunId,
    /// What the caller knows to be in the history, in order.
    pub known: Vec<Message>,
    /// The reply.
    pub view: Option<Box<RunView>>,
}

/// An engine took a request.
#[derive(Clone, Debug)]
pub struct Generation {
    /// When it arrived.
    pub at: Instant,
    /// The engine.
    pub engine: EngineId,
    /// The request's id.
    pub ticket: Ticket,
    /// The prompt.
    pub messages: Vec<Message>,
    /// The beginning of the answer, given by the request.
    pub continue_text: String,
    /// What the engine generated so far; does not repeat `continue_text`.
    pub generated: String,
    /// When it ended, and whether with a whole answer.
    pub ended: Option<(Instant, GenerationEnd)>,
    /// What it consumed so far.
    pub usage: Usage,
}

/// How an engine's work on a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GenerationEnd {
    /// With a whole answer.
    Completed,
    /// It was cancelled.
    Cancelled,
    /// The engine died or left.
    EngineLost,
}

/// A tool ran an invocation.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// When.
    pub at: Instant,
    /// The tool.
    pub tool: ToolName,
    /// The attempt that asked.
    pub ticket: Ticket,
    /// Arguments as JSON text.
    pub arguments: String,
    /// The key it was sent under.
    pub key: String,
    /// What it returned, or will.
    pub result: String,
}

/// An operator got the reply to a change.
#[derive(Clone, Debug)]
pub struct OperatorChange {
    /// When the reply came.
    pub at: Instant,
    /// When it was asked.
    pub submitted: Instant,
    /// Which operator.
    pub operator: usize,
    /// Asked of this node.
    pub node: usize,
    /// The resource as asked.
    pub resource: Resource,
    /// Revision on which the operator built.
    pub expected: Option<elderworks_types::Offset>,
    /// The reply.
    pub result: Result<Change, ControlError>,
}

/// An operator read a resource from a ready node.
#[derive(Clone, Debug)]
pub struct OperatorRead {
    /// When the reply came.
    pub at: Instant,
    /// When it was asked.
    pub submitted: Instant,
    /// From this node.
    pub node: usize,
    /// Which start of it.
    pub generation: u32,
    /// Kind asked for.
    pub kind: Kind,
    /// Name asked for.
    pub name: ResourceName,
    /// The resource, if there is one.
    pub resource: Option<Resource>,
}

/// An engine began to leave.
#[derive(Clone, Debug)]
pub struct Departure {
    /// When it said so.
    pub at: Instant,
    /// When it goes at the latest.
    pub until: Instant,
    /// The engine.
    pub engine: EngineId,
}

/// A node was asked to stop in order.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// When it was asked.
    pub at: Instant,
    /// Which node.
    pub node: usize,
    /// When it exited by itself.
    pub exited: Option<Instant>,
}

/// A run for which an engine still holds memory when the simulation ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The engine.
    pub engine: EngineId,
    /// The run.
    pub run: RunId,
}

/// Everything observed in one simulation.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Calls handed to sidecars.
    pub submissions: Vec<Submission>,
    /// Ends of calls as callers got them.
    pub outcomes: Vec<CallerOutcome>,
    /// Replies to starts of runs.
    pub run_starts: Vec<RunStart>,
    /// Runs that callers know to have ended.
    pub run_ends: Vec<RunEnd>,
    /// Runs as callers read them.
    pub run_reads: Vec<RunRead>,
    /// Requests taken by engines.
    pub generations: Vec<Generation>,
    /// Invocations run by tools.
    pub invocations: Vec<Invocation>,
    /// Replies to operators' changes.
    pub changes: Vec<OperatorChange>,
    /// Operators' reads.
    pub reads: Vec<OperatorRead>,
    /// Engines that left in order.
    pub departures: Vec<Departure>,
    /// Nodes that were asked to stop.
    pub planned_stops: Vec<PlannedStop>,
    /// What engines hold at the end.
    pub holdings: Vec<Holding>,
    /// Callers that were not done when the simulation ended: the run and what it waited for.
    pub unfinished: Vec<(RunId, String)>,
    /// When the last fault stopped.
    pub faults_stopped: Instant,
    /// When the last caller was done, or the simulation was ended.
    pub callers_done: Instant,
    /// When the simulation ended.
    pub ended: Instant,
    /// Whether any fault struck that cuts connections or ends processes without notice.
    pub had_abrupt_fault: bool,
    /// Whether any fault struck a process or the network, not only the platform.
    pub had_process_fault: bool,
    /// Most that each tenant may spend.
    pub tenant_limits: BTreeMap<TenantId, Credits>,
    /// Prices in force: per prompt token, per output token, per invocation.
    pub prices: Prices,
}

/// Prices of the simulated services.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Of one prompt token.
    pub prompt_token: Credits,
    /// Of one generated token.
    pub output_token: Credits,
    /// Of one tool invocation.
    pub invocation: Credits,
}

impl Prices {
    /// What a generation's consumption costs.
    pub fn cost_of(&self, usage: &Usage) -> Credits {
        let prompt = self.prompt_token.0 * usage.prompt.0;
        let output = self.output_token.0 * usage.output.0;
        Credits(prompt + output)
    }
}
