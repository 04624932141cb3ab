//! Classifies calls to the log by purpose, for logs and metrics.

use elderworks_protocol::ledger::LedgerRecord;

/// The purpose of a call to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogCallPurpose {
    /// Reserves tokens for waiting turns.
    Reserve,
    /// Stores finished turns whose callers wait until they are durable, without reserving tokens.
    Keep,
    /// Opens or closes an overdraft; no caller waits.
    Overdraft,
    /// Settles reservations; no caller waits.
    Settle,
    /// Appends records again before the log truncates them.
    Rewrite,
    /// Reads a partition that has not been read to its end.
    CatchUp,
    /// Checks whether another node has appended to a partition.
    Verify,
    /// Verifies that a configuration is the latest one.
    Prove,
    /// Records the use of tenants' quotas.
    RecordQuotaUse,
    /// Reads the recorded use of tenants' quotas.
    ReadQuotaUse,
    /// Records the software versions in use.
    RecordVersions,
    /// Reads the recorded software versions.
    ReadVersions,
    /// Records under which requests workers ended.
    RecordEnds,
    /// Reads under which requests workers ended.
    ReadEnds,
}

impl LogCallPurpose {
    /// Returns the purpose of an append. If the records have several, the one that callers wait for
    /// takes precedence.
    pub fn of_append(records: &[LedgerRecord]) -> Self {
        let purposes = records.iter().map(|record| match record {
            LedgerRecord::Reserved { .. } => Self::Reserve,
            LedgerRecord::Kept { .. } => Self::Keep,
            LedgerRecord::Overdraft { .. }
            | LedgerRecord::OverdraftTerms { .. }
            | LedgerRecord::OverdraftSuperseded { .. }
            | LedgerRecord::OverdraftForUnstored { .. }
            | LedgerRecord::OverdraftClosed { .. } => Self::Overdraft,
            LedgerRecord::Settled { .. } => Self::Settle,
            LedgerRecord::Account { .. } => Self::Rewrite,
        });
        purposes.min().unwrap_or(Self::Rewrite)
    }

    /// Returns the name used in logs and metrics.
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
            Self::RecordQuotaUse => "put_quota_use",
            Self::ReadQuotaUse => "read_quota_use",
            Self::RecordVersions => "put_versions",
            Self::ReadVersions => "read_versions",
            Self::RecordEnds => "put_request_ends",
            Self::ReadEnds => "read_request_ends",
        }
    }
}
