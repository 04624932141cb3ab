//! Handling of callers' requests: starting runs and submitting calls.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_protocol::journal::{CallTerms, JournalBody, RunLimits};
use elderworks_protocol::sidecar::{NodeMessage, answer_digest};
use elderworks_types::{
    Attempt, CallId, CallNumber, CallSpec, Outcome, Refusal, RefusalReason, RunId, RunPhase,
    RunSpec, Timestamp,
};

use super::Partition;
use crate::event::{Connection, SubmittedCall};
use crate::soft_state::{Callers, PendingStart, Stage, Submission};
use crate::state::Inconsistency;

/// Retry delay reported with refusals for conditions that usually pass quickly.
pub(super) const SHORT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry delay reported while the log doesn't respond.
pub const LOG_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Creates a refusal for `reason`, to be retried after `retry_after`.
pub(super) fn refusal(reason: RefusalReason, retry_after: Option<Duration>) -> Refusal {
    Refusal {
        reason,
        retry_after,
    }
}

impl Partition {
    pub(super) fn on_start_run(
        &mut self,
        now: Timestamp,
        connection: Connection,
        spec: RunSpec,
        limits: Option<RunLimits>,
    ) {
        let run = spec.id;
        if !self.is_serving() {
            return self.redirect([connection], run, None);
        }
        if let Some(known) = self.journal.runs.get(&run) {
            let message = if known.spec == spec {
                NodeMessage::RunStarted { run }
            } else {
                let refusal = refusal(RefusalReason::RunNotFound, None);
                NodeMessage::RunRefused { run, refusal }
            };
            return self.send(connection, message);
        }
        if let Some(pending) = self.soft.starting.get_mut(&run) {
            if pending.spec == spec {
                pending.connections.insert(connection);
                return;
            }
            return self.refuse_start(connection, run, RefusalReason::RunNotFound, None);
        }
        if self.redirects_new_work() {
            return self.redirect([connection], run, None);
        }
        let parent_closed = spec.parent.and_then(|parent| self.closed_reason(parent));
        if let Some(reason) = parent_closed {
            return self.refuse_start(connection, run, reason, None);
        }
        let Some(limits) = limits else {
            return self.refuse_start(connection, run, RefusalReason::UnknownService, None);
        };
        if !self.log_reachable {
            let reason = RefusalReason::LogUnavailable;
            return self.refuse_start(connection, run, reason, Some(LOG_RETRY_AFTER));
        }
        if self.soft.starting.len() >= self.settings.max_open_calls {
            let reason = RefusalReason::Overloaded;
            return self.refuse_start(connection, run, reason, Some(SHORT_RETRY_AFTER));
        }
        let body = JournalBody::RunStarted {
            spec: spec.clone(),
            limits,
            started: now,
        };
        let connections = BTreeSet::from([connection]);
        let pending = PendingStart { spec, connections };
        self.soft.starting.insert(run, pending);
        self.append(body);
    }

    fn refuse_start(
        &mut self,
        connection: Connection,
        run: RunId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let refusal = refusal(reason, retry_after);
        self.send(connection, NodeMessage::RunRefused { run, refusal });
    }

    pub(super) fn on_run_started(&mut self, run: RunId) {
        if let Some(due) = self.max_duration_end(run) {
            self.wake_at(due, run);
        }
        let Some(pending) = self.soft.starting.remove(&run) else {
            return;
        };
        for connection in pending.connections {
            self.send(connection, NodeMessage::RunStarted { run });
        }
    }

    pub(super) fn on_start_rejected(&mut self, run: RunId, why: Inconsistency) {
        let Some(pending) = self.soft.starting.remove(&run) else {
            return;
        };
        let reason = match why {
            Inconsistency::RunBudget => RefusalReason::RunBudgetExhausted,
            _ => RefusalReason::RunNotFound,
        };
        for connection in pending.connections {
            self.refuse_start(connection, run, reason, None);
        }
    }

