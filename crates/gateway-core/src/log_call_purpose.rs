//! Why the log is called, for whoever asks what its calls are spent on.

use elderworks_protocol::ledger::LedgerRecord;

/// What a call to the log is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogCallPurpose {
    /// Tokens are set aside for turns that wait.
    Reserve,
    /// The end of a kept turn waits until it is durable; no tokens are set aside.
    Keep,
    /// An overdraft is opened or closed; nobody waits.
    Overdraft,
    /// Reservations end; nobody waits.
    Settle,
    /// Records are written anew before the log drops them.
    Rewrite,
    /// A partition is read that is not known yet.
    CatchUp,
    /// It is read whether another node has appended to a partition.
    Verify,
    /// It is proved that a configuration is the newest.
    Prove,
}

impl LogCallPurpose {
    /// Why records are appended: what somebody waits for comes first.
    pub fn of_append(records: &[LedgerRecord]) -> Self {
        let causes = records.iter().map(|record| match record {
            LedgerRecord::Reserved { .. } => Self::Reserve,
            LedgerRecord::Kept { .. } => Self::Keep,
            LedgerRecord::Overdraft { .. }
            | LedgerRecord::OverdraftTerms { .. }
            | LedgerRecord::OverdraftSuperseded { .. }
            | LedgerRecord::OverdraftClosed { .. } => Self::Overdraft,
            LedgerRecord::Settled { .. } => Self::Settle,
            LedgerRecord::Account { .. } => Self::Rewrite,
        });
        causes.min().unwrap_or(Self::Rewrite)
    }

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reserve => "append_reserve",
            Self::Keep => "append_keep",
            Self::Overdraft => "append_overdraft",
            Self::Settle => "append_settle",
            Self::Rewrite => "append_rewrite",
            Self::CatchUp => "read_catch_up",
            Self::Verify => "read_verify",
            Self::Prove => "prove_configuration",
        }
    }
}
