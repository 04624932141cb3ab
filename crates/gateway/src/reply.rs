//! Answers of the gateway's own.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use bytes::Bytes;
use elderworks_gateway_core::attempt::NotRun;

/// How soon callers are asked to come back after a refusal.
pub(crate) const RETRY_SOON: Duration = Duration::from_millis(150);

/// Statuses that promise that the request was not run and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Promise {
    BudgetSpent,
    HeadTimeout,
    OverQuota,
    Unavailable,
}

/// Statuses that promise nothing, or that callers must change something first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The request makes no sense.
    BadRequest,
    /// It bears no valid key.
    Unauthorized,
    /// It names something that does not exist.
    NotFound,
    /// Its body is too large.
    BodyTooLarge,
    /// Its head is too large.
    HeadTooLarge,
    /// No worker gave a valid answer.
    NoValidAnswer,
    /// Its time is over.
    TimeOver,
}

/// An answer of the gateway's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    status: StatusCode,
    /// When to come back, for requests that have not run.
    retry_after: Option<Duration>,
    /// For people and logs.
    reason: &'static str,
    guarantees_not_run: bool,
}

impl Refusal {
    /// The request has not run and will not; it may be tried again soon.
    pub(crate) fn not_run(shown: NotRun, reason: &'static str) -> Self {
        Self::not_run_until(shown, reason, RETRY_SOON)
    }

    /// The request has not run and will not; it may be tried again after `pause`.
    pub(crate) fn not_run_until(shown: NotRun, reason: &'static str, pause: Duration) -> Self {
        Self::promise(shown, Promise::Unavailable, reason, Some(pause))
    }

    /// The request has not run and will not; its tenant's quota holds it after `pause`.
    pub(crate) fn over_quota(shown: NotRun, pause: Duration) -> Self {
        let reason = "the tenant's quota is used up";
        Self::promise(shown, Promise::OverQuota, reason, Some(pause))
    }

    /// The turn has not run and will not: its program has nothing left to spend.
    pub(crate) fn budget_spent(shown: NotRun) -> Self {
        let reason = "the program's budget is spent";
        Self::promise(shown, Promise::BudgetSpent, reason, None)
    }

    /// The head of the request did not come in time, so nothing was run.
    pub(crate) fn head_timeout(shown: NotRun) -> Self {
        let reason = "the head of the request took too long";
        Self::promise(shown, Promise::HeadTimeout, reason, None)
    }

    fn promise(
        _shown: NotRun,
        promise: Promise,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) -> Self {
        let status = match promise {
            Promise::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Promise::HeadTimeout => StatusCode::REQUEST_TIMEOUT,
            Promise::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Promise::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            status,
            retry_after,
            reason,
            guarantees_not_run: true,
        }
    }

    /// Nothing is known of the request's outcome.
    pub(crate) const fn unknown(reason: &'static str) -> Self {
        Self::fault(Fault::NoValidAnswer, reason)
    }

    /// The request has been held for as long as it may be; it may have run.
    pub(crate) const fn timed_out(reason: &'static str) -> Self {
        Self::fault(Fault::TimeOver, reason)
    }

    /// An answer that promises nothing.
    pub(crate) const fn fault(fault: Fault, reason: &'static str) -> Self {
        let status = match fault {
            Fault::BadRequest => StatusCode::BAD_REQUEST,
            Fault::Unauthorized => StatusCode::UNAUTHORIZED,
            Fault::NotFound => StatusCode::NOT_FOUND,
            Fault::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Fault::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Fault::NoValidAnswer => StatusCode::BAD_GATEWAY,
            Fault::TimeOver => StatusCode::GATEWAY_TIMEOUT,
        };
        Self {
            status,
            retry_after: None,
            reason,
            guarantees_not_run: false,
        }
    }

    /// Its status.
    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    /// Why, for people and logs.
    pub(crate) fn reason(&self) -> &'static str {
        self.reason
    }

    /// Whether it promises that the request was not run and will not be.
    pub(crate) fn guarantees_not_run(&self) -> bool {
        self.guarantees_not_run
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
