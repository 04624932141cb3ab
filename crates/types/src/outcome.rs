//! Outcomes of calls. Every call has exactly one outcome.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Credits, Usage};

/// The final outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call ran and produced a complete answer.
    Completed(Answer),
    /// The call was not run: no back end has received it or will receive it.
    Refused(Refusal),
    /// The call ran, at least in part, and ended without an answer.
    Failed(Failure),
    /// It is unknown whether the call ran. Only calls that are not repeatable have this outcome.
    Unknown(UnknownReason),
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Generated text, or the tool's result as JSON text.
    pub content: String,
    /// Tokens consumed.
    pub usage: Usage,
    /// Cost of the call.
    pub cost: Credits,
}

/// Refusal of a call that was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed; `None` if no retry can.
    pub retry_after: Option<Duration>,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The platform's log is unavailable, so the call cannot be recorded durably.
    LogUnavailable,
    /// Queues are full, or the call could not complete before its deadline.
    Overloaded,
    /// The run's budget does not cover the maximum cost of the call.
    RunBudgetExhausted,
    /// The tenant's budget does not cover the maximum cost of the call.
    TenantBudgetExhausted,
    /// The run has reached its maximum number of turns, history length or duration.
    RunLimitReached,
    /// The run has ended.
    RunEnded,
    /// The run does not exist, or belongs to another tenant.
    RunNotFound,
    /// The model or tool has no live back end.
    NoBackend,
    /// No `Service` resource names the model or tool.
    UnknownService,
    /// Another call already has the same number.
    CallNumberReused,
    /// The call's deadline expired before the call started.
    DeadlinePassed,
    /// Earlier calls of the run did not arrive in time.
    EarlierCallMissing,
    /// No node could be reached, so the request was not sent.
    NoNodeReachable,
    /// The call refers to more history than the run has. The caller should read the run and submit the
    /// call again.
    HistoryMissing,
}

impl RefusalReason {
    /// Returns whether the same call may succeed later, after a refusal for this reason.
    pub fn is_transient(self) -> bool {
        matches!(
            self,
            Self::LogUnavailable
                | Self::Overloaded
                | Self::NoBackend
                | Self::EarlierCallMissing
                | Self::NoNodeReachable
        )
    }
}

/// Failure of a call that was dispatched to a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Reason of the failure.
    pub reason: FailureReason,
    /// The back end's error message, or empty.
    pub detail: String,
    /// Cost of the failed attempts.
    pub cost: Credits,
}

/// Why a dispatched call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The back end returned an error.
    BackendError,
    /// All permitted attempts were lost.
    AttemptsExhausted,
    /// The call exceeded its timeout.
    TimedOut,
    /// The run was ended by its caller or an operator.
    Cancelled,
}

/// Why it is unknown whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The partition's owner failed when it may already have dispatched the call.
    OwnerLost,
    /// The connection to the back end was lost after the request was sent.
    ConnectionLost,
    /// The back end did not respond within the call's timeout.
    NoAnswer,
}
