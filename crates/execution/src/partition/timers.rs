//! Timers and periodic work.

use elderworks_types::{CallId, FailureReason, RunId, RunPhase, Timestamp};

use super::Partition;
use crate::event::AttemptFailure;
use crate::soft_state::{RunningAttempt, Stage};

/// Action that is due for an open call.
enum DueAction {
    Retry,
    StopAwaitingCaller,
    TimeOut(RunningAttempt),
}

impl Partition {
    pub(super) fn on_tick(&mut self, now: Timestamp) {
        if self.owned.is_none() {
            return self.try_claim();
        }
        while let Some((at, run)) = self.soft.timers.first().copied() {
            if at > now {
                break;
            }
            self.soft.timers.pop_first();
            self.on_timer(now, run);
        }
        self.repeat_memory_releases(now);
        self.forget_ended(now);
        self.finish_release(now);
        self.snapshot_if_due();
    }

    fn on_timer(&mut self, now: Timestamp, run: RunId) {
        if !self.is_serving() {
            return;
        }
        self.end_run_past_max_duration(now, run);
        self.on_call_due(now, run);
        self.refuse_expired(now, run);
        self.refuse_without_predecessor(now, run);
        self.advance(now, run);
    }

    /// Returns when a run reaches the maximum duration that its program permits.
    pub(super) fn max_duration_end(&self, run: RunId) -> Option<Timestamp> {
        let state = self.journal.runs.get(&run)?;
        Some(state.started + state.limits.max_duration)
    }

    fn end_run_past_max_duration(&mut self, now: Timestamp, run: RunId) {
        let is_past_max_duration = self.journal.runs.get(&run).is_some_and(|state| {
            state.is_active() && now.since(state.started) >= state.limits.max_duration
        });
        if is_past_max_duration && !self.is_ending(run) {
            self.counters.limits_reached += 1;
            self.start_ending(now, run, RunPhase::LimitReached, None);
        }
    }

    fn on_call_due(&mut self, now: Timestamp, run: RunId) {
        let Some((id, due)) = self.due_action(now, run) else {
            return;
        };
        let stage = self
            .soft
            .open(run, id.number)
            .map(|open| open.stage.clone());
        match (due, stage) {
            (DueAction::Retry, Some(Stage::Backoff(plan))) => self.try_retry(now, id, plan),
            (DueAction::StopAwaitingCaller, Some(Stage::AwaitingCaller { retry, .. })) => {
                self.try_retry(now, id, retry);
            }
            (DueAction::TimeOut(running), _) => self.time_out(now, id, &running),
            _ => {}
        }
    }

    fn due_action(&self, now: Timestamp, run: RunId) -> Option<(CallId, DueAction)> {
        let open = self.soft.runs.get(&run)?.open.as_ref()?;
        let id = CallId {
            run,
            number: open.number,
        };
        let due = match &open.stage {
            Stage::Backoff(plan) if plan.due_at <= now => DueAction::Retry,
            Stage::AwaitingCaller { due_at, .. } if *due_at <= now => DueAction::StopAwaitingCaller,
            Stage::Running(running) if self.has_timed_out(now, id, running) => {
                DueAction::TimeOut(running.clone())
            }
            _ => return None,
        };
        Some((id, due))
    }

    fn has_timed_out(&self, now: Timestamp, id: CallId, running: &RunningAttempt) -> bool {
        let (Some(call), Some(sent)) = (self.journal.open_call(id), running.sent) else {
            return false;
        };
        now.since(sent) >= call.terms.timeout + self.settings.timeout_grace
    }

    /// Treats an attempt without a result as lost.
    fn time_out(&mut self, now: Timestamp, id: CallId, running: &RunningAttempt) {
        let failure = AttemptFailure::Lost {
            reason: FailureReason::TimedOut,
            usage: Default::default(),
        };
        self.on_attempt_failed(now, id, running.attempt, failure);
    }
}
