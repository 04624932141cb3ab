//! Error responses of the operators' API.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ControlError;
use crate::manifest::ManifestError;

/// Retry delay reported while the log is unavailable.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Stable error codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body is not JSON, or a header or query value cannot be parsed.
    Malformed,
    /// A field of the resource, named by `path`, is invalid.
    Invalid,
    /// The operator's token is missing or wrong.
    Unauthorized,
    /// The resource, collection or path does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The resource has changed since the expected revision.
    Conflict,
    /// The revision is too old to watch from, so the client must list the collection again.
    WatchTooOld,
    /// The run is owned by another node, which the client must query instead.
    RunElsewhere,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The change was not made, because the log is unavailable or too many changes are pending.
    Unavailable,
    /// It is unknown whether the change was made. Reading the resource shows the outcome.
    OutcomeUnknown,
}

/// Error body of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct ApiError {
    /// Stable code for programs.
    pub code: ErrorCode,
    /// Human-readable description.
    pub message: String,
    /// Path of the invalid field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Whether the change was made: `false` if it definitely was not, absent if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<bool>,
    /// Delay after which a retry may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Current revision in case of a conflict, or 0 if the resource does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found_revision: Option<u64>,
}

impl ApiError {
    /// Creates an error for a request that has changed nothing.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            path: None,
            run: Some(false),
            retry_after_ms: None,
            found_revision: None,
        }
    }

    /// Sets the path of the invalid field.
    #[must_use]
    pub fn with_path(self, path: impl Into<String>) -> Self {
        Self {
            path: Some(path.into()),
            ..self
        }
    }

    /// Sets the retry delay.
    #[must_use]
    pub fn with_retry_after(self, delay: Duration) -> Self {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Self {
            retry_after_ms: Some(millis),
            ..self
        }
    }

    /// Creates an error for a change that was sent to the log and not confirmed in time.
    pub fn outcome_unknown() -> Self {
        let message = "the log has not confirmed the change yet; it may still take effect";
        Self {
            run: None,
            ..Self::new(ErrorCode::OutcomeUnknown, message)
        }
        .with_retry_after(UNAVAILABLE_RETRY_AFTER)
    }

    /// Creates an error for a request that has changed nothing and may succeed if retried soon.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self::new(ErrorCode::Unavailable, message).with_retry_after(UNAVAILABLE_RETRY_AFTER)
    }
}

impl From<ControlError> for ApiError {
    fn from(error: ControlError) -> Self {
        let message = error.to_string();
        match error {
            ControlError::Conflict { found, .. } => Self {
                found_revision: Some(found.0),
                ..Self::new(ErrorCode::Conflict, message)
            },
            ControlError::NotFound => Self::new(ErrorCode::NotFound, message),
            ControlError::Invalid { path, problem } => {
                Self::new(ErrorCode::Invalid, problem).with_path(path)
            }
            ControlError::Unavailable => Self::unavailable(message),
        }
    }
}

impl From<ManifestError> for ApiError {
    fn from(error: ManifestError) -> Self {
        Self::new(ErrorCode::Invalid, error.problem).with_path(error.path)
    }
}
