//! The one shape of errors.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ControlError;
use crate::manifest::ManifestError;

/// When a refused operator may ask again while the log is down.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Stable names of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body is not JSON, or a header or query value cannot be read.
    Malformed,
    /// A field of the resource is wrong; `path` says which.
    Invalid,
    /// The operator's token is missing or wrong.
    Unauthorized,
    /// There is no such resource, collection or path.
    NotFound,
    /// The path takes other methods.
    MethodNotAllowed,
    /// The resource changed since it was read.
    Conflict,
    /// The revision is too old to watch from: list anew.
    WatchTooOld,
    /// Another node owns the run; ask there.
    RunElsewhere,
    /// The body is over the limit.
    BodyTooLarge,
    /// The change was not made: the log does not answer, or too much waits.
    Unavailable,
    /// Whether the change was made is not known yet: read the resource to see.
    OutcomeUnknown,
}

/// An error as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct ApiError {
    /// Stable name.
    pub code: ErrorCode,
    /// For people.
    pub message: String,
    /// Path of the field that is wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Whether the change was made: `false` where it surely was not, absent where it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<bool>,
    /// When asking again may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// For a conflict, the revision found (0: nothing).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found_revision: Option<u64>,
}

impl ApiError {
    /// An error after which nothing has changed.
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

    /// The same error, naming a field.
    #[must_use]
    pub fn with_path(self, path: impl Into<String>) -> Self {
        Self {
            path: Some(path.into()),
            ..self
        }
    }

    /// The same error, saying when to come back.
    #[must_use]
    pub fn with_retry_after(self, delay: Duration) -> Self {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Self {
            retry_after_ms: Some(millis),
            ..self
        }
    }

    /// A change that was sent to the log and of which nothing was heard in time.
    pub fn outcome_unknown() -> Self {
        let message = "the log has not confirmed the change yet; it may still take effect";
        Self {
            run: None,
            ..Self::new(ErrorCode::OutcomeUnknown, message)
        }
        .with_retry_after(UNAVAILABLE_RETRY_AFTER)
    }

    /// Nothing was changed, and asking again soon may succeed.
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
