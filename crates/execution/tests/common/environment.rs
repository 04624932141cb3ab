//! Simulated back ends and callers for random histories.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_execution::BackendRequest;
use elderworks_protocol::record::Writer;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{
    Attempt, CallId, CallSpec, Credits, EngineId, Message, Outcome, RunId, Tokens, UnknownReason,
    Usage, text,
};

use super::Node;
use super::build::{model_terms, tool_terms};

/// A request in transit to a back end. It can arrive after its sender has stopped.
#[derive(Clone, Debug)]
pub struct RequestInTransit {
    pub from: Writer,
    pub call: CallId,
    pub attempt: Attempt,
    pub engine: Option<EngineId>,
    pub request: BackendRequest,
}

/// A response in transit to a node.
#[derive(Clone, Debug)]
pub struct ReplyInTransit {
    pub to: Writer,
    pub call: CallId,
    pub attempt: Attempt,
    pub kind: ReplyKind,
}

#[derive(Clone, Debug)]
pub enum ReplyKind {
    Completed { content: String, usage: Usage },
    NotSent,
    Released(EngineId),
}

/// Simulated back ends and a record of what they executed.
#[derive(Default)]
pub struct Backends {
    /// Number of executions, answer and usage of each attempt.
    pub runs: BTreeMap<(CallId, Attempt), (u32, String, Usage)>,
    /// Number of executions of each call that must not be repeated.
    pub unrepeatable_runs: BTreeMap<CallId, u32>,
    /// Actual cost of each run.
    pub cost: BTreeMap<RunId, Credits>,
    /// Runs for which each engine holds memory.
    pub held: BTreeSet<(RunId, EngineId)>,
    /// Runs for which each engine has received a release.
    pub released: BTreeSet<(RunId, EngineId)>,
    pub executed: BTreeSet<CallId>,
}

/// Returns the complete answer to a call.
pub fn complete_answer(call: CallId) -> String {
    format!("{call} says this")
}

impl Backends {
    /// Executes a request.
    pub fn execute(&mut self, request: &RequestInTransit) -> ReplyKind {
        let (content, usage, cost) = match &request.request {
            BackendRequest::Model {
                messages,
                continue_text,
                ..
            } => model_answer(request.call, messages, continue_text),
            BackendRequest::Tool { .. } => {
                *self.unrepeatable_runs.entry(request.call).or_default() += 1;
                let cost = tool_terms().per_invocation;
                (complete_answer(request.call), Usage::default(), cost)
            }
        };
        self.executed.insert(request.call);
        *self.cost.entry(request.call.run).or_default() += cost;
        if let Some(engine) = &request.engine {
            self.held.insert((request.call.run, engine.clone()));
        }
        let key = (request.call, request.attempt);
        let entry = self.runs.entry(key).or_insert((0, content.clone(), usage));
        entry.0 += 1;
        ReplyKind::Completed { content, usage }
    }

    /// Handles a release of engine memory.
    pub fn release(&mut self, run: RunId, engine: &EngineId) {
        let held = (run, engine.clone());
        self.held.remove(&held);
        self.released.insert(held);
    }

    /// Returns the stored response to an attempt, or `NotSent` if the attempt is unknown.
    pub fn stored_reply(&self, call: CallId, attempt: Attempt) -> ReplyKind {
        match self.runs.get(&(call, attempt)) {
            Some((_, content, usage)) => ReplyKind::Completed {
                content: content.clone(),
                usage: *usage,
            },
            None => ReplyKind::NotSent,
        }
    }
}

fn model_answer(call: CallId, messages: &[Message], continued: &str) -> (String, Usage, Credits) {
    let rest = complete_answer(call)[continued.len()..].to_owned();
    let prompt = text::token_count(&text::render_prompt(messages)) + text::token_count(continued);
    let usage = Usage {
        prompt,
        cached: Tokens::ZERO,
        output: text::token_count(&rest).max(Tokens(1)),
    };
    let terms = model_terms();
    let cost =
        usage.prompt.0 * terms.per_prompt_token.0 + usage.output.0 * terms.per_output_token.0;
    (rest, usage, Credits(cost))
}

