//! Read access to runs for callers and operators.

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::sidecar::{AttemptView, CallView, NodeMessage, RunView};
use elderworks_types::{CallId, Credits, RunId, RunPhase, RunSpec, TenantId, Timestamp};

use super::Partition;
use crate::event::Connection;
use crate::soft_state::PendingRead;
use crate::state::{CallState, RunState};

/// Summary of a run, without its history and calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSummary {
    /// Specification given by the caller.
    pub spec: RunSpec,
    /// Current phase.
    pub phase: RunPhase,
    /// Time of the start.
    pub started: Timestamp,
    /// Credits spent so far.
    pub spent: Credits,
    /// Number of calls so far.
    pub calls: usize,
}

impl Partition {
    /// Returns summaries of all runs in this node's copy of the state, ordered by id. Intended for
    /// operators: the copy may be outdated and all tenants are included.
    pub fn run_summaries(&self) -> impl Iterator<Item = RunSummary> {
        self.journal.runs.values().map(|state| RunSummary {
            spec: state.spec.clone(),
            phase: state.phase,
            started: state.started,
            spent: state.spent,
            calls: state.calls.len(),
        })
    }

    /// Returns a run from this node's copy of the state. Intended for operators: the copy may be
    /// outdated and the tenant isn't checked.
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
        if !self.is_serving() || self.soft.reads.is_full() {
            return self.redirect([connection], run, None);
        }
        self.soft.reads.push(PendingRead {
            connection,
            query,
            tenant: tenant.clone(),
            run,
        });
        self.append_barrier();
    }

    /// Appends a barrier for the waiting reads, unless one is in flight. A node that was paused may
    /// have lost the ownership without having read the other node's claim. Reading a record of its
    /// own back proves that its state is at least as recent as the requests.
    fn append_barrier(&mut self) {
        if self.soft.reads.start_barrier() {
            self.append(JournalBody::Barrier);
        }
    }

    /// Answers the reads covered by the barrier: this node was still the owner after they arrived.
    pub(super) fn on_barrier(&mut self) {
        for read in self.soft.reads.finish_barrier() {
            let state = self.journal.run_of(&read.tenant, read.run);
            let view = state.map(|state| Box::new(self.run_view(state)));
            let query = read.query;
            self.send(read.connection, NodeMessage::RunView { query, view });
        }
        if self.is_serving() {
            self.append_barrier();
        }
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
