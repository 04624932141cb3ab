//! The order of a run's calls: the next one is accepted once the one before has ended.

use elderworks_protocol::journal::JournalBody;
use elderworks_types::{
    CallId, CallRequest, Credits, Outcome, Refusal, RefusalReason, RunId, RunPhase, TenantId,
    Timestamp, Tokens, text,
};

use super::Partition;
use super::intake::{SHORT_RETRY, refusal};
use crate::soft::{Accepting, OpenCall, Submission};
use crate::state::{Inconsistency, RunState, reservation};

/// What is to become of the call whose turn it is.
enum Turn {
    /// Accept it; this is the most it can cost.
    Accept(Credits),
    /// Its tenant's allotment is too small for now: by how much.
    Short(TenantId, Credits),
    /// Refuse it.
    Refuse(Refusal),
    /// The run is at its limit: end it.
    EndRun,
}

impl Partition {
    /// Accepts the run's next call if its turn has come.
    pub(super) fn advance(&mut self, now: Timestamp, run: RunId) {
        while let Some((id, turn)) = self.next_turn(now, run) {
            match turn {
                Turn::Accept(reserved) => return self.accept(now, id, reserved),
                Turn::Short(tenant, missing) => {
                    return self.wait_for_allotment(now, id, tenant, missing);
                }
                Turn::Refuse(refusal) => self.refuse_waiting(id, refusal),
                Turn::EndRun => return self.end_run_at_limit(now, run),
            }
        }
        self.drop_idle_work(run);
    }

    fn next_turn(&self, now: Timestamp, run: RunId) -> Option<(CallId, Turn)> {
        if !self.is_serving() || self.soft.release.is_some() || !self.log_reachable {
            return None;
        }
        let state = self.journal.runs.get(&run)?;
        let work = self.soft.runs.get(&run)?;
        let busy = work.accepting.is_some() || work.open.is_some() || work.ending.is_some();
        if busy || !state.is_active() || state.open_call().is_some() {
            return None;
        }
        let id = self.soft.queue.call_in_turn(run, state.next_number())?;
        let submission = self.soft.queue.get(id)?;
        Some((id, self.judge_turn(now, state, submission)))
    }

    fn judge_turn(&self, now: Timestamp, state: &RunState, submission: &Submission) -> Turn {
        let spec = &submission.spec;
        if state.calls.len() as u32 >= state.limits.max_turns {
            return Turn::EndRun;
        }
        if spec.deadline.is_some_and(|deadline| deadline < now) {
            return Turn::Refuse(refusal(RefusalReason::DeadlinePassed, None));
        }
        let prompt = match &spec.request {
            CallRequest::Model(model) => state.prompt(model.history_prefix, &model.messages),
            CallRequest::Tool(_) => Some(Vec::new()),
        };
        let Some(prompt) = prompt else {
            return Turn::Refuse(refusal(RefusalReason::HistoryMissing, None));
        };
        let length: Tokens = prompt
            .iter()
            .map(|message| text::token_count(&message.content))
            .sum();
        if length > state.limits.max_history {
            return Turn::EndRun;
        }
        let reserved = if self.settings.faults.no_reservation() {
            Credits::ZERO
        } else {
            reservation(&submission.terms, &spec.request, &prompt, "")
        };
        self.judge_budget(state, reserved)
    }

    fn judge_budget(&self, state: &RunState, reserved: Credits) -> Turn {
        if state.available() < reserved {
            let reason = RefusalReason::RunBudgetExhausted;
            let may_return = state.carved > Credits::ZERO;
            return Turn::Refuse(refusal(reason, may_return.then_some(SHORT_RETRY)));
        }
        if state.limits.tenant_budget {
            let tenant = &state.spec.tenant;
            let needed = reserved + self.soft.accepting_reservations(tenant);
            let available = self.allotment_available(tenant);
            if available < needed {
                let missing = needed.saturating_sub(available);
                return Turn::Short(tenant.clone(), missing);
            }
        }
        Turn::Accept(reserved)
    }

