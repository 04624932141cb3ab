//! Refusals of calls that were not accepted, and which of them bind every owner.
//!
//! A refusal speaks for this owner alone: a copy of the call may be in the journal that this node has
//! not read, or wait at a node that is to own the partition next. Where a sidecar says that another
//! copy is about, a refusal that would be final is therefore journalled first. Earlier owners can
//! accept nothing any more once it counts, and later ones read it before they own anything.

use std::collections::btree_map::Entry;

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::sidecar::{NodeMessage, SubmissionId, answer_digest};
use elderworks_types::{CallId, Outcome, Refusal, RefusalReason, Timestamp};

use super::Partition;
use super::intake::{LOG_RETRY, refusal};
use crate::event::Connection;
use crate::event::SubmittedCall;
use crate::soft::{Callers, Submission};

/// Refused submissions that a run remembers; later refusals speak for their owner alone.
const MAX_BARRED_PER_RUN: usize = 256;

impl Partition {
    /// Refuses a call that was not accepted. `doubtful` names its submission if another copy of it
    /// may have been taken.
    pub(super) fn refuse(
        &mut self,
        connection: Connection,
        id: CallId,
        doubtful: Option<SubmissionId>,
        mut refusal: Refusal,
    ) {
        self.counters.calls_refused += 1;
        if self.settings.faults.no_retry_after() {
            refusal.retry_after = None;
        }
        self.tell_refusal(connection, id, doubtful, refusal);
    }

    pub(super) fn refuse_submission(
        &mut self,
        id: CallId,
        submission: &Submission,
        refusal: Refusal,
    ) {
        for (connection, doubtful) in submission.callers.tagged() {
            self.refuse(connection, id, doubtful, refusal.clone());
        }
    }

    /// Tells the callers of an accepted call how it ended.
    pub(super) fn tell_end(
        &mut self,
        callers: &Callers,
        id: CallId,
        chunks: u32,
        outcome: &Outcome,
    ) {
        let attempt = self.last_attempt_of(id);
        for (connection, doubtful) in callers.tagged() {
            match (outcome, doubtful) {
                (Outcome::Refused(refusal), Some(_)) => {
                    self.tell_refusal(connection, id, doubtful, refusal.clone());
                }
                _ => self.send_end(connection, id, attempt, chunks, outcome.clone()),
            }
        }
    }

    fn tell_refusal(
        &mut self,
        connection: Connection,
        id: CallId,
        doubtful: Option<SubmissionId>,
        refusal: Refusal,
    ) {
        match doubtful.filter(|_| self.may_bar(id, refusal.reason)) {
            Some(submission) => self.bar(connection, id, submission, refusal),
            None => self.send_refusal(connection, id, refusal, None),
        }
    }

    /// Whether a refusal is worth a record: one that may pass is waited out by the sidecar, and a
    /// run that is not the caller's, or holds many already, has no place for it.
    fn may_bar(&self, id: CallId, reason: RefusalReason) -> bool {
        let run = self.journal.runs.get(&id.run);
        let has_place = run.is_some_and(|run| run.barred.len() < MAX_BARRED_PER_RUN);
        has_place && !reason.is_transient() && reason != RefusalReason::RunNotFound
    }

    /// Journals a refusal; it is told once it is read back. While the log does not answer the
    /// caller is asked to come back, which it takes for a refusal that proves nothing.
    fn bar(
        &mut self,
        connection: Connection,
        call: CallId,
        submission: SubmissionId,
        reason: Refusal,
    ) {
        if !self.log_reachable {
            let unavailable = refusal(RefusalReason::LogUnavailable, Some(LOG_RETRY));
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

    /// The refusal counts: no owner takes this submission any more.
    pub(super) fn on_submission_refused(
        &mut self,
        call: CallId,
        submission: SubmissionId,
        refusal: &Refusal,
    ) {
        let connections = self.soft.refusing.remove(&(call, submission));
        // A run that was forgotten meanwhile holds no bar.
        let is_kept = self.journal.runs.contains_key(&call.run);
        for connection in connections.unwrap_or_default() {
            let barred = is_kept.then_some(submission);
            self.send_refusal(connection, call, refusal.clone(), barred);
        }
    }

    /// Answers a copy of a submission that no owner takes any more, or that is about to become one.
    /// Returns whether it is one.
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

    /// Refuses at once what is not in the journal yet while the log does not answer; what is in
    /// flight to it stays, since it may have been taken.
    pub(super) fn on_log_reachable(&mut self, now: Timestamp, reachable: bool) {
        self.log_reachable = reachable;
        if reachable {
            self.prepare_release(now);
            return;
        }
        for (id, submission) in self.soft.queue.take_all() {
            let reason = RefusalReason::LogUnavailable;
            self.refuse_submission(id, &submission, refusal(reason, Some(LOG_RETRY)));
            self.drop_idle_work(id.run);
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
