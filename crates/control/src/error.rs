//! Reasons for rejecting a change.

use elderworks_types::Offset;

/// The error returned when a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The resource has changed since the operator read it.
    #[error("conflict: expected revision {expected}, found {found}")]
    Conflict {
        /// Revision that the operator expected.
        expected: Offset,
        /// Current revision, or 0 if the resource does not exist.
        found: Offset,
    },
    /// The resource does not exist.
    #[error("not found")]
    NotFound,
    /// A field is invalid.
    #[error("{path}: {problem}")]
    Invalid {
        /// Path of the field, for example `spec.services[1]`.
        path: String,
        /// Description of the problem.
        problem: String,
    },
    /// The change was not made and never will be, because the log is unavailable, this node's
    /// announcement has not been applied yet, or too many changes are pending.
    #[error(
        "the change was not made: the platform's log is unavailable or too many changes are pending"
    )]
    Unavailable,
}

impl ControlError {
    /// Creates a [`ControlError::Invalid`] for the field at `path`.
    pub fn invalid(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::Invalid {
            path: path.into(),
            problem: problem.into(),
        }
    }
}
