//! Order of a run's calls: each call is accepted after the previous one has ended.

use elderworks_protocol::journal::JournalBody;
use elderworks_types::{
    CallId, CallRequest, Credits, Outcome, Refusal, RefusalReason, RunId, RunPhase, TenantId,
    Timestamp, Tokens, text,
};

use super::Partition;
use super::intake::{SHORT_RETRY_AFTER, refusal};
use crate::soft_state::{Accepting, OpenCall, Submission};
use crate::state::{Inconsistency, RunState, reservation};

/// What to do with the next waiting call of a run.
enum CallDecision {
    /// Accept it and reserve its maximum cost.
    Accept(Credits),
    /// Wait for a larger allotment of this tenant; the amount is missing.
    AwaitAllotment(TenantId, Credits),
    /// Refuse it for this reason.
    Refuse(Refusal),
    /// End the run because it has reached a limit.
    EndRun,
}

impl Partition {
    /// Accepts the run's next call if no other call is open.
    pub(super) fn advance(&mut self, now: Timestamp, run: RunId) {
        while let Some((id, decision)) = self.next_decision(now, run) {
            match decision {
                CallDecision::Accept(reserved) => return self.accept(now, id, reserved),
                CallDecision::AwaitAllotment(tenant, missing) => {
                    return self.wait_for_allotment(now, id, tenant, missing);
                }
                CallDecision::Refuse(refusal) => self.refuse_waiting(id, refusal),
                CallDecision::EndRun => return self.end_run_at_limit(now, run),
            }
        }
        self.drop_idle_activity(run);
    }

    fn next_decision(&self, now: Timestamp, run: RunId) -> Option<(CallId, CallDecision)> {
        if !self.is_serving() || self.soft.release.is_some() || !self.log_reachable {
            return None;
        }
        let state = self.journal.runs.get(&run)?;
        let activity = self.soft.runs.get(&run)?;
        let busy =
            activity.accepting.is_some() || activity.open.is_some() || activity.ending.is_some();
        if busy || !state.is_active() || state.open_call().is_some() {
            return None;
        }
        let id = self.soft.queue.next_call(run, state.next_number())?;
        let submission = self.soft.queue.get(id)?;
        Some((id, self.decide(now, state, submission)))
    }

    fn decide(&self, now: Timestamp, state: &RunState, submission: &Submission) -> CallDecision {
        let spec = &submission.spec;
        if state.calls.len() as u32 >= state.limits.max_turns {
            return CallDecision::EndRun;
        }
        if spec.deadline.is_some_and(|deadline| deadline < now) {
            return CallDecision::Refuse(refusal(RefusalReason::DeadlinePassed, None));
        }
        let prompt = match &spec.request {
            CallRequest::Model(model) => state.prompt(model.history_prefix, &model.messages),
            CallRequest::Tool(_) => Some(Vec::new()),
        };
        let Some(prompt) = prompt else {
            return CallDecision::Refuse(refusal(RefusalReason::HistoryMissing, None));
        };
        let length: Tokens = prompt
            .iter()
            .map(|message| text::token_count(&message.content))
            .sum();
        if length > state.limits.max_history {
            return CallDecision::EndRun;
        }
        let reserved = if self.settings.faults.no_reservation() {
            Credits::ZERO
        } else {
            reservation(&submission.terms, &spec.request, &prompt, "")
        };
        self.decide_by_budget(state, reserved)
    }

    fn decide_by_budget(&self, state: &RunState, reserved: Credits) -> CallDecision {
        if state.available() < reserved {
            let reason = RefusalReason::RunBudgetExhausted;
            let may_return = state.carved > Credits::ZERO;
            return CallDecision::Refuse(refusal(reason, may_return.then_some(SHORT_RETRY_AFTER)));
        }
        if state.limits.tenant_budget {
            let tenant = &state.spec.tenant;
            let needed = reserved + self.soft.accepting_reservations(tenant);
            let available = self.allotment_available(tenant);
            if available < needed {
                let missing = needed.saturating_sub(available);
                return CallDecision::AwaitAllotment(tenant.clone(), missing);
            }
        }
        CallDecision::Accept(reserved)
    }

    fn accept(&mut self, now: Timestamp, id: CallId, reserved: Credits) {
        let tenant = self.journal.runs.get(&id.run).and_then(|state| {
            let uses_tenant_budget = state.limits.tenant_budget;
            uses_tenant_budget.then(|| state.spec.tenant.clone())
        });
        let Some(submission) = self.soft.queue.remove(id) else {
            return;
        };
        let body = JournalBody::CallAccepted {
            run: id.run,
            spec: submission.spec.clone(),
            reserved,
            terms: submission.terms,
        };
        let accepting = Accepting {
            submission,
            reserved,
            since: now,
            tenant,
        };
        self.soft.start_accepting(id.run, accepting);
        self.append(body);
    }

    fn refuse_waiting(&mut self, id: CallId, refusal: Refusal) {
        if let Some(submission) = self.soft.queue.remove(id) {
            self.refuse_submission(id, &submission, refusal);
        }
    }

