//! Ends of calls and of runs.

use std::collections::BTreeSet;

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{
    Attempt, CallId, Credits, Failure, FailureReason, Outcome, RefusalReason, RunId, RunPhase,
    TenantId, Timestamp,
};

use super::Partition;
use super::intake::refusal;
use crate::Effect;
use crate::event::Connection;
use crate::soft::{Ending, OpenCall, Stage};

/// How an open call is stopped when its run ends.
enum Stop {
    /// Let it finish: it must not be repeated and has been sent.
    Finish,
    /// It was surely not run.
    Refuse,
    /// It may have run; the whole of what was set aside is charged.
    Fail(Credits),
}

impl Partition {
    /// Journals the one outcome of an open call; its callers hear of it once it is read back.
    pub(super) fn end_call(&mut self, _now: Timestamp, id: CallId, outcome: Outcome) {
        let Some(open) = self.soft.open(id.run, id.number) else {
            return;
        };
        if open.stage == Stage::Closing {
            return;
        }
        open.stage = Stage::Closing;
        let chunks = open.answer.next_index();
        self.append(JournalBody::CallEnded {
            call: id,
            outcome,
            chunks,
        });
    }

    pub(super) fn on_call_ended(
        &mut self,
        now: Timestamp,
        id: CallId,
        outcome: Outcome,
        chunks: u32,
    ) {
        self.count_outcome(&outcome);
        self.soft.notes.end(id, now);
        let expected_reuse = self
            .journal
            .call(id)
            .and_then(|call| call.spec.expected_reuse);
        let work = self.soft.work(id.run, now);
        work.idle_since = now;
        if let Some(open) = work.open.take() {
            self.tell_end(&open.callers, id, chunks, &outcome);
        }
        self.advance_ending(now, id.run);
        self.advance(now, id.run);
        let paused = self
            .soft
            .runs
            .get(&id.run)
            .is_none_or(|work| work.accepting.is_none());
        if paused && self.is_run_active(id.run) {
            let run = id.run;
            self.emit(Effect::RunPaused {
                run,
                expected_reuse,
            });
        }
        let gap_due = now + self.settings.earlier_call_wait;
        self.wake_at(gap_due, id.run);
        self.prepare_release(now);
    }

    pub(super) fn last_attempt_of(&self, id: CallId) -> Option<Attempt> {
        let call = self.journal.call(id)?;
        Some(call.last_attempt()?.attempt)
    }

