//! A run as its caller may read it.

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::sidecar::{AttemptView, CallView, NodeMessage, RunView};
use elderworks_types::{CallId, Credits, RunId, RunPhase, RunSpec, TenantId, Timestamp};

use super::Partition;
use crate::event::Connection;
use crate::soft::PendingRead;
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
    pub fn run_summaries(&self) -> impl Iterator<Item = RunSummary> {
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
        if !self.is_serving() || self.soft.reads.is_full() {
            return self.turn_away([connection], run, None);
        }
        self.soft.reads.push(PendingRead {
            connection,
            query,
            tenant: tenant.clone(),
            run,
        });
        self.begin_barrier();
    }

    /// A node that was paused may have lost the partition without knowing. What it answers to a
    /// read must not be older than the question, so it first reads a record of its own back.
    fn begin_barrier(&mut self) {
        if self.soft.reads.begin_barrier() {
            self.append(JournalBody::Barrier);
        }
    }

    /// This node still owned the partition after the covered reads had come.
    pub(super) fn on_barrier(&mut self) {
        for read in self.soft.reads.finish_barrier() {
            let state = self.journal.run_of(&read.tenant, read.run);
            let view = state.map(|state| Box::new(self.run_view(state)));
            let query = read.query;
            self.send(read.connection, NodeMessage::RunView { query, view });
        }
        if self.is_serving() {
            self.begin_barrier();
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
