//! Bodies of error responses, common to all interfaces.

use serde::{Deserialize, Serialize};

/// Error codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The path does not exist.
    NotFound,
    /// The path does not support the request's method.
    MethodNotAllowed,
    /// A header, the query or the body is malformed.
    InvalidRequest,
    /// The body is larger than [`crate::MAX_BODY_BYTES`].
    BodyTooLarge,
    /// The service is down or too slow to be useful.
    Unavailable,
    /// The queue is full.
    QueueFull,
    /// The engine is draining and accepts no new requests.
    Leaving,
    /// The model is not loaded.
    ModelNotLoaded,
    /// The prompt and the maximum answer exceed the engine's memory.
    TooLong,
    /// Another request has the same id. Whether that request ran is unspecified.
    RequestIdInUse,
    /// The command's fencing token is lower than that of an earlier command.
    StaleFence,
    /// The rate limit is exceeded.
    RateLimited,
    /// The request ran and failed.
    Failed,
    /// A code unknown to this version.
    #[serde(other)]
    Other,
}

/// Code and message of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Error code.
    pub code: ErrorCode,
    /// Human-readable message.
    pub message: String,
}

/// Body of all responses with status 400 or above.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
    /// Whether the request was run: `false` only if it certainly was not; absent if the service doesn't
    /// say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<bool>,
}

impl ErrorBody {
    /// Creates an error for a request that was not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, message, Some(false))
    }

    /// Creates an error for a request that was run.
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
