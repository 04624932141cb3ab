//! How a verb can fail, and the exit code that says so.

use std::process::ExitCode;

use elderworks_control::api::{ApiError, ErrorCode};
use elderworks_control::manifest::ManifestError;

/// A verb that did not do what it was asked.
#[derive(Debug, thiserror::Error)]
pub enum VerbError {
    /// The command line makes no sense.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// A file holds something that is not a resource.
    #[error("{file}: {source}")]
    Manifest {
        /// The file.
        file: String,
        /// What is wrong.
        source: ManifestError,
    },
    /// A node answered with an error.
    #[error("{}{error}", prefix(.error))]
    Api {
        /// The error.
        error: Box<ApiError>,
    },
    /// No node could be reached: nothing was done.
    #[error("no node could be reached: {0}")]
    Unreachable(String),
    /// The connection broke before the answer; whether a change was made is not known.
    #[error("the connection broke before the answer: {0}")]
    Broken(String),
    /// A node answered something that this command does not understand.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

fn prefix(error: &ApiError) -> String {
    match &error.path {
        Some(path) => format!("{path}: "),
        None => String::new(),
    }
}

impl From<ApiError> for VerbError {
    fn from(error: ApiError) -> Self {
        Self::Api {
            error: Box::new(error),
        }
    }
}

impl VerbError {
    /// The code of an answer, if a node gave one.
    pub fn code(&self) -> Option<ErrorCode> {
        match self {
            Self::Api { error } => Some(error.code),
            _ => None,
        }
    }

    /// Whether surely nothing was done and trying again soon may succeed.
    pub fn may_be_tried_again(&self) -> bool {
        match self {
            Self::Unreachable(_) => true,
            other => other.code() == Some(ErrorCode::Unavailable),
        }
    }

    /// Exit code: 1 unexpected, 2 usage, 3 not found, 4 conflict, 5 invalid, 6 nothing was done and
    /// trying again may succeed, 7 outcome unknown, 8 not authorized.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Unreadable { .. } | Self::Unexpected(_) => 1,
            Self::Manifest { .. } => 5,
            Self::Unreachable(_) => 6,
            Self::Broken(_) => 7,
            Self::Api { error } => exit_code_of(error.code),
        }
    }
}

fn exit_code_of(code: ErrorCode) -> u8 {
    match code {
        ErrorCode::MethodNotAllowed => 2,
        ErrorCode::NotFound => 3,
        ErrorCode::Conflict => 4,
        ErrorCode::Malformed | ErrorCode::Invalid | ErrorCode::BodyTooLarge => 5,
        ErrorCode::Unavailable | ErrorCode::RunElsewhere | ErrorCode::WatchTooOld => 6,
        ErrorCode::OutcomeUnknown => 7,
        ErrorCode::Unauthorized => 8,
    }
}

impl From<VerbError> for ExitCode {
    fn from(error: VerbError) -> Self {
        Self::from(error.exit_code())
    }
}