/// Number of inconclusive refusals after which a sidecar gives up.
const MAX_INCONCLUSIVE_REFUSALS: u32 = 10;

/// A call tracked by its caller's sidecar.
#[derive(Debug)]
pub struct TrackedCall {
    pub spec: CallSpec,
    /// Node to which the call was last sent; `None` once that node redirected it or disconnected.
    pub last_node: Option<Node>,
    /// Whether another node may have accepted the call.
    pub may_be_accepted_elsewhere: bool,
    /// Number of refusals that don't prevent another node from accepting the call.
    pub inconclusive_refusals: u32,
    pub outcome: Option<Outcome>,
}

/// Sidecars of the callers, and the responses that they received.
#[derive(Default)]
pub struct Callers {
    pub calls: BTreeMap<CallId, TrackedCall>,
    pub ended: BTreeSet<RunId>,
    pub started: BTreeSet<RunId>,
}

impl Callers {
    /// Handles a message from a node.
    pub fn receive(&mut self, from: Node, message: NodeMessage) {
        match message {
            NodeMessage::RunStarted { run } => {
                self.started.insert(run);
            }
            NodeMessage::RunEnded { run, .. } => {
                self.ended.insert(run);
            }
            NodeMessage::NotOwner {
                run,
                number: Some(number),
                ..
            } => self.redirected(CallId { run, number }, from, false),
            NodeMessage::CallMoved { call } => self.redirected(call, from, true),
            NodeMessage::CallEnded {
                call,
                outcome,
                barred,
                ..
            } => self.end(call, from, outcome, barred.is_some()),
            _ => {}
        }
    }

    fn redirected(&mut self, call: CallId, from: Node, accepted: bool) {
        let Some(held) = self.calls.get_mut(&call) else {
            return;
        };
        if held.last_node == Some(from) {
            held.last_node = None;
            held.may_be_accepted_elsewhere |= accepted;
        }
    }

    fn end(&mut self, call: CallId, from: Node, outcome: Outcome, binds_all: bool) {
        let Some(held) = self.calls.get_mut(&call) else {
            return;
        };
        if let Some(first) = &held.outcome {
            let contradicts = match first {
                Outcome::Completed(_) => *first != outcome,
                Outcome::Refused(_) => matches!(outcome, Outcome::Completed(_)),
                Outcome::Failed(_) | Outcome::Unknown(_) => false,
            };
            assert!(!contradicts, "{call}: {first:?}, then {outcome:?}");
            return;
        }
        if held.last_node != Some(from) && !matches!(outcome, Outcome::Completed(_)) {
            return;
        }
        held.outcome = match outcome {
            Outcome::Refused(refusal) if held.may_be_accepted_elsewhere && !binds_all => {
                held.last_node = None;
                held.inconclusive_refusals += 1;
                // A transient refusal is retried a limited number of times. After that, or for any
                // other refusal, the outcome is unknown.
                let gives_up = refusal.retry_after.is_none()
                    || held.inconclusive_refusals > MAX_INCONCLUSIVE_REFUSALS;
                gives_up.then_some(Outcome::Unknown(UnknownReason::OwnerLost))
            }
            outcome => Some(outcome),
        };
    }

    /// Records that a call is sent to a node. If it was sent to another node before, that one may
    /// have accepted it.
    pub fn sent_to(&mut self, call: CallId, node: Node) {
        let Some(held) = self.calls.get_mut(&call) else {
            return;
        };
        held.may_be_accepted_elsewhere |= held.last_node.is_some_and(|before| before != node);
        held.last_node = Some(node);
    }

    /// Handles the loss of all connections to a node.
    pub fn disconnected(&mut self, node: Node) {
        for held in self.calls.values_mut() {
            if held.last_node == Some(node) {
                held.last_node = None;
                held.may_be_accepted_elsewhere = true;
            }
        }
    }

    pub fn open(&self) -> Vec<CallId> {
        let open = self.calls.iter().filter(|(_, held)| held.outcome.is_none());
        open.map(|(call, _)| *call).collect()
    }
}
