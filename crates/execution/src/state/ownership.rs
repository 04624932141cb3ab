//! Whose records count.

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{Record, Writer};
use elderworks_types::{Epoch, Sequence};
use serde::{Deserialize, Serialize};

use crate::Faults;

/// Why a record does not count, whatever it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The owner appended it again after a lost answer.
    Repeated,
    /// It is of an older epoch, or its writer does not own the partition.
    NotOwner,
}

/// The present owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ownership {
    /// Epoch of the last claim that won; 0 before the first.
    pub epoch: Epoch,
    /// Who won it; `None` before the first claim and after a release.
    pub owner: Option<Writer>,
    /// Number of the owner's last record that was read.
    pub last_sequence: Sequence,
}

impl Ownership {
    /// Judges a record by its stamp and takes note of it. The first claim at the next epoch wins;
    /// all else counts only from the present owner, at the present epoch, once.
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