    fn accept(&mut self, now: Timestamp, id: CallId, reserved: Credits) {
        let tenant = self.journal.runs.get(&id.run).and_then(|state| {
            let draws = state.limits.tenant_budget;
            draws.then(|| state.spec.tenant.clone())
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
        self.soft.begin_accepting(id.run, accepting);
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
        let since = *submission.short_since.get_or_insert(now);
        if denied || now.since(since) >= wait {
            let reason = RefusalReason::TenantBudgetExhausted;
            self.refuse_waiting(id, refusal(reason, Some(wait)));
            return self.drop_idle_work(id.run);
        }
        self.soft.notes.line(id, "waits for its tenant's allotment");
        self.wake_at(now + self.settings.allotment_interval, id.run);
    }

    /// The acceptance counts: the call is open.
    pub(super) fn on_call_accepted(&mut self, now: Timestamp, run: RunId) {
        let Some(accepting) = self.soft.finish_accepting(run) else {
            return;
        };
        let number = accepting.submission.spec.number;
        let work = self.soft.work(run, now);
        work.open = Some(OpenCall::new(number, accepting.submission.callers));
        self.counters.calls_accepted += 1;
        let id = CallId { run, number };
        self.soft
            .notes
            .line(id, format!("accepted, {} reserved", accepting.reserved));
        if self.is_overdue_record(now, accepting.since) {
            return self.withdraw(now, id);
        }
        self.begin_attempt(now, id);
    }

    /// Whether a record took so long to be read back that what it permits is no longer wanted.
    pub(super) fn is_overdue_record(&self, now: Timestamp, appended: Timestamp) -> bool {
        now.since(appended) >= self.settings.withdraw_after
    }

    /// Ends an accepted call that was not sent, and will not be, as refused.
    pub(super) fn withdraw(&mut self, now: Timestamp, id: CallId) {
        let reason = RefusalReason::LogUnavailable;
        let refusal = refusal(reason, Some(SHORT_RETRY));
        self.end_call(now, id, Outcome::Refused(refusal));
    }

    /// The acceptance will never count: nothing was run and nothing can follow.
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
        self.begin_ending(now, run, RunPhase::LimitReached, None);
    }

    /// Refuses waiting calls whose answer would come too late.
    pub(super) fn refuse_late(&mut self, now: Timestamp, run: RunId) {
        let waiting = self.soft.queue.of_run(run);
        let late: Vec<CallId> = waiting
            .filter(|(_, submission)| submission.spec.deadline.is_some_and(|at| at < now))
            .map(|(id, _)| id)
            .collect();
        for id in late {
            self.refuse_waiting(id, refusal(RefusalReason::DeadlinePassed, None));
        }
    }

    /// Refuses calls that waited too long for one that has not arrived.
    pub(super) fn refuse_overdue(&mut self, now: Timestamp, run: RunId) {
        let Some(state) = self.journal.runs.get(&run) else {
            return;
        };
        let next = state.next_number();
        let wait = self.settings.earlier_call_wait;
        let Some(work) = self.soft.runs.get(&run) else {
            return;
        };
        let idle = work.open.is_none() && work.accepting.is_none();
        if !idle || self.soft.queue.call_in_turn(run, next).is_some() {
            return;
        }
        let mut overdue: Vec<CallId> = Vec::new();
        let mut due = None;
        for (id, submission) in self.soft.queue.of_run(run) {
            let since = submission.received.max(work.idle_since);
            if now.since(since) >= wait {
                overdue.push(id);
            } else {
                due = due.max(Some(since + wait));
            }
        }
        for id in overdue {
            let reason = RefusalReason::EarlierCallMissing;
            self.refuse_waiting(id, refusal(reason, Some(SHORT_RETRY)));
        }
        if let Some(due) = due {
            self.wake_at(due, run);
        }
    }

    /// Forgets the work of a run that has none.
    pub(super) fn drop_idle_work(&mut self, run: RunId) {
        let idle = self.soft.runs.get(&run).is_some_and(|work| work.is_idle());
        if idle && self.soft.queue.of_run(run).next().is_none() {
            self.soft.runs.remove(&run);
        }
    }
}