    fn wait_for_allotment(
        &mut self,
        now: Timestamp,
        id: CallId,
        tenant: TenantId,
        missing: Credits,
    ) {
        let denied = self.request_allotment(now, &tenant, missing);
        let wait = self.settings.allotment_wait;
        let Some(submission) = self.soft.queue.get_mut(id) else {
            return;
        };
        let since = *submission.awaiting_allotment_since.get_or_insert(now);
        if denied || now.since(since) >= wait {
            let reason = RefusalReason::TenantBudgetExhausted;
            self.refuse_waiting(id, refusal(reason, Some(wait)));
            return self.drop_idle_activity(id.run);
        }
        self.soft
            .notes
            .add_line(id, "waiting for its tenant's allotment");
        self.wake_at(now + self.settings.allotment_interval, id.run);
    }

    /// Handles the read-back of an acceptance: the call is now open.
    pub(super) fn on_call_accepted(&mut self, now: Timestamp, run: RunId) {
        let Some(accepting) = self.soft.finish_accepting(run) else {
            return;
        };
        let number = accepting.submission.spec.number;
        let activity = self.soft.activity(run, now);
        activity.open = Some(OpenCall::new(number, accepting.submission.callers));
        self.counters.calls_accepted += 1;
        let id = CallId { run, number };
        self.soft
            .notes
            .add_line(id, format!("accepted, {} reserved", accepting.reserved));
        if self.is_read_back_too_late(now, accepting.since) {
            return self.withdraw(now, id);
        }
        self.start_attempt(now, id);
    }

    /// Returns whether a record took so long to be read back that the attempt it permits must not
    /// be sent.
    pub(super) fn is_read_back_too_late(&self, now: Timestamp, appended: Timestamp) -> bool {
        now.since(appended) >= self.settings.withdraw_after
    }

    /// Ends an accepted call that was not sent with a refusal.
    pub(super) fn withdraw(&mut self, now: Timestamp, id: CallId) {
        let reason = RefusalReason::LogUnavailable;
        let refusal = refusal(reason, Some(SHORT_RETRY_AFTER));
        self.end_call(now, id, Outcome::Refused(refusal));
    }

    /// Handles an acceptance that contradicted the state: the call was not accepted and has not
    /// run.
    pub(super) fn on_acceptance_rejected(
        &mut self,
        now: Timestamp,
        run: RunId,
        why: Inconsistency,
    ) {
        let Some(accepting) = self.soft.finish_accepting(run) else {
            return;
        };
        let submission = accepting.submission;
        let number = submission.spec.number;
        if why == Inconsistency::TenantBudget {
            self.soft.queue.insert(CallId { run, number }, submission);
            return self.advance(now, run);
        }
        let reason = match why {
            Inconsistency::RunBudget => RefusalReason::RunBudgetExhausted,
            Inconsistency::Run => RefusalReason::RunEnded,
            _ => RefusalReason::CallNumberReused,
        };
        self.refuse_submission(CallId { run, number }, &submission, refusal(reason, None));
        self.advance_ending(now, run);
        self.advance(now, run);
    }

    fn end_run_at_limit(&mut self, now: Timestamp, run: RunId) {
        self.counters.limits_reached += 1;
        self.start_ending(now, run, RunPhase::LimitReached, None);
    }

    /// Refuses waiting calls whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, now: Timestamp, run: RunId) {
        let waiting = self.soft.queue.of_run(run);
        let expired: Vec<CallId> = waiting
            .filter(|(_, submission)| submission.spec.deadline.is_some_and(|at| at < now))
            .map(|(id, _)| id)
            .collect();
        for id in expired {
            self.refuse_waiting(id, refusal(RefusalReason::DeadlinePassed, None));
        }
    }

    /// Refuses calls that have waited too long for an earlier call that hasn't arrived.
    pub(super) fn refuse_without_predecessor(&mut self, now: Timestamp, run: RunId) {
        let Some(state) = self.journal.runs.get(&run) else {
            return;
        };
        let next = state.next_number();
        let wait = self.settings.earlier_call_wait;
        let Some(activity) = self.soft.runs.get(&run) else {
            return;
        };
        let idle = activity.open.is_none() && activity.accepting.is_none();
        if !idle || self.soft.queue.next_call(run, next).is_some() {
            return;
        }
        let mut overdue: Vec<CallId> = Vec::new();
        let mut due = None;
        for (id, submission) in self.soft.queue.of_run(run) {
            let since = submission.received.max(activity.idle_since);
            if now.since(since) >= wait {
                overdue.push(id);
            } else {
                due = due.max(Some(since + wait));
            }
        }
        for id in overdue {
            let reason = RefusalReason::EarlierCallMissing;
            self.refuse_waiting(id, refusal(reason, Some(SHORT_RETRY_AFTER)));
        }
        if let Some(due) = due {
            self.wake_at(due, run);
        }
    }

    /// Removes the activity of a run if nothing is waiting or in progress.
    pub(super) fn drop_idle_activity(&mut self, run: RunId) {
        let idle = self
            .soft
            .runs
            .get(&run)
            .is_some_and(|activity| activity.is_idle());
        if idle && self.soft.queue.of_run(run).next().is_none() {
            self.soft.runs.remove(&run);
        }
    }
}