    pub(super) fn on_submit_call(&mut self, now: Timestamp, request: SubmittedCall) {
        let id = CallId {
            run: request.run,
            number: request.spec.number,
        };
        if !self.is_serving() {
            return self.redirect([request.connection], id.run, Some(id.number));
        }
        if self.soft.starting.contains_key(&id.run) {
            let refusal = refusal(RefusalReason::RunNotFound, Some(SHORT_RETRY_AFTER));
            return self.refuse(
                request.connection,
                id,
                request.submission.id_if_resubmitted(),
                refusal,
            );
        }
        if self.journal.run_of(&request.tenant, id.run).is_none() {
            let refusal = refusal(RefusalReason::RunNotFound, None);
            return self.refuse(
                request.connection,
                id,
                request.submission.id_if_resubmitted(),
                refusal,
            );
        }
        if self.answer_barred(id, &request) || self.answer_known_call(now, id, &request) {
            return;
        }
        if self.redirects_new_work() {
            return self.redirect([request.connection], id.run, Some(id.number));
        }
        match self.admit(now, id, &request) {
            Ok(terms) => self.enqueue(now, id, request, terms),
            Err(refusal) => self.refuse(
                request.connection,
                id,
                request.submission.id_if_resubmitted(),
                refusal,
            ),
        }
    }

    /// Returns whether new work is redirected to the next owner because a release is in progress.
    /// While the log doesn't respond, no other node can become the owner.
    fn redirects_new_work(&self) -> bool {
        self.soft.release.is_some() && self.log_reachable
    }

    /// Answers a call whose number was used before with its outcome or its stream, or refuses it if
    /// it differs from the earlier call. Returns `false` if the number is unused.
    fn answer_known_call(&mut self, now: Timestamp, id: CallId, request: &SubmittedCall) -> bool {
        let known = self.known_spec(id);
        let Some(known) = known else {
            return false;
        };
        if known != request.spec {
            let refusal = refusal(RefusalReason::CallNumberReused, None);
            self.refuse(
                request.connection,
                id,
                request.submission.id_if_resubmitted(),
                refusal,
            );
            return true;
        }
        let ended = self.journal.call(id).and_then(|call| {
            let end = call.end.clone()?;
            let attempt = call.last_attempt().map(|attempt| attempt.attempt);
            Some((end, attempt))
        });
        match ended {
            Some((end, attempt)) => {
                self.send_end(request.connection, id, attempt, end.chunks, end.outcome);
            }
            None => self.attach(now, id, request),
        }
        true
    }

    /// Returns the call with this number, whether it is waiting, being accepted, open or ended.
    fn known_spec(&self, id: CallId) -> Option<CallSpec> {
        if let Some(call) = self.journal.call(id) {
            return Some(call.spec.clone());
        }
        if let Some(waiting) = self.soft.queue.get(id) {
            return Some(waiting.spec.clone());
        }
        let activity = self.soft.runs.get(&id.run)?;
        activity
            .accepting
            .as_ref()
            .map(|accepting| &accepting.submission.spec)
            .filter(|spec| spec.number == id.number)
            .cloned()
    }

    /// Adds a connection to a call that has not ended.
    fn attach(&mut self, now: Timestamp, id: CallId, request: &SubmittedCall) {
        let connection = request.connection;
        if let Some(waiting) = self.soft.queue.get_mut(id) {
            waiting.callers.attach(connection, Some(0));
            waiting
                .callers
                .note_submission(connection, request.submission);
            waiting.abandoned_before = waiting.abandoned_before.max(request.abandoned_before);
            return self.advance(now, id.run);
        }
        let Some(activity) = self.soft.runs.get_mut(&id.run) else {
            return;
        };
        if let Some(accepting) = &mut activity.accepting
            && accepting.submission.spec.number == id.number
        {
            let callers = &mut accepting.submission.callers;
            callers.attach(connection, Some(0));
            return callers.note_submission(connection, request.submission);
        }
        let Some(open) = &mut activity.open else {
            return;
        };
        let attempt = match &open.stage {
            Stage::Running(running) => Some(running.attempt),
            _ => None,
        };
        let next = open.answer.resume_index(&request.delivered, attempt);
        if open.delivered.chunks < request.delivered.chunks {
            open.delivered = request.delivered.clone();
        }
        let buffered_chunks = next.map(|next| open.answer.chunks_from(id, next));
        let buffered_chunks = buffered_chunks.unwrap_or_default();
        let next = next.map(|next| next + buffered_chunks.len() as u32);
        open.callers.attach(connection, next);
        open.callers.note_submission(connection, request.submission);
        for chunk in buffered_chunks {
            self.send(connection, NodeMessage::Chunk(chunk));
        }
        self.on_caller_returned(now, id);
    }

