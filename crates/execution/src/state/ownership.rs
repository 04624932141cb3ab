//! Ownership of the partition and fencing of former owners.

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{Record, Writer};
use elderworks_types::{Epoch, Sequence};
use serde::{Deserialize, Serialize};

use crate::Faults;

/// Reason why a record is ignored regardless of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// Duplicate of a record that was already read: the owner retried an append.
    Repeated,
    /// The record has an older epoch, or its writer does not own the partition.
    NotOwner,
}

/// The current owner of the partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ownership {
    /// Epoch of the last successful claim; 0 before the first.
    pub epoch: Epoch,
    /// Writer of that claim; `None` before the first claim and after a release.
    pub owner: Option<Writer>,
    /// Sequence number of the owner's last record that was read.
    pub last_sequence: Sequence,
}

impl Ownership {
    /// Checks the writer, epoch and sequence number of a record and updates the ownership. The
    /// first claim for the next epoch succeeds. Every other record is accepted only once, from the
    /// current owner and with the current epoch.
    ///
    /// # Errors
    ///
    /// Returns the reason if the record has to be ignored.
    pub fn admit(
        &mut self,
        record: &Record<JournalBody>,
        faults: &Faults,
    ) -> Result<(), Rejection> {
        if let JournalBody::Claim { owner } = &record.body {
            return self.admit_claim(record, *owner == record.writer.node);
        }
        let by_owner = self.owner.as_ref() == Some(&record.writer);
        if !by_owner || record.epoch != self.epoch {
            return if faults.no_fencing() {
                Ok(())
            } else {
                Err(Rejection::NotOwner)
            };
        }
        if record.sequence <= self.last_sequence && !faults.no_dedup() {
            return Err(Rejection::Repeated);
        }
        self.last_sequence = record.sequence.max(self.last_sequence);
        Ok(())
    }

    fn admit_claim(
        &mut self,
        record: &Record<JournalBody>,
        claims_for_writer: bool,
    ) -> Result<(), Rejection> {
        let repeated = record.epoch == self.epoch && self.owner.as_ref() == Some(&record.writer);
        if repeated {
            return Err(Rejection::Repeated);
        }
        if !claims_for_writer || record.epoch != self.epoch.next() {
            return Err(Rejection::NotOwner);
        }
        self.epoch = record.epoch;
        self.owner = Some(record.writer.clone());
        self.last_sequence = record.sequence;
        Ok(())
    }
}
