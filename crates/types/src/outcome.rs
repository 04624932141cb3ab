//! How a call can end. Outcomes are values: every call gets exactly one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Credits, Usage};

/// The final outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and this is the whole answer.
    Completed(Answer),
    /// It was not run: no back end can have seen it, now or later.
    Refused(Refusal),
    /// It ran, or may have run in part, and ended without an answer.
    Failed(Failure),
    /// Whether it ran cannot be known. Only calls that are not repeatable end so.
    Unknown(UnknownReason),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Generated text, or the tool's result as JSON text.
    pub content: String,
    /// What was consumed.
    pub usage: Usage,
    /// What it cost.
    pub cost: Credits,
}

/// A refusal: the call was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When asking again may succeed; `None` if it never will.
    pub retry_after: Option<Duration>,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The platform's log does not answer, so the call's intent cannot be made durable.
    LogUnavailable,
    /// Queues are full, or the call could not be answered by its deadline.
    Overloaded,
    /// The run's budget cannot cover the most that this call may cost.
    RunBudgetExhausted,
    /// The tenant's budget cannot cover the most that this call may cost.
    TenantBudgetExhausted,
    /// The run has reached its limit of turns, tokens or time.
    RunLimitReached,
    /// The run has ended.
    RunEnded,
    /// The run does not exist, or belongs to another tenant.
    RunNotFound,
    /// No live service offers the model or tool.
    NoBackend,
    /// The model or tool is not named by any `Service` resource.
    UnknownService,
    /// The call's number was already used by a different call.
    CallNumberReused,
    /// The deadline passed before the call could start.
    DeadlinePassed,
    /// The call waited too long for earlier calls of its run to arrive.
    EarlierCallMissing,
    /// No node could be reached, so the request was never handed over.
    NoNodeReachable,
    /// The call builds on more history than the run has: read the run and make the call anew.
    HistoryMissing,
}

impl RefusalReason {
    /// Whether a refusal for this reason may turn into an answer if the same call is made later.
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

/// A failure after dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Why.
    pub reason: FailureReason,
    /// What the back end said, if anything.
    pub detail: String,
    /// What the failed attempts cost.
    pub cost: Credits,
}

/// Why a dispatched call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The back end answered with an error.
    BackendError,
    /// Every permitted attempt was lost.
    AttemptsExhausted,
    /// The call ran longer than its limit.
    TimedOut,
    /// The caller or an operator ended the run.
    Cancelled,
}

/// Why it cannot be known whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The owner was lost after it may have dispatched the call.
    OwnerLost,
    /// The connection to the back end broke after the request was sent.
    ConnectionLost,
    /// The back end did not answer within the call's limit.
    NoAnswer,
}