    /// Checks whether a call can be queued.
    ///
    /// # Errors
    ///
    /// Returns the refusal if it can't.
    fn admit(
        &self,
        now: Timestamp,
        id: CallId,
        request: &SubmittedCall,
    ) -> Result<CallTerms, Refusal> {
        if let Some(reason) = self.closed_reason(id.run) {
            return Err(refusal(reason, None));
        }
        if !self.log_reachable {
            return Err(refusal(
                RefusalReason::LogUnavailable,
                Some(LOG_RETRY_AFTER),
            ));
        }
        if id.number < self.first_free_number(id.run) {
            return Err(refusal(RefusalReason::CallNumberReused, None));
        }
        let terms = request.terms.clone()?;
        if request.spec.deadline.is_some_and(|deadline| deadline < now) {
            return Err(refusal(RefusalReason::DeadlinePassed, None));
        }
        let waiting = self.soft.queue.of_run(id.run).count();
        let run_full = waiting >= self.settings.max_waiting_per_run;
        let partition_full = self.soft.call_count() >= self.settings.max_open_calls;
        if run_full || partition_full {
            return Err(refusal(RefusalReason::Overloaded, Some(SHORT_RETRY_AFTER)));
        }
        Ok(terms)
    }

    /// Returns the first number of a run that is neither used nor skipped.
    fn first_free_number(&self, run: RunId) -> CallNumber {
        let state = self.journal.runs.get(&run);
        state.map_or(CallNumber(1), |state| state.next_number())
    }

    /// Returns the reason to refuse further calls of the run, if it has ended or is ending.
    pub(super) fn closed_reason(&self, run: RunId) -> Option<RefusalReason> {
        let phase = self.journal.runs.get(&run)?.phase;
        let ending = self.soft.runs.get(&run).and_then(|activity| {
            let ending = activity.ending.as_ref()?;
            Some(ending.phase)
        });
        match ending.unwrap_or(phase) {
            RunPhase::Active => None,
            RunPhase::LimitReached => Some(RefusalReason::RunLimitReached),
            RunPhase::Ended | RunPhase::Cancelled => Some(RefusalReason::RunEnded),
        }
    }

    fn enqueue(&mut self, now: Timestamp, id: CallId, request: SubmittedCall, terms: CallTerms) {
        let mut callers = Callers::default();
        callers.attach(request.connection, Some(0));
        callers.note_submission(request.connection, request.submission);
        self.soft.notes.start(id, now);
        let submission = Submission {
            spec: request.spec,
            terms,
            callers,
            received: now,
            abandoned_before: request.abandoned_before,
            awaiting_allotment_since: None,
        };
        let deadline = submission.spec.deadline;
        #[cfg(feature = "broken")]
        self.dispatch_before_turn(id, &submission);
        self.soft.activity(id.run, now);
        self.soft.queue.insert(id, submission);
        self.advance(now, id.run);
        if self.soft.queue.get(id).is_none() {
            return;
        }
        self.soft.notes.add_line(id, "queued");
        self.wake_at(now + self.settings.earlier_call_wait, id.run);
        if let Some(deadline) = deadline {
            self.wake_at(deadline + Duration::from_micros(1), id.run);
        }
    }

    pub(super) fn send_end(
        &mut self,
        connection: Connection,
        call: CallId,
        attempt: Option<Attempt>,
        chunks: u32,
        outcome: Outcome,
    ) {
        let text = match &outcome {
            Outcome::Completed(answer) => answer.content.as_str(),
            _ => "",
        };
        let message = NodeMessage::CallEnded {
            call,
            attempt,
            chunks,
            digest: answer_digest(text),
            outcome,
            barred: None,
        };
        self.send(connection, message);
    }

    pub(super) fn on_connection_closed(&mut self, connection: Connection) {
        for start in self.soft.starting.values_mut() {
            start.connections.remove(&connection);
        }
        for connections in self.soft.refusing.values_mut() {
            connections.remove(&connection);
        }
        self.soft.queue.detach(connection);
        for activity in self.soft.runs.values_mut() {
            if let Some(accepting) = &mut activity.accepting {
                accepting.submission.callers.detach(connection);
            }
            if let Some(open) = &mut activity.open {
                open.callers.detach(connection);
            }
            if let Some(ending) = &mut activity.ending {
                ending.connections.remove(&connection);
            }
        }
    }
}
