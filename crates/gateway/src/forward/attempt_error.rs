//! Why an attempt got no answer that can be passed on.

use actix_http::StatusCode;

use crate::upstream::ExchangeError;

/// The reason why an attempt got no answer that can be passed on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AttemptError {
    /// The worker did not and will not run the request.
    #[error("refused with {}", .0.as_u16())]
    Refused(StatusCode),
    /// The request may have run: the answer contradicts itself or has no proof of what its status
    /// promises.
    #[error("status {}, which doesn't prove whether the request was run", .0.as_u16())]
    Unproven(StatusCode),
    /// No answer was received.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}
