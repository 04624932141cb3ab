//! Why a change is not accepted.

use elderworks_types::Offset;

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The resource changed since the operator read it.
    #[error("conflict: expected revision {expected}, found {found}")]
    Conflict {
        /// What the operator saw.
        expected: Offset,
        /// What is there (0: nothing).
        found: Offset,
    },
    /// There is no such resource.
    #[error("not found")]
    NotFound,
    /// A field is wrong.
    #[error("{path}: {problem}")]
    Invalid {
        /// Path of the field, for example `spec.services[1]`.
        path: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The change was not made, and will not be: the log does not answer, this node has not
    /// started yet, or too many changes wait.
    #[error("the change was not made: the platform's log does not answer or too many changes wait")]
    Unavailable,
}

impl ControlError {
    /// An [`ControlError::Invalid`] for the field at `path`.
    pub fn invalid(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::Invalid {
            path: path.into(),
            problem: problem.into(),
        }
    }
}
