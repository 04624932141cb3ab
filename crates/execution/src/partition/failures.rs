//! Handling of failed attempts: retry the call or end it.

use std::time::Duration;

use elderworks_protocol::journal::JournalBody;
use elderworks_types::{
    Attempt, CallId, CallRequest, Credits, Failure, FailureReason, Outcome, Refusal, RefusalReason,
    Timestamp, UnknownReason, Usage,
};

use super::Partition;
use super::attempts::idempotency_key;
use super::intake::{SHORT_RETRY_AFTER, refusal};
use crate::Effect;
use crate::event::AttemptFailure;
use crate::retry::backoff;
use crate::soft_state::{AttemptOrigin, RetryPlan, RunningAttempt, Stage};
use crate::state::{CallState, Inconsistency, reservation};

/// Interval at which a postponed retry is checked again.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Partition {
    /// Handles a refusal by placement; the attempt was not sent.
    pub(super) fn on_attempt_refused(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        refusal: Refusal,
    ) {
        if self.running(id, attempt).is_none() {
            return;
        }
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let spent = call.spent;
        let outcome =
            self.outcome_without_answer(id, spent, FailureReason::AttemptsExhausted, refusal);
        self.end_call(now, id, outcome);
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        failure: AttemptFailure,
    ) {
        let Some(origin) = self.running(id, attempt).map(|running| running.origin) else {
            return;
        };
        match origin {
            AttemptOrigin::Dispatched => self.on_dispatch_failed(now, id, attempt, failure),
            AttemptOrigin::Resumed => self.on_resume_failed(now, id, attempt, failure),
            AttemptOrigin::Queried => self.on_query_failed(now, id, failure),
        }
    }

    fn on_dispatch_failed(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        failure: AttemptFailure,
    ) {
        match failure {
            AttemptFailure::NotSent => self.retry_not_run(now, id, attempt, None),
            AttemptFailure::Rejected { retry_after } => {
                self.retry_not_run(now, id, attempt, retry_after);
            }
            AttemptFailure::Lost { reason, .. } => self.on_attempt_lost(now, id, attempt, reason),
            AttemptFailure::Errored { detail, usage } => {
                self.end_with_error(now, id, detail, &usage);
            }
        }
    }

    /// Plans a retry of an attempt that did not run and costs nothing.
    fn retry_not_run(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        retry_after: Option<Duration>,
    ) {
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let requested_delay = retry_after.unwrap_or_default();
        let wait = backoff(&self.settings, id, attempt).max(requested_delay);
        let plan = RetryPlan {
            due_at: now + wait.min(self.settings.retry_backoff_limit),
            since: now,
            spent: call.spent,
            reason: FailureReason::AttemptsExhausted,
            retry_after: Some(retry_after.unwrap_or(SHORT_RETRY_AFTER)),
            for_recovery: false,
        };
        self.soft
            .notes
            .add_line(id, format!("attempt {attempt} did not run"));
        self.plan_retry(id, plan);
    }

    /// Handles an attempt that may have run. Its consumption is unknown, so its whole reservation
    /// is charged.
    pub(super) fn on_attempt_lost(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        reason: FailureReason,
    ) {
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let repeatable = call.spec.repeatable;
        let spent = call.held();
        self.soft
            .notes
            .add_line(id, format!("attempt {attempt} lost: {reason:?}"));
        if self.settings.faults.refuse_after_dispatch() {
            let refusal = refusal(RefusalReason::Overloaded, Some(SHORT_RETRY_AFTER));
            return self.end_call(now, id, Outcome::Refused(refusal));
        }
        if !repeatable {
            return self.query_or_unknown(now, id, attempt, unknown_reason(reason));
        }
        if let Some(open) = self.soft.open(id.run, id.number) {
            open.may_have_run = true;
        }
        self.emit(Effect::Cancel { call: id, attempt });
        let plan = RetryPlan {
            due_at: now + backoff(&self.settings, id, attempt),
            since: now,
            spent,
            reason,
            retry_after: Some(SHORT_RETRY_AFTER),
            for_recovery: false,
        };
        self.plan_retry(id, plan);
    }

    fn end_with_error(&mut self, now: Timestamp, id: CallId, detail: String, usage: &Usage) {
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let failure = Failure {
            reason: FailureReason::BackendError,
            detail,
            cost: self.cost_so_far(call, usage),
        };
        self.end_call(now, id, Outcome::Failed(failure));
    }

    /// Handles a call that was sent without a result and must not be repeated: queries its tool for
    /// the result, or ends a model call with an unknown outcome.
    pub(super) fn query_or_unknown(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        reason: UnknownReason,
    ) {
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let CallRequest::Tool(tool) = &call.spec.request else {
            return self.end_call(now, id, Outcome::Unknown(reason));
        };
        let effect = Effect::QueryTool {
            call: id,
            attempt,
            tool: tool.tool.clone(),
            idempotency_key: idempotency_key(id, call),
        };
        let limit = call.terms.timeout + self.settings.timeout_grace;
        let Some(open) = self.soft.open(id.run, id.number) else {
            return;
        };
        open.stage = Stage::Running(RunningAttempt {
            attempt,
            origin: AttemptOrigin::Queried,
            sent: Some(now),
        });
        self.counters.tool_queries += 1;
        self.soft
            .notes
            .add_line(id, "querying the tool for the result");
        self.wake_at(now + limit, id.run);
        self.emit(effect);
    }

    fn on_query_failed(&mut self, now: Timestamp, id: CallId, failure: AttemptFailure) {
        if let AttemptFailure::Errored { detail, usage } = failure {
            return self.end_with_error(now, id, detail, &usage);
        }
        let recovered = self
            .soft
            .open(id.run, id.number)
            .is_some_and(|open| open.recovered);
        let reason = if recovered {
            UnknownReason::OwnerLost
        } else {
            UnknownReason::ConnectionLost
        };
        self.end_call(now, id, Outcome::Unknown(reason));
    }

    pub(super) fn plan_retry(&mut self, id: CallId, plan: RetryPlan) {
        let due_at = plan.due_at;
        if let Some(open) = self.soft.open(id.run, id.number) {
            open.stage = Stage::Backoff(plan);
        }
        self.wake_at(due_at, id.run);
    }

    /// Reserves the next attempt if limits and budgets permit it; otherwise postpones it or gives
    /// up.
    pub(super) fn try_retry(&mut self, now: Timestamp, id: CallId, plan: RetryPlan) {
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let exhausted = call.permitted.0 >= self.settings.max_attempts;
        if exhausted && !plan.for_recovery {
            return self.give_up(now, id, &plan);
        }
        let Some(reserved) = self.next_reservation(id, call) else {
            return;
        };
        if !self.run_covers(id, call, plan.spent + reserved) {
            return self.give_up(now, id, &plan);
        }
        if !self.tenant_covers(now, id, plan.spent + reserved) {
            return self.delay_retry(now, id, plan);
        }
        if !plan.for_recovery && !self.soft.retry.spend(now) {
            self.counters.retries_delayed += 1;
            return self.delay_retry(now, id, plan);
        }
        self.reserve_next(id, plan.spent, reserved);
    }

    fn delay_retry(&mut self, now: Timestamp, id: CallId, plan: RetryPlan) {
        let may_have_run = self
            .soft
            .open(id.run, id.number)
            .is_some_and(|open| open.may_have_run);
        let limit = if may_have_run {
            self.settings.retry_wait
        } else {
            self.settings.not_run_retry_wait
        };
        if now.since(plan.since) >= limit {
            return self.give_up(now, id, &plan);
        }
        let due_at = now + RETRY_POLL_INTERVAL;
        self.plan_retry(id, RetryPlan { due_at, ..plan });
    }

    fn next_reservation(&self, id: CallId, call: &CallState) -> Option<Credits> {
        if self.settings.faults.no_reservation() {
            return Some(Credits::ZERO);
        }
        let prompt = self.prompt_of(id)?;
        let (text, _) = self.text_to_continue(id, call);
        Some(reservation(&call.terms, &call.spec.request, &prompt, &text))
    }

    /// Returns the text that the next attempt is to continue, and its number of chunks: the longer
    /// of the answer received here and the part reported by the caller.
    fn text_to_continue(&self, id: CallId, call: &CallState) -> (String, u32) {
        if let CallRequest::Tool(_) = call.spec.request {
            return (String::new(), 0);
        }
        let open = self
            .soft
            .runs
            .get(&id.run)
            .and_then(|activity| activity.open.as_ref());
        let Some(open) = open else {
            return (String::new(), 0);
        };
        if open.delivered.chunks > open.answer.next_index() {
            return (open.delivered.text.clone(), open.delivered.chunks);
        }
        (open.answer.text(), open.answer.next_index())
    }

    fn run_covers(&self, id: CallId, call: &CallState, needed: Credits) -> bool {
        let run = self.journal.runs.get(&id.run);
        let available = run.map_or(Credits::ZERO, |run| run.available());
        available + call.held() >= needed
    }

    fn tenant_covers(&mut self, now: Timestamp, id: CallId, needed: Credits) -> bool {
        let Some(run) = self.journal.runs.get(&id.run) else {
            return false;
        };
        if !run.limits.tenant_budget {
            return true;
        }
        let tenant = run.spec.tenant.clone();
        let held = run.open_call().map_or(Credits::ZERO, CallState::held);
        let available = self.allotment_available(&tenant) + held;
        if available >= needed {
            return true;
        }
        self.request_allotment(now, &tenant, needed.saturating_sub(available));
        false
    }

    fn reserve_next(&mut self, id: CallId, spent: Credits, reserved: Credits) {
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let attempt = call.permitted.next();
        let (continue_text, continue_chunks) = self.text_to_continue(id, call);
        if let Some(open) = self.soft.open(id.run, id.number) {
            open.stage = Stage::Reserving;
        }
        self.append(JournalBody::AttemptReserved {
            call: id,
            attempt,
            spent,
            reserved,
            continue_text,
            continue_chunks,
        });
    }

    /// Handles the read-back of a reservation: the next attempt can be started.
    pub(super) fn on_attempt_reserved(&mut self, now: Timestamp, id: CallId) {
        let reserving = self
            .soft
            .open(id.run, id.number)
            .is_some_and(|open| open.stage == Stage::Reserving);
        if reserving {
            self.start_attempt(now, id);
        }
    }

    /// Handles a reservation that contradicted the state: ends the call.
    pub(super) fn on_reservation_rejected(
        &mut self,
        now: Timestamp,
        id: CallId,
        _why: Inconsistency,
    ) {
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let plan = RetryPlan {
            due_at: now,
            since: now,
            spent: call.held(),
            reason: FailureReason::AttemptsExhausted,
            retry_after: Some(SHORT_RETRY_AFTER),
            for_recovery: false,
        };
        self.give_up(now, id, &plan);
    }

    pub(super) fn give_up(&mut self, now: Timestamp, id: CallId, plan: &RetryPlan) {
        let refusal = refusal(RefusalReason::Overloaded, plan.retry_after);
        let outcome = self.outcome_without_answer(id, plan.spent, plan.reason, refusal);
        self.end_call(now, id, outcome);
    }

    /// Returns a refusal if no attempt ran, otherwise a failure.
    pub(super) fn outcome_without_answer(
        &mut self,
        id: CallId,
        spent: Credits,
        reason: FailureReason,
        refusal: Refusal,
    ) -> Outcome {
        let may_have_run = self
            .soft
            .open(id.run, id.number)
            .is_none_or(|open| open.may_have_run);
        if !may_have_run {
            return Outcome::Refused(refusal);
        }
        Outcome::Failed(Failure {
            reason,
            detail: String::new(),
            cost: spent,
        })
    }
}

/// Returns the reason to report for a lost attempt whose result can't be determined.
pub(super) fn unknown_reason(reason: FailureReason) -> UnknownReason {
    match reason {
        FailureReason::TimedOut => UnknownReason::NoAnswer,
        _ => UnknownReason::ConnectionLost,
    }
}
