//! Errors of the operator verbs and their exit codes.

use std::process::ExitCode;

use elderworks_control::api::{ApiError, ErrorCode};
use elderworks_control::manifest::ManifestError;

/// Error of an operator verb.
#[derive(Debug, thiserror::Error)]
pub enum VerbError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Path as given on the command line.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A file contains an invalid resource.
    #[error("{file}: {source}")]
    Manifest {
        /// Path as given on the command line.
        file: String,
        /// Cause.
        source: ManifestError,
    },
    /// A node responded with an error.
    #[error("{}{error}", prefix(.error))]
    Api {
        /// Error document of the response.
        error: Box<ApiError>,
    },
    /// No node could be reached, so nothing was changed.
    #[error("no node could be reached: {0}")]
    Unreachable(String),
    /// The connection failed before the response; whether a change was made is unknown.
    #[error("the connection broke before the answer: {0}")]
    ConnectionLost(String),
    /// A node sent a response that cannot be parsed.
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
    /// Returns the error code if a node responded with an error.
    pub fn code(&self) -> Option<ErrorCode> {
        match self {
            Self::Api { error } => Some(error.code),
            _ => None,
        }
    }

    /// Returns whether nothing was changed and a retry may succeed.
    pub fn is_retryable(&self) -> bool {
        match self {
            Self::Unreachable(_) => true,
            other => other.code() == Some(ErrorCode::Unavailable),
        }
    }

    /// Returns the exit code: 1 unexpected error, 2 usage, 3 not found, 4 conflict, 5 invalid
    /// resource, 6 nothing was changed and a retry may succeed, 7 outcome unknown, 8 not
    /// authorized.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Unreadable { .. } | Self::Unexpected(_) => 1,
            Self::Manifest { .. } => 5,
            Self::Unreachable(_) => 6,
            Self::ConnectionLost(_) => 7,
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
