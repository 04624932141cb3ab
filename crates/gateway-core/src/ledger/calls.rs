//! Types exchanged between a [`PartitionOwner`](super::PartitionOwner) and its driver.

use elderworks_protocol::ledger::{LedgerRecord, Witness, WitnessRequest};
use elderworks_types::{Offset, Timestamp};

/// Identifies a request submitted to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies a call of an owner to the log. Numbers increase in the order in which calls start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

impl CallNumber {
    /// Returns the number of the following call.
    pub(super) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The next operation for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the records that exist from an offset on, without waiting for new ones.
    Read {
        /// Offset of the first record to read.
        from: Offset,
    },
    /// Append records on condition that the log ends at `at`.
    Append {
        /// Required end offset of the log.
        at: Offset,
        /// Records to append, in order.
        records: Vec<LedgerRecord>,
    },
    /// Wait for the next request or until the given time.
    Wait {
        /// When to ask for the next action; `None` if only a request or an answer can change
        /// anything.
        until: Option<Timestamp>,
    },
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are durable.
    Done,
    /// The log ended at another offset; nothing was appended.
    Conflict,
    /// The log refused the call; nothing was appended.
    Refused,
    /// No answer: the records may have been appended, or may still be while the log ends at the
    /// required offset.
    Unknown,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The records from the requested offset on, and the end of the log. A record that cannot be
    /// decoded is `None`.
    Records {
        /// Records in log order.
        records: Vec<Option<LedgerRecord>>,
        /// End offset of the log.
        end: Offset,
    },
    /// The requested records are no longer retained.
    Gone {
        /// First retained offset.
        first: Offset,
    },
    /// The log did not answer, or refused the call.
    Failed,
}

/// A question for the driver to send to a witness. The driver reports the answer to
/// `PartitionOwner::on_witness_answer`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessQuery {
    /// The witness to ask.
    pub witness: Witness,
    /// The question to send.
    pub question: WitnessRequest,
}

/// Numbers of requests that wait for a call to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingRequests {
    /// Starts of turns.
    pub starts: usize,
    /// Ends of turns.
    pub ends: usize,
}
