//! Errors of requests to back ends.

use std::time::Duration;

use elderworks_platform_api::ErrorCode;
use elderworks_types::Usage;

/// The reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LostReason {
    /// The connection broke after the request may have been sent.
    Broken,
    /// The complete answer was not received in time.
    TimedOut,
    /// The answer could not be decoded.
    Malformed,
}

/// Error of a request, classified by whether the request can have had an effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// The request did not reach the back end.
    #[error("not sent: {detail}")]
    NotSent {
        /// Description of the failure.
        detail: String,
    },
    /// The back end reported that it did not run the request.
    #[error("rejected as not run: {message}")]
    Rejected {
        /// Error code of the back end.
        code: ErrorCode,
        /// Error message of the back end.
        message: String,
        /// Delay after which the back end may accept the request, if it sent one.
        retry_after: Option<Duration>,
    },
    /// The request may have run, completely or partly.
    #[error("no complete answer ({reason:?}): {detail}")]
    Lost {
        /// The reason why there is no complete answer.
        reason: LostReason,
        /// Description of the failure.
        detail: String,
        /// Consumed tokens, as far as known from the part of the answer that was received.
        usage: Usage,
    },
    /// The back end answered with an error and ran the request, or may have run it.
    #[error("answered with an error: {message}")]
    Errored {
        /// Error code of the back end.
        code: ErrorCode,
        /// Error message of the back end.
        message: String,
        /// Consumed tokens, as far as known from the answer.
        usage: Usage,
    },
}

impl BackendError {
    /// Creates the error of a request that was not sent.
    pub fn not_sent(detail: impl ToString) -> Self {
        Self::NotSent {
            detail: detail.to_string(),
        }
    }

    /// Creates the error of a request without a complete answer, with a usage of zero.
    pub fn lost(reason: LostReason, detail: impl ToString) -> Self {
        Self::Lost {
            reason,
            detail: detail.to_string(),
            usage: Usage::default(),
        }
    }

    /// Sets the usage of an error whose request may have run; other errors stay unchanged.
    #[must_use]
    pub fn with_usage(mut self, consumed: Usage) -> Self {
        match &mut self {
            Self::Lost { usage, .. } | Self::Errored { usage, .. } => *usage = consumed,
            Self::NotSent { .. } | Self::Rejected { .. } => {}
        }
        self
    }

    /// Returns whether the request is known to have had no effect.
    pub fn is_known_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Rejected { .. })
    }

    /// Returns whether the back end reported that the requested object does not exist.
    pub fn is_not_found(&self) -> bool {
        let code = match self {
            Self::Rejected { code, .. } | Self::Errored { code, .. } => *code,
            Self::NotSent { .. } | Self::Lost { .. } => return false,
        };
        code == ErrorCode::NotFound
    }
}
