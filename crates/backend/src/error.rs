//! How a request to a back end can fail.

use std::time::Duration;

use elderworks_platform_api::ErrorCode;
use elderworks_types::Usage;

/// Why it cannot be known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LostReason {
    /// The connection broke after the request may have been sent.
    Broken,
    /// No answer, or no whole answer, came in time.
    TimedOut,
    /// The answer could not be understood.
    Malformed,
}

/// A failed request, sorted by what is known of its effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// The request surely never reached the back end.
    #[error("not sent: {detail}")]
    NotSent {
        /// What happened.
        detail: String,
    },
    /// The back end said that it did not run the request.
    #[error("rejected as not run: {message}")]
    Rejected {
        /// The back end's reason.
        code: ErrorCode,
        /// The reason in words.
        message: String,
        /// When it may take the request, if it said so.
        retry_after: Option<Duration>,
    },
    /// The request may have run, in whole or in part.
    #[error("no whole answer ({reason:?}): {detail}")]
    Lost {
        /// Why there is no answer.
        reason: LostReason,
        /// What happened.
        detail: String,
        /// What the request had consumed as far as the answer showed.
        usage: Usage,
    },
    /// The back end ran the request, or may have, and answered with an error.
    #[error("answered with an error: {message}")]
    Errored {
        /// The back end's reason.
        code: ErrorCode,
        /// The reason in words.
        message: String,
        /// What the request consumed as far as the answer showed.
        usage: Usage,
    },
}

impl BackendError {
    /// A request that never left.
    pub fn not_sent(detail: impl ToString) -> Self {
        Self::NotSent {
            detail: detail.to_string(),
        }
    }

    /// A request whose answer is missing, of which nothing is known to have been consumed.
    pub fn lost(reason: LostReason, detail: impl ToString) -> Self {
        Self::Lost {
            reason,
            detail: detail.to_string(),
            usage: Usage::default(),
        }
    }

    /// The same failure, with what is known to have been consumed where that has a meaning.
    #[must_use]
    pub fn with_usage(mut self, consumed: Usage) -> Self {
        match &mut self {
            Self::Lost { usage, .. } | Self::Errored { usage, .. } => *usage = consumed,
            Self::NotSent { .. } | Self::Rejected { .. } => {}
        }
        self
    }

    /// Whether the request surely had no effect.
    pub fn is_known_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Rejected { .. })
    }

    /// Whether the back end said that what the request names is not there.
    pub fn is_not_found(&self) -> bool {
        let code = match self {
            Self::Rejected { code, .. } | Self::Errored { code, .. } => *code,
            Self::NotSent { .. } | Self::Lost { .. } => return false,
        };
        code == ErrorCode::NotFound
    }
}
