//! Refusals of calls that were not accepted.
//!
//! A refusal alone doesn't prevent another owner from accepting a copy of the same submission:
//! the copy may be in a part of the journal that this node hasn't read, or wait at a node that
//! becomes the owner later. If a sidecar reports that another copy may exist, a final refusal is
//! therefore journalled before it is sent. Once the record is applied, earlier owners can't accept
//! anything, and later owners read the record before they become owners. Such a submission is
//! called barred.

use std::collections::btree_map::Entry;

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::sidecar::{NodeMessage, SubmissionId, answer_digest};
use elderworks_types::{CallId, Outcome, Refusal, RefusalReason, Timestamp};

use super::Partition;
use super::intake::{LOG_RETRY_AFTER, refusal};
use crate::event::Connection;
use crate::event::SubmittedCall;
use crate::soft_state::{Callers, Submission};

/// Maximum number of barred submissions per run. Further refusals aren't journalled, so they don't
/// prevent another owner from accepting a copy.
const MAX_BARRED_PER_RUN: usize = 256;

impl Partition {
    /// Refuses a call that was not accepted. `resubmitted_id` is the id of its submission if
    /// another copy of it may exist.
    pub(super) fn refuse(
        &mut self,
        connection: Connection,
        id: CallId,
        resubmitted_id: Option<SubmissionId>,
        mut refusal: Refusal,
    ) {
        self.counters.calls_refused += 1;
        if self.settings.faults.no_retry_after() {
            refusal.retry_after = None;
        }
        self.deliver_refusal(connection, id, resubmitted_id, refusal);
    }

    pub(super) fn refuse_submission(
        &mut self,
        id: CallId,
        submission: &Submission,
        refusal: Refusal,
    ) {
        for (connection, resubmitted_id) in submission.callers.with_resubmitted_ids() {
            self.refuse(connection, id, resubmitted_id, refusal.clone());
        }
    }

    /// Sends the outcome of an accepted call to its callers.
    pub(super) fn send_end_to_callers(
        &mut self,
        callers: &Callers,
        id: CallId,
        chunks: u32,
        outcome: &Outcome,
    ) {
        let attempt = self.last_attempt_of(id);
        for (connection, resubmitted_id) in callers.with_resubmitted_ids() {
            match (outcome, resubmitted_id) {
                (Outcome::Refused(refusal), Some(_)) => {
                    self.deliver_refusal(connection, id, resubmitted_id, refusal.clone());
                }
                _ => self.send_end(connection, id, attempt, chunks, outcome.clone()),
            }
        }
    }

    fn deliver_refusal(
        &mut self,
        connection: Connection,
        id: CallId,
        resubmitted_id: Option<SubmissionId>,
        refusal: Refusal,
    ) {
        match resubmitted_id.filter(|_| self.can_bar(id, refusal.reason)) {
            Some(submission) => self.journal_refusal(connection, id, submission, refusal),
            None => self.send_refusal(connection, id, refusal, None),
        }
    }

    /// Returns whether a refusal is to be journalled. A transient refusal is retried by the
    /// sidecar, an unknown run can't record a refusal, and the number of records per run is
    /// limited.
    fn can_bar(&self, id: CallId, reason: RefusalReason) -> bool {
        let run = self.journal.runs.get(&id.run);
        let has_capacity = run.is_some_and(|run| run.barred.len() < MAX_BARRED_PER_RUN);
        has_capacity && !reason.is_transient() && reason != RefusalReason::RunNotFound
    }

    /// Journals a refusal, which is sent once the record is read back. While the log doesn't
    /// respond, sends a transient refusal instead, so that the sidecar tries again.
    fn journal_refusal(
        &mut self,
        connection: Connection,
        call: CallId,
        submission: SubmissionId,
        reason: Refusal,
    ) {
        if !self.log_reachable {
            let unavailable = refusal(RefusalReason::LogUnavailable, Some(LOG_RETRY_AFTER));
            return self.send_refusal(connection, call, unavailable, None);
        }
        match self.soft.refusing.entry((call, submission)) {
            Entry::Occupied(mut waiting) => {
                waiting.get_mut().insert(connection);
            }
            Entry::Vacant(waiting) => {
                waiting.insert([connection].into());
                self.append(JournalBody::SubmissionRefused {
                    call,
                    submission,
                    refusal: reason,
                });
            }
        }
    }

    /// Handles the read-back of a refusal: every owner now refuses the submission.
    pub(super) fn on_submission_refused(
        &mut self,
        call: CallId,
        submission: SubmissionId,
        refusal: &Refusal,
    ) {
        let connections = self.soft.refusing.remove(&(call, submission));
        // If the run was removed in the meantime, the submission isn't barred.
        let is_kept = self.journal.runs.contains_key(&call.run);
        for connection in connections.unwrap_or_default() {
            let barred = is_kept.then_some(submission);
            self.send_refusal(connection, call, refusal.clone(), barred);
        }
    }

    /// Answers a copy of a submission that is barred or whose refusal is being journalled. Returns
    /// whether that was the case.
    pub(super) fn answer_barred(&mut self, id: CallId, request: &SubmittedCall) -> bool {
        let submission = request.submission.id;
        if let Some(waiting) = self.soft.refusing.get_mut(&(id, submission)) {
            waiting.insert(request.connection);
            return true;
        }
        let run = self.journal.runs.get(&id.run);
        let barred = run.and_then(|run| run.barred.get(&(id.number, submission)));
        let Some(refusal) = barred.cloned() else {
            return false;
        };
        self.send_refusal(request.connection, id, refusal, Some(submission));
        true
    }

    /// Handles a change of the log's reachability. When the log stops responding, all waiting calls
    /// are refused. Calls whose acceptance was appended stay, since the log may have stored it.
    pub(super) fn on_log_reachable(&mut self, now: Timestamp, reachable: bool) {
        self.log_reachable = reachable;
        if reachable {
            self.withdraw_unsent_attempts(now);
            return;
        }
        for (id, submission) in self.soft.queue.take_all() {
            let reason = RefusalReason::LogUnavailable;
            self.refuse_submission(id, &submission, refusal(reason, Some(LOG_RETRY_AFTER)));
            self.drop_idle_activity(id.run);
        }
    }

    fn send_refusal(
        &mut self,
        connection: Connection,
        call: CallId,
        refusal: Refusal,
        barred: Option<SubmissionId>,
    ) {
        let message = NodeMessage::CallEnded {
            call,
            attempt: None,
            chunks: 0,
            digest: answer_digest(""),
            outcome: Outcome::Refused(refusal),
            barred,
        };
        self.send(connection, message);
    }
}
