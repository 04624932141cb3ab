//! Back ends and callers for random histories, with what they saw.

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

/// A request on its way to a back end; it arrives even if its sender is gone.
#[derive(Clone, Debug)]
pub struct Wire {
    pub from: Writer,
    pub call: CallId,
    pub attempt: Attempt,
    pub engine: Option<EngineId>,
    pub request: BackendRequest,
}

/// An answer on its way to a node.
#[derive(Clone, Debug)]
pub struct Reply {
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

/// Everything that back ends did.
#[derive(Default)]
pub struct Backends {
    /// How often each call was run, by attempt.
    pub runs: BTreeMap<(CallId, Attempt), (u32, String, Usage)>,
    /// How often each call was run that must not be repeated.
    pub single: BTreeMap<CallId, u32>,
    /// What each run really cost.
    pub cost: BTreeMap<RunId, Credits>,
    /// What engines hold.
    pub held: BTreeSet<(RunId, EngineId)>,
    /// What engines were ever told to release.
    pub released: BTreeSet<(RunId, EngineId)>,
    pub executed: BTreeSet<CallId>,
}

/// The whole answer of a model call.
pub fn whole_answer(call: CallId) -> String {
    format!("{call} says this")
}

impl Backends {
    /// Runs a request.
    pub fn execute(&mut self, wire: &Wire) -> ReplyKind {
        let (content, usage, cost) = match &wire.request {
            BackendRequest::Model {
                messages,
                continue_text,
                ..
            } => model_answer(wire.call, messages, continue_text),
            BackendRequest::Tool { .. } => {
                *self.single.entry(wire.call).or_default() += 1;
                let cost = tool_terms().per_invocation;
                (whole_answer(wire.call), Usage::default(), cost)
            }
        };
        self.executed.insert(wire.call);
        *self.cost.entry(wire.call.run).or_default() += cost;
        if let Some(engine) = &wire.engine {
            self.held.insert((wire.call.run, engine.clone()));
        }
        let key = (wire.call, wire.attempt);
        let entry = self.runs.entry(key).or_insert((0, content.clone(), usage));
        entry.0 += 1;
        ReplyKind::Completed { content, usage }
    }

    /// A release arrives.
    pub fn release(&mut self, run: RunId, engine: &EngineId) {
        let held = (run, engine.clone());
        self.held.remove(&held);
        self.released.insert(held);
    }

    /// What became of an attempt, as its back end remembers it.
    pub fn recall(&self, call: CallId, attempt: Attempt) -> ReplyKind {
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
    let rest = whole_answer(call)[continued.len()..].to_owned();
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

/// Doubtful refusals after which a sidecar gives up.
const MAX_DOUBTS: u32 = 10;

/// A call as its caller's sidecar holds it.
#[derive(Debug)]
pub struct HeldCall {
    pub spec: CallSpec,
    /// The node that was asked last.
    pub at: Option<Node>,
    /// Whether another node may have taken it.
    pub maybe_taken: bool,
    /// Refusals that did not speak for all nodes.
    pub doubts: u32,
    pub outcome: Option<Outcome>,
}

/// Callers' sidecars, and what callers were told.
#[derive(Default)]
pub struct Callers {
    pub calls: BTreeMap<CallId, HeldCall>,
    pub ended: BTreeSet<RunId>,
    pub started: BTreeSet<RunId>,
}

impl Callers {
    /// A node's message arrives.
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
            } => self.leave(CallId { run, number }, from, false),
            NodeMessage::CallMoved { call } => self.leave(call, from, true),
            NodeMessage::CallEnded {
                call,
                outcome,
                barred,
                ..
            } => self.end(call, from, outcome, barred.is_some()),
            _ => {}
        }
    }

    fn leave(&mut self, call: CallId, from: Node, taken: bool) {
        let Some(held) = self.calls.get_mut(&call) else {
            return;
        };
        if held.at == Some(from) {
            held.at = None;
            held.maybe_taken |= taken;
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
        if held.at != Some(from) && !matches!(outcome, Outcome::Completed(_)) {
            return;
        }
        held.outcome = match outcome {
            Outcome::Refused(refusal) if held.maybe_taken && !binds_all => {
                held.at = None;
                held.doubts += 1;
                // A refusal that time may cure is asked again for a while; then, or if it is
                // another, the fate stays unknown.
                let hopeless = refusal.retry_after.is_none() || held.doubts > MAX_DOUBTS;
                hopeless.then_some(Outcome::Unknown(UnknownReason::OwnerLost))
            }
            outcome => Some(outcome),
        };
    }

    /// A call goes to a node; if it was with another, that one may have taken it.
    pub fn hand_to(&mut self, call: CallId, node: Node) {
        let Some(held) = self.calls.get_mut(&call) else {
            return;
        };
        held.maybe_taken |= held.at.is_some_and(|before| before != node);
        held.at = Some(node);
    }

    /// A node's connections break.
    pub fn disconnected(&mut self, node: Node) {
        for held in self.calls.values_mut() {
            if held.at == Some(node) {
                held.at = None;
                held.maybe_taken = true;
            }
        }
    }

    pub fn open(&self) -> Vec<CallId> {
        let open = self.calls.iter().filter(|(_, held)| held.outcome.is_none());
        open.map(|(call, _)| *call).collect()
    }
}
