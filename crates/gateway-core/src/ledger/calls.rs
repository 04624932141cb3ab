//! What passes between an owner and its driver.

use elderworks_protocol::ledger::{LedgerRecord, Witness, WitnessQuestion};
use elderworks_types::{Offset, Timestamp};

/// Names a request between the driver and the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Numbers the calls that an owner has made to the log, in the order in which they began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

impl CallNumber {
    /// The call after this one.
    pub(super) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What the driver is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read records from this offset on, without waiting for any to come.
    Read {
        /// The first record wanted.
        from: Offset,
    },
    /// Append records if the log ends at `at`.
    Append {
        /// Where the log must end.
        at: Offset,
        /// In this order.
        records: Vec<LedgerRecord>,
    },
    /// Nothing until the next request, or until this time.
    Wait {
        /// When to ask again; `None` if only a request changes anything.
        until: Option<Timestamp>,
    },
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are durable.
    Done,
    /// The log ended elsewhere; nothing was appended.
    Conflict,
    /// Nothing was appended.
    Refused,
    /// No answer: the records may be durable, or become so while the condition holds.
    Unknown,
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the asked offset on, and where the log ended; a record that cannot be decoded
    /// is `None`.
    Records {
        /// In order.
        records: Vec<Option<LedgerRecord>>,
        /// Where the log ended.
        end: Offset,
    },
    /// What was asked for is not kept any more.
    Gone {
        /// The first offset kept.
        first: Offset,
    },
    /// The log did not answer, or refused.
    Failed,
}

/// A question that the driver is to put to a witness; it reports the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessQuery {
    /// Whom to ask.
    pub witness: Witness,
    /// What to ask.
    pub question: WitnessQuestion,
}
