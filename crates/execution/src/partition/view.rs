//! A run as its caller may read it.

use elderworks_protocol::sidecar::{AttemptView, CallView, NodeMessage, RunView};
use elderworks_types::{CallId, Credits, RunId, RunPhase, RunSpec, TenantId, Timestamp};

use super::Partition;
use crate::event::Connection;
use crate::state::{CallState, RunState};

/// A run in a list, without its history and calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSummary {
    /// What its caller fixed.
    pub spec: RunSpec,
    /// Where it stands.
    pub phase: RunPhase,
    /// When it started.
    pub started: Timestamp,
    /// Spent so far.
    pub spent: Credits,
    /// Calls made so far.
    pub calls: usize,
}

impl Partition {
    /// Every run that this node has read, in order of id; for operators.
    pub fn summaries(&self) -> impl Iterator<Item = RunSummary> {
        self.journal.runs.values().map(|state| RunSummary {
            spec: state.spec.clone(),
            phase: state.phase,
            started: state.started,
            spent: state.spent,
            calls: state.calls.len(),
        })
    }

    /// The run as this node has read it, whoever asks; for operators.
    pub fn view(&self, run: RunId) -> Option<RunView> {
        Some(self.run_view(self.journal.runs.get(&run)?))
    }

    pub(super) fn on_read_run(
        &mut self,
        connection: Connection,
        query: u64,
        tenant: &TenantId,
        run: RunId,
    ) {
        if !self.is_serving() {
            return self.turn_away([connection], run, None);
        }
        let state = self.journal.run_of(tenant, run);
        let view = state.map(|state| Box::new(self.run_view(state)));
        self.send(connection, NodeMessage::RunView { query, view });
    }

    fn run_view(&self, state: &RunState) -> RunView {
        let calls = state
            .calls
            .iter()
            .map(|call| self.call_view(state.spec.id, call))
            .collect();
        RunView {
            spec: state.spec.clone(),
            phase: state.phase,
            spent: state.spent,
            reserved: state.reserved(),
            history: state.full_history(),
            calls,
        }
    }

    fn call_view(&self, run: RunId, call: &CallState) -> CallView {
        let number = call.spec.number;
        let notes = self.soft.notes.get(CallId { run, number });
        let notes = notes.cloned().unwrap_or_default();
        let attempts = call.attempts.iter().map(|attempt| {
            let noted = notes
                .attempts
                .iter()
                .find(|view| view.attempt == attempt.attempt);
            AttemptView {
                attempt: attempt.attempt,
                engine: attempt.engine.clone(),
                started: noted.map_or(Timestamp::default(), |view| view.started),
                first_chunk: noted.and_then(|view| view.first_chunk),
            }
        });
        CallView {
            spec: call.spec.clone(),
            outcome: call.end.as_ref().map(|end| end.outcome.clone()),
            attempts: attempts.collect(),
            received: notes.received,
            ended: notes.ended,
            notes: notes.lines,
        }
    }
}
