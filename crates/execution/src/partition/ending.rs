//! Ending of calls and of runs.

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
use crate::soft_state::{OpenCall, RunEnding, Stage};

/// How an open call is cancelled when its run ends.
enum CancelAction {
    /// Let it finish, because it was sent and must not be repeated.
    Finish,
    /// Refuse it, because it did not run.
    Refuse,
    /// Fail it with this cost, because it may have run.
    Fail(Credits),
}

impl Partition {
    /// Journals the outcome of an open call. It is sent to the callers once the record is read
    /// back.
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
        self.soft.notes.record_end(id, now);
        let expected_reuse = self
            .journal
            .call(id)
            .and_then(|call| call.spec.expected_reuse);
        let activity = self.soft.activity(id.run, now);
        activity.idle_since = now;
        if let Some(open) = activity.open.take() {
            self.send_end_to_callers(&open.callers, id, chunks, &outcome);
        }
        self.advance_ending(now, id.run);
        self.advance(now, id.run);
        let paused = self
            .soft
            .runs
            .get(&id.run)
            .is_none_or(|activity| activity.accepting.is_none());
        if paused && self.is_run_active(id.run) {
            let run = id.run;
            self.emit(Effect::RunPaused {
                run,
                expected_reuse,
            });
        }
        let predecessor_due = now + self.settings.earlier_call_wait;
        self.wake_at(predecessor_due, id.run);
        self.withdraw_unsent_attempts(now);
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
            return self.redirect([connection], run, None);
        }
        let Some(state) = self.journal.run_of(tenant, run) else {
            let refusal = refusal(RefusalReason::RunNotFound, None);
            return self.send(connection, NodeMessage::RunRefused { run, refusal });
        };
        let phase = state.phase;
        if !state.is_active() {
            return self.send(connection, NodeMessage::RunEnded { run, phase });
        }
        self.start_ending(now, run, RunPhase::Ended, Some(connection));
    }

    pub(super) fn is_ending(&self, run: RunId) -> bool {
        let activity = self.soft.runs.get(&run);
        activity.is_some_and(|activity| activity.ending.is_some())
    }

    /// Starts to end a run and its sub-agents.
    pub(super) fn start_ending(
        &mut self,
        now: Timestamp,
        run: RunId,
        phase: RunPhase,
        connection: Option<Connection>,
    ) {
        if !self.is_run_active(run) {
            return;
        }
        let activity = self.soft.activity(run, now);
        let already_ending = activity.ending.is_some();
        let ending = activity.ending.get_or_insert_with(|| RunEnding {
            phase,
            connections: BTreeSet::new(),
            appended: false,
        });
        ending.connections.extend(connection);
        if already_ending {
            return;
        }
        self.refuse_all_waiting(run, phase);
        let children = self.journal.runs.get(&run).map(|state| &state.children);
        let children: Vec<RunId> = children.into_iter().flatten().copied().collect();
        for child in children {
            self.start_ending(now, child, RunPhase::Cancelled, None);
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

    /// Appends the end of a run if it has no open call and no active sub-agent.
    pub(super) fn advance_ending(&mut self, now: Timestamp, run: RunId) {
        let Some(state) = self.journal.runs.get(&run) else {
            return;
        };
        let closed = state.open_call().is_none() && state.children.is_empty();
        let Some(activity) = self.soft.runs.get_mut(&run) else {
            return;
        };
        let busy = activity.open.is_some() || activity.accepting.is_some();
        let Some(ending) = &mut activity.ending else {
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
        if let Some(activity) = self.soft.runs.get_mut(&run)
            && let Some(ending) = activity.ending.take()
        {
            for connection in ending.connections {
                self.send(connection, NodeMessage::RunEnded { run, phase });
            }
        }
        self.drop_idle_activity(run);
        if let Some(due) = self.max_duration_end(run) {
            self.soft.timers.remove(&(due, run));
        }
        self.start_memory_release(now, run);
        let parent = self
            .journal
            .runs
            .get(&run)
            .and_then(|state| state.spec.parent);
        if let Some(parent) = parent {
            self.advance_ending(now, parent);
        }
    }

    /// Handles a rejected end of a run, which happens if a sub-agent was started while the run was
    /// ending. Ends the sub-agent; the end of the run is then appended again.
    pub(super) fn on_end_rejected(&mut self, now: Timestamp, run: RunId) {
        if let Some(activity) = self.soft.runs.get_mut(&run)
            && let Some(ending) = &mut activity.ending
        {
            ending.appended = false;
        }
        let children = self.journal.runs.get(&run).map(|state| &state.children);
        let children: Vec<RunId> = children.into_iter().flatten().copied().collect();
        for child in children {
            self.start_ending(now, child, RunPhase::Cancelled, None);
        }
    }

    /// Cancels the open call of a run that is ending, if that is possible.
    pub(super) fn cancel_open_call(&mut self, now: Timestamp, run: RunId) {
        let Some(open) = self
            .soft
            .runs
            .get(&run)
            .and_then(|activity| activity.open.as_ref())
        else {
            return;
        };
        let id = CallId {
            run,
            number: open.number,
        };
        let running_attempt = match &open.stage {
            Stage::Running(running) => Some(running.attempt),
            Stage::Withdrawn(attempt) => Some(*attempt),
            Stage::Closing => return,
            _ => None,
        };
        let action = self.cancel_action(id, open);
        if matches!(action, CancelAction::Finish) {
            return;
        }
        if let Some(attempt) = running_attempt {
            self.emit(Effect::Cancel { call: id, attempt });
        }
        let outcome = match action {
            CancelAction::Fail(cost) => Outcome::Failed(Failure {
                reason: FailureReason::Cancelled,
                detail: String::new(),
                cost,
            }),
            CancelAction::Refuse | CancelAction::Finish => {
                Outcome::Refused(refusal(RefusalReason::RunEnded, None))
            }
        };
        self.end_call(now, id, outcome);
    }

    fn cancel_action(&self, id: CallId, open: &OpenCall) -> CancelAction {
        let Some(call) = self.journal.open_call(id) else {
            return CancelAction::Finish;
        };
        let sent = match &open.stage {
            Stage::Running(running) => running.sent.is_some(),
            _ => false,
        };
        if sent && !call.spec.repeatable {
            return CancelAction::Finish;
        }
        if sent {
            return CancelAction::Fail(call.held());
        }
        match &open.stage {
            Stage::Backoff(plan) | Stage::AwaitingCaller { retry: plan, .. }
                if open.may_have_run =>
            {
                CancelAction::Fail(plan.spent)
            }
            _ if open.may_have_run => CancelAction::Fail(call.held()),
            _ => CancelAction::Refuse,
        }
    }
}
