//! The one shape of error bodies.

use serde::{Deserialize, Serialize};

/// Stable names of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The path names nothing.
    NotFound,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// A header, query or body does not have the expected form.
    InvalidRequest,
    /// The body is larger than [`crate::MAX_BODY_BYTES`].
    BodyTooLarge,
    /// The service is down or slow beyond use.
    Unavailable,
    /// The queue is full.
    QueueFull,
    /// The engine is leaving and takes no new work.
    Leaving,
    /// The engine has not loaded the model.
    ModelNotLoaded,
    /// Prompt and answer do not fit into the engine's memory.
    TooLong,
    /// A request of the same id is known already; nothing is said of whether that one ran.
    RequestIdInUse,
    /// A command carried a lower fence than an earlier one.
    StaleFence,
    /// Too many requests.
    RateLimited,
    /// The work ran and failed.
    Failed,
    /// A code that this version does not know.
    #[serde(other)]
    Other,
}

/// What went wrong, for people and for programs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable name.
    pub code: ErrorCode,
    /// Explanation in words.
    pub message: String,
}

/// Body of every answer with a status of 400 or above.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
    /// `false` where the request surely was not run, `true` where it was; absent where the service
    /// makes no claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<bool>,
}

impl ErrorBody {
    /// An error of a request that was not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, message, Some(false))
    }

    /// An error of a request that was run.
    pub fn run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, message, Some(true))
    }

    fn new(code: ErrorCode, message: impl Into<String>, run: Option<bool>) -> Self {
        let message = message.into();
        Self {
            error: ErrorDetail { code, message },
            run,
        }
    }
}
