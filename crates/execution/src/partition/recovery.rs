//! Recovery after a takeover: continues the calls that the previous owner left open.

use elderworks_types::{
    Attempt, CallId, CallRequest, EngineId, Epoch, FailureReason, RunId, Timestamp, UnknownReason,
};

use super::Partition;
use super::intake::SHORT_RETRY_AFTER;
use crate::Effect;
use crate::event::AttemptFailure;
use crate::soft_state::{
    AnswerBuffer, AttemptOrigin, Callers, OpenCall, RetryPlan, RunningAttempt, Stage,
};

/// What the journal says about the permitted attempt of a call that the previous owner left open.
enum InheritedAttempt {
    /// The attempt was not sent.
    Unsent,
    /// The attempt was sent to this engine.
    OnEngine(Attempt, EngineId),
    /// The attempt may have been sent to a tool or to an unknown engine.
    MaybeSent(Attempt),
}

impl Partition {
    /// Recovers open calls, then unfinished releases of engine memory, then the timers of active
    /// runs.
    pub(super) fn recover(&mut self, now: Timestamp, epoch: Epoch) {
        let open: Vec<RunId> = self.journal.open.iter().copied().collect();
        for run in open {
            self.recover_call(now, epoch, run);
        }
        let unreleased: Vec<RunId> = self.journal.unreleased.iter().copied().collect();
        for run in unreleased {
            self.start_memory_release(now, run);
        }
        let due: Vec<(Timestamp, RunId)> = self
            .journal
            .runs
            .iter()
            .filter(|(_, state)| state.is_active())
            .map(|(run, state)| (state.started + state.limits.max_duration, *run))
            .collect();
        self.soft.timers.extend(due);
    }

    fn recover_call(&mut self, now: Timestamp, epoch: Epoch, run: RunId) {
        if self.settings.faults.abandon_open_calls() {
            return;
        }
        let Some(call) = self.journal.runs.get(&run).and_then(|run| run.open_call()) else {
            return;
        };
        let id = CallId {
            run,
            number: call.spec.number,
        };
        let repeatable = call.spec.repeatable;
        let attempt = call.permitted;
        let started = call
            .last_attempt()
            .filter(|started| started.attempt == attempt);
        let inherited = match started {
            _ if call.unsent_at == Some(epoch) => InheritedAttempt::Unsent,
            Some(started) => match &started.engine {
                Some(engine) => InheritedAttempt::OnEngine(attempt, engine.clone()),
                None => InheritedAttempt::MaybeSent(attempt),
            },
            None if repeatable => InheritedAttempt::MaybeSent(attempt),
            None => InheritedAttempt::Unsent,
        };
        let has_charged_attempt = call.spent.0 > 0;
        let mut open = OpenCall::new(id.number, Callers::default());
        open.answer = AnswerBuffer::continuing(call.continue_text.clone(), call.continue_chunks);
        open.recovered = true;
        open.may_have_run = has_charged_attempt || !matches!(inherited, InheritedAttempt::Unsent);
        self.soft.activity(run, now).open = Some(open);
        self.soft.notes.start(id, now);
        self.soft
            .notes
            .add_line(id, "taken over from the previous owner");
        self.recover_by_status(now, id, repeatable, inherited);
    }

    fn recover_by_status(
        &mut self,
        now: Timestamp,
        id: CallId,
        repeatable: bool,
        inherited: InheritedAttempt,
    ) {
        match inherited {
            InheritedAttempt::Unsent => self.start_attempt(now, id),
            InheritedAttempt::MaybeSent(attempt)
                if self.settings.faults.resend_after_takeover() =>
            {
                self.dispatch(now, id, attempt);
            }
            InheritedAttempt::OnEngine(attempt, engine) => self.resume(now, id, attempt, engine),
            InheritedAttempt::MaybeSent(_) if repeatable => {
                let plan = self.recovery_plan(now, id);
                self.try_retry(now, id, plan);
            }
            InheritedAttempt::MaybeSent(attempt) => {
                self.query_or_unknown(now, id, attempt, UnknownReason::OwnerLost);
            }
        }
    }

    fn resume(&mut self, now: Timestamp, id: CallId, attempt: Attempt, engine: EngineId) {
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let from_chunk = call.continue_chunks;
        let limit = call.terms.timeout + self.settings.timeout_grace;
        if let Some(open) = self.soft.open(id.run, id.number) {
            open.stage = Stage::Running(RunningAttempt {
                attempt,
                origin: AttemptOrigin::Resumed,
                sent: Some(now),
            });
        }
        self.counters.resumed += 1;
        self.soft
            .notes
            .add_attempt(id, attempt, Some(engine.clone()), now);
        self.wake_at(now + limit, id.run);
        self.emit(Effect::Resume {
            call: id,
            attempt,
            engine,
            from_chunk,
        });
    }

    /// Returns the plan for the next attempt of a call that the previous owner may have sent. The
    /// consumption of that attempt is unknown, so its whole reservation is charged.
    fn recovery_plan(&self, now: Timestamp, id: CallId) -> RetryPlan {
        let spent = self
            .journal
            .open_call(id)
            .map_or_else(Default::default, |call| call.held());
        RetryPlan {
            due_at: now,
            since: now,
            spent,
            reason: FailureReason::AttemptsExhausted,
            retry_after: Some(SHORT_RETRY_AFTER),
            for_recovery: true,
        }
    }

    /// Handles an attempt of the previous owner that could not be resumed. If no caller of a model
    /// call is connected, waits for one to report which part of the answer it has received, so that
    /// the next attempt can continue it.
    pub(super) fn on_resume_failed(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        failure: AttemptFailure,
    ) {
        if let AttemptFailure::Errored { .. } = failure {
            self.treat_as_dispatched(id, attempt);
            return self.on_attempt_failed(now, id, attempt, failure);
        }
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let is_model = matches!(call.spec.request, CallRequest::Model(_));
        if !call.spec.repeatable {
            return self.query_or_unknown(now, id, attempt, UnknownReason::OwnerLost);
        }
        self.soft
            .notes
            .add_line(id, format!("attempt {attempt} could not be resumed"));
        let plan = self.recovery_plan(now, id);
        let wait = self.settings.resubmission_wait;
        let Some(open) = self.soft.open(id.run, id.number) else {
            return;
        };
        if !is_model || !open.callers.is_empty() {
            return self.try_retry(now, id, plan);
        }
        let due_at = now + wait;
        open.stage = Stage::AwaitingCaller {
            due_at,
            retry: plan,
        };
        self.wake_at(due_at, id.run);
    }

    fn treat_as_dispatched(&mut self, id: CallId, attempt: Attempt) {
        if let Some(running) = self.running(id, attempt) {
            running.origin = AttemptOrigin::Dispatched;
        }
    }

    /// Handles a resubmission by a caller, which reports the part of the answer that it has
    /// received.
    pub(super) fn on_caller_returned(&mut self, now: Timestamp, id: CallId) {
        let Some(open) = self.soft.open(id.run, id.number) else {
            return;
        };
        if let Stage::AwaitingCaller { retry, .. } = &open.stage {
            let plan = retry.clone();
            self.try_retry(now, id, plan);
        }
    }
}