    fn count_outcome(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Completed(_) => &mut self.counters.calls_completed,
            Outcome::Refused(_) => &mut self.counters.calls_refused,
            Outcome::Failed(_) => &mut self.counters.calls_failed,
            Outcome::Unknown(_) => &mut self.counters.calls_unknown,
        };
        *counter += 1;
    }

    pub(super) fn on_end_run(
        &mut self,
        now: Timestamp,
        connection: Connection,
        tenant: &TenantId,
        run: RunId,
    ) {
        if !self.is_serving() {
            return self.turn_away([connection], run, None);
        }
        let Some(state) = self.journal.run_of(tenant, run) else {
            let refusal = refusal(RefusalReason::RunNotFound, None);
            return self.send(connection, NodeMessage::RunRefused { run, refusal });
        };
        let phase = state.phase;
        if !state.is_active() {
            return self.send(connection, NodeMessage::RunEnded { run, phase });
        }
        self.begin_ending(now, run, RunPhase::Ended, Some(connection));
    }

    pub(super) fn is_ending(&self, run: RunId) -> bool {
        let work = self.soft.runs.get(&run);
        work.is_some_and(|work| work.ending.is_some())
    }

    /// Begins to end a run and its sub-agents.
    pub(super) fn begin_ending(
        &mut self,
        now: Timestamp,
        run: RunId,
        phase: RunPhase,
        connection: Option<Connection>,
    ) {
        if !self.is_run_active(run) {
            return;
        }
        let work = self.soft.work(run, now);
        let begun = work.ending.is_some();
        let ending = work.ending.get_or_insert_with(|| Ending {
            phase,
            connections: BTreeSet::new(),
            appended: false,
        });
        ending.connections.extend(connection);
        if begun {
            return;
        }
        self.refuse_all_waiting(run, phase);
        let children = self.journal.runs.get(&run).map(|state| &state.children);
        let children: Vec<RunId> = children.into_iter().flatten().copied().collect();
        for child in children {
            self.begin_ending(now, child, RunPhase::Cancelled, None);
        }
        self.cancel_open_call(now, run);
        self.advance_ending(now, run);
    }

    fn refuse_all_waiting(&mut self, run: RunId, phase: RunPhase) {
        let reason = match phase {
            RunPhase::LimitReached => RefusalReason::RunLimitReached,
            _ => RefusalReason::RunEnded,
        };
        for (id, submission) in self.soft.queue.take_run(run) {
            self.refuse_submission(id, &submission, refusal(reason, None));
        }
    }

    /// Appends the end of a run once nothing of it is open.
    pub(super) fn advance_ending(&mut self, now: Timestamp, run: RunId) {
        let Some(state) = self.journal.runs.get(&run) else {
            return;
        };
        let closed = state.open_call().is_none() && state.children.is_empty();
        let Some(work) = self.soft.runs.get_mut(&run) else {
            return;
        };
        let busy = work.open.is_some() || work.accepting.is_some();
        let Some(ending) = &mut work.ending else {
            return;
        };
        if busy || !closed || ending.appended {
            return;
        }
        ending.appended = true;
        let phase = ending.phase;
        self.append(JournalBody::RunEnded {
            run,
            phase,
            at: now,
        });
    }

    pub(super) fn on_run_ended(&mut self, now: Timestamp, run: RunId, phase: RunPhase) {
        if let Some(work) = self.soft.runs.get_mut(&run)
            && let Some(ending) = work.ending.take()
        {
            for connection in ending.connections {
                self.send(connection, NodeMessage::RunEnded { run, phase });
            }
        }
        self.drop_idle_work(run);
        if let Some(due) = self.longest_life_end(run) {
            self.soft.timers.remove(&(due, run));
        }
        self.begin_memory_release(now, run);
        let parent = self
            .journal
            .runs
            .get(&run)
            .and_then(|state| state.spec.parent);
        if let Some(parent) = parent {
            self.advance_ending(now, parent);
        }
    }

    /// A sub-agent was started while its parent was ending: end it too, then try again.
    pub(super) fn on_end_rejected(&mut self, now: Timestamp, run: RunId) {
        if let Some(work) = self.soft.runs.get_mut(&run)
            && let Some(ending) = &mut work.ending
        {
            ending.appended = false;
        }
        let children = self.journal.runs.get(&run).map(|state| &state.children);
        let children: Vec<RunId> = children.into_iter().flatten().copied().collect();
        for child in children {
            self.begin_ending(now, child, RunPhase::Cancelled, None);
        }
    }

    /// Stops the open call of a run that is ending, if it can be stopped.
    pub(super) fn cancel_open_call(&mut self, now: Timestamp, run: RunId) {
        let Some(open) = self.soft.runs.get(&run).and_then(|work| work.open.as_ref()) else {
            return;
        };
        let id = CallId {
            run,
            number: open.number,
        };
        let out = match &open.stage {
            Stage::Running(running) => Some(running.attempt),
            Stage::Withdrawn(attempt) => Some(*attempt),
            Stage::Closing => return,
            _ => None,
        };
        let stop = self.how_to_stop(id, open);
        if matches!(stop, Stop::Finish) {
            return;
        }
        if let Some(attempt) = out {
            self.emit(Effect::Cancel { call: id, attempt });
        }
        let outcome = match stop {
            Stop::Fail(cost) => Outcome::Failed(Failure {
                reason: FailureReason::Cancelled,
                detail: String::new(),
                cost,
            }),
            Stop::Refuse | Stop::Finish => Outcome::Refused(refusal(RefusalReason::RunEnded, None)),
        };
        self.end_call(now, id, outcome);
    }

    fn how_to_stop(&self, id: CallId, open: &OpenCall) -> Stop {
        let Some(call) = self.journal.open_call(id) else {
            return Stop::Finish;
        };
        let sent = match &open.stage {
            Stage::Running(running) => running.sent.is_some(),
            _ => false,
        };
        if sent && !call.spec.repeatable {
            return Stop::Finish;
        }
        if sent {
            return Stop::Fail(call.held());
        }
        match &open.stage {
            Stage::Backoff(plan) | Stage::AwaitingCaller { then: plan, .. } if open.ran_before => {
                Stop::Fail(plan.spent)
            }
            _ if open.ran_before => Stop::Fail(call.held()),
            _ => Stop::Refuse,
        }
    }
}
