//! Answers of the gateway's own.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use bytes::Bytes;

/// How soon callers are asked to come back after a refusal.
pub(crate) const RETRY_SOON: Duration = Duration::from_millis(150);

/// An answer of the gateway's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Its status.
    pub(crate) status: StatusCode,
    /// When to come back, for requests that have not run.
    pub(crate) retry_after: Option<Duration>,
    /// For people and logs.
    pub(crate) reason: &'static str,
}

impl Refusal {
    /// The request has not run and will not; it may be tried again soon.
    pub(crate) const fn not_run(reason: &'static str) -> Self {
        Self::not_run_until(reason, RETRY_SOON)
    }

    /// The request has not run and will not; it may be tried again after `pause`.
    pub(crate) const fn not_run_until(reason: &'static str, pause: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(pause),
            reason,
        }
    }

    /// The request has not run and will not; its tenant's quota holds it after `pause`.
    pub(crate) const fn over_quota(pause: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            retry_after: Some(pause),
            reason: "the tenant's quota is used up",
        }
    }

    /// Nothing is known of the request's outcome.
    pub(crate) const fn unknown(reason: &'static str) -> Self {
        Self::plain(StatusCode::BAD_GATEWAY, reason)
    }

    /// The request has been held for as long as it may be; it may have run.
    pub(crate) const fn timed_out(reason: &'static str) -> Self {
        Self::plain(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// An answer that only names its status.
    pub(crate) const fn plain(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// Its headers.
    pub(crate) fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(pause) = self.retry_after {
            let text = format!("{:.3}", pause.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        headers
    }

    /// Its body.
    pub(crate) fn body(&self) -> Bytes {
        Bytes::from_static(self.reason.as_bytes())
    }
}
