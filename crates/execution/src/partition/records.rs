//! Processing of records read from the partition's stream, and taking snapshots.

use std::borrow::Cow;

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::Record;
use elderworks_types::{Offset, Timestamp};

use super::Partition;
use crate::state::{ApplyOutcome, Inconsistency, JournalState, LoadStep, snapshot_records};

impl Partition {
    pub(super) fn on_record_read(
        &mut self,
        now: Timestamp,
        offset: Offset,
        record: Record<JournalBody>,
    ) {
        match self.loader.take(offset, &record) {
            LoadStep::Wait => {}
            LoadStep::Apply => self.apply_record(now, offset, record),
            LoadStep::Loaded(state, following) => {
                self.journal = *state;
                for (offset, record) in following {
                    self.apply_record(now, offset, record);
                }
                self.try_claim();
            }
        }
    }

    fn apply_record(&mut self, now: Timestamp, offset: Offset, record: Record<JournalBody>) {
        let outcome = self.journal.apply(&record, &self.settings.faults);
        self.count(outcome);
        let own = record.writer == self.writer;
        match outcome {
            ApplyOutcome::Accepted => self.on_accepted(now, offset, own, record),
            ApplyOutcome::Inconsistent(inconsistency) => {
                if own && self.owned == Some(record.epoch) {
                    self.soft.in_flight.pop_front();
                    self.on_own_rejected(now, record.body, inconsistency);
                }
            }
            ApplyOutcome::Repeated | ApplyOutcome::Fenced => {}
        }
    }

    fn count(&mut self, outcome: ApplyOutcome) {
        let counter = match outcome {
            ApplyOutcome::Accepted => &mut self.counters.records_accepted,
            ApplyOutcome::Repeated => &mut self.counters.records_repeated,
            ApplyOutcome::Fenced => &mut self.counters.records_fenced,
            ApplyOutcome::Inconsistent(_) => &mut self.counters.records_inconsistent,
        };
        *counter += 1;
    }

    fn on_accepted(
        &mut self,
        now: Timestamp,
        offset: Offset,
        own: bool,
        record: Record<JournalBody>,
    ) {
        if let JournalBody::Claim { .. } = record.body {
            self.on_claim_won(now, own, record.epoch);
            return;
        }
        self.records_since_snapshot += 1;
        let completed = match record.body {
            JournalBody::Snapshot { part, parts, .. } => self.note_snapshot(offset, part, parts),
            _ => None,
        };
        let by_owner = own && self.owned == Some(record.epoch);
        if by_owner {
            self.soft.in_flight.pop_front();
        }
        if let JournalBody::Release { .. } = record.body {
            if by_owner {
                self.lose_ownership();
            }
            self.try_claim();
            return;
        }
        if by_owner {
            if let Some(first) = completed {
                self.append(JournalBody::SnapshotConfirmed { first });
            }
            self.on_own_record(now, record.body);
        }
    }

    /// Records a part of a snapshot. Returns the offset of the first part when the last one was
    /// read.
    fn note_snapshot(&mut self, offset: Offset, part: u32, parts: u32) -> Option<Offset> {
        if part == 0 {
            self.pending_snapshot = Some(offset);
        }
        if part.checked_add(1) != Some(parts) {
            return None;
        }
        let first = self.pending_snapshot.take()?;
        self.snapshot_offset = Some(first);
        self.records_since_snapshot = 0;
        Some(first)
    }

    /// Takes a snapshot if enough records were applied since the last one.
    pub(super) fn snapshot_if_due(&mut self) {
        let due = self.records_since_snapshot >= self.settings.snapshot_interval;
        if due && self.log_reachable && self.is_serving() {
            self.records_since_snapshot = 0;
            self.on_take_snapshot();
        }
    }

    /// Handles the read-back of a record that this owner appended.
    fn on_own_record(&mut self, now: Timestamp, body: JournalBody) {
        match body {
            JournalBody::RunStarted { spec, .. } => self.on_run_started(spec.id),
            JournalBody::CallAccepted { run, .. } => self.on_call_accepted(now, run),
            JournalBody::AttemptReserved { call, .. } => self.on_attempt_reserved(now, call),
            JournalBody::AttemptStarted { call, attempt, .. } => {
                self.on_attempt_started(now, call, attempt);
            }
            JournalBody::CallEnded {
                call,
                outcome,
                chunks,
            } => self.on_call_ended(now, call, outcome, chunks),
            JournalBody::RunEnded { run, phase, .. } => self.on_run_ended(now, run, phase),
            JournalBody::SubmissionRefused {
                call,
                submission,
                refusal,
            } => self.on_submission_refused(call, submission, &refusal),
            JournalBody::Barrier => self.on_barrier(),
            JournalBody::MemoryReleased { run } => self.on_memory_release_journalled(run),
            JournalBody::RunsForgotten { runs } => self.on_runs_forgotten(runs.len()),
            JournalBody::AllotmentGranted {
                tenant,
                partition,
                request,
                amount,
            } => self.on_grant_journalled(tenant, partition, request, amount),
            JournalBody::AllotmentReceived { tenant, .. } => {
                self.on_allotment_journalled(now, &tenant);
            }
            JournalBody::Claim { .. }
            | JournalBody::Release { .. }
            | JournalBody::Snapshot { .. }
            | JournalBody::SnapshotConfirmed { .. } => {}
        }
    }

    /// Handles a record of this owner that was ignored because it contradicted the state.
    fn on_own_rejected(&mut self, now: Timestamp, body: JournalBody, why: Inconsistency) {
        match body {
            JournalBody::RunStarted { spec, .. } => self.on_start_rejected(spec.id, why),
            JournalBody::CallAccepted { run, .. } => self.on_acceptance_rejected(now, run, why),
            JournalBody::AttemptReserved { call, .. } => {
                self.on_reservation_rejected(now, call, why);
            }
            JournalBody::RunEnded { run, .. } => self.on_end_rejected(now, run),
            JournalBody::RunsForgotten { .. } => self.on_runs_forgotten(0),
            JournalBody::MemoryReleased { run } => self.on_memory_release_journalled(run),
            JournalBody::AllotmentGranted {
                tenant, partition, ..
            } => {
                self.soft.granting.remove(&(tenant, partition));
            }
            JournalBody::AllotmentReceived { tenant, .. } => {
                self.on_allotment_journalled(now, &tenant);
            }
            _ => {}
        }
    }

    /// Appends a snapshot of the state after all records in flight. A writer's records keep their
    /// order, so the snapshot's parts directly follow those records.
    pub(super) fn on_take_snapshot(&mut self) {
        if !self.is_serving() {
            return;
        }
        for body in snapshot_records(&self.state_after_in_flight()) {
            self.append(body);
        }
    }

    fn state_after_in_flight(&self) -> Cow<'_, JournalState> {
        if self.soft.in_flight.is_empty() {
            return Cow::Borrowed(&self.journal);
        }
        let mut state = self.journal.clone();
        for body in &self.soft.in_flight {
            let record = Record {
                writer: self.writer.clone(),
                sequence: state.ownership.last_sequence.next(),
                epoch: state.ownership.epoch,
                body: body.clone(),
            };
            state.apply(&record, &self.settings.faults);
        }
        Cow::Owned(state)
    }
}
