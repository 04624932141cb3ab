//! Error responses of the API and their stable codes.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use elderworks_types::{FailureReason, Outcome, Refusal, RefusalReason, UnknownReason};

use crate::core_client::{NoAnswerFromNode, StartError};
use crate::wire::{ErrorBody, ErrorFields, WasRun};

/// Header that controls whether OpenAI's client libraries retry a request automatically.
const SHOULD_RETRY_HEADER: &str = "x-should-retry";

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    status: StatusCode,
    code: &'static str,
    message: String,
    run: WasRun,
    retry_after: Option<Duration>,
}

impl ApiError {
    /// Creates an error for an invalid request, of which nothing was run.
    pub fn request(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            run: WasRun::No,
            retry_after: None,
        }
    }

    /// Creates an error for a field that is missing, of the wrong type or out of range.
    pub fn invalid(message: impl Into<String>) -> Self {
        Self::request(StatusCode::BAD_REQUEST, "invalid_request", message)
    }

    /// Creates the error for a run that does not exist or belongs to another tenant.
    pub fn run_not_found() -> Self {
        Self::refused(&Refusal {
            reason: RefusalReason::RunNotFound,
            retry_after: None,
        })
    }

    /// Creates an error from a refusal.
    pub fn refused(refusal: &Refusal) -> Self {
        let (status, code, message) = describe_refusal(refusal.reason);
        Self {
            status,
            code,
            message: message.to_owned(),
            run: WasRun::No,
            retry_after: refusal.retry_after,
        }
    }

    /// Creates the error for an answer that started over after a part of it had been streamed.
    pub fn answer_restarted() -> Self {
        Self {
            status: StatusCode::CONFLICT,
            code: "answer_restarted",
            message:
                "the answer was restarted; repeat the request with the same call number to get it"
                    .to_owned(),
            run: WasRun::Yes,
            retry_after: Some(Duration::ZERO),
        }
    }

    /// Creates an error from an outcome, or returns `None` if the call completed.
    pub fn from_outcome(outcome: &Outcome) -> Option<Self> {
        match outcome {
            Outcome::Completed(_) => None,
            Outcome::Refused(refusal) => Some(Self::refused(refusal)),
            Outcome::Failed(failure) => {
                let (status, code, message, run) = describe_failure(failure.reason);
                Some(Self {
                    status,
                    code,
                    message: append_detail(message, &failure.detail),
                    run,
                    retry_after: None,
                })
            }
            Outcome::Unknown(reason) => {
                let (code, message) = describe_unknown(*reason);
                Some(Self {
                    status: StatusCode::BAD_GATEWAY,
                    code,
                    message: message.to_owned(),
                    run: WasRun::Unknown,
                    retry_after: None,
                })
            }
        }
    }

    /// Returns the stable error code.
    pub fn code(&self) -> &'static str {
        self.code
    }

    /// Renders the JSON body.
    pub fn body(&self) -> String {
        let retry_after_ms = self.retry_after.map(|wait| wait.as_millis() as u64);
        let body = ErrorBody {
            error: ErrorFields {
                code: self.code.to_owned(),
                message: self.message.clone(),
                run: self.run,
                retry_after_ms,
            },
        };
        serde_json::to_string(&body).expect("errors are plain data")
    }

    /// Converts the error to an HTTP response.
    pub fn into_response(self) -> Response<BoxBody> {
        let mut builder = Response::build(self.status);
        builder.insert_header((CONTENT_TYPE, "application/json"));
        if let Some(wait) = self.retry_after {
            builder.insert_header((RETRY_AFTER, whole_seconds(wait).to_string()));
        }
        if self.run != WasRun::No {
            builder.insert_header((SHOULD_RETRY_HEADER, "false"));
        }
        builder.body(self.body()).map_into_boxed_body()
    }
}

fn whole_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1000) as u64
}

fn append_detail(message: &str, detail: &str) -> String {
    if detail.is_empty() {
        message.to_owned()
    } else {
        format!("{message}: {detail}")
    }
}

impl From<NoAnswerFromNode> for ApiError {
    fn from(_: NoAnswerFromNode) -> Self {
        Self {
            // Not 503, which would imply that the request had no effect.
            status: StatusCode::GATEWAY_TIMEOUT,
            code: "no_answer_from_node",
            message: "no node answered in time; the request may be repeated".to_owned(),
            run: WasRun::Unknown,
            retry_after: Some(elderworks_sidecar_core::core::RETRY_AFTER),
        }
    }
}

impl From<StartError> for ApiError {
    fn from(error: StartError) -> Self {
        match error {
            StartError::Refused(refusal) => Self::refused(&refusal),
            StartError::NoAnswerFromNode => NoAnswerFromNode.into(),
        }
    }
}

fn describe_refusal(reason: RefusalReason) -> (StatusCode, &'static str, &'static str) {
    use RefusalReason as R;
    match reason {
        R::LogUnavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "log_unavailable",
            "the platform's log is not responding",
        ),
        R::Overloaded => (
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded",
            "queues are full, or the call could not be answered by its deadline",
        ),
        R::RunBudgetExhausted => (
            StatusCode::PAYMENT_REQUIRED,
            "run_budget_exhausted",
            "the run's budget cannot cover this call",
        ),
        R::TenantBudgetExhausted => (
            StatusCode::PAYMENT_REQUIRED,
            "tenant_budget_exhausted",
            "the tenant's budget cannot cover this call",
        ),
        R::RunLimitReached => (
            StatusCode::CONFLICT,
            "run_limit_reached",
            "the run has reached a limit of its program",
        ),
        R::RunEnded => (StatusCode::CONFLICT, "run_ended", "the run has ended"),
        R::RunNotFound => (
            StatusCode::NOT_FOUND,
            "run_not_found",
            "the run does not exist",
        ),
        R::NoBackend => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_backend",
            "no live service offers the model or tool",
        ),
        R::UnknownService => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "unknown_service",
            "no service offers the model, tool or program",
        ),
        R::CallNumberReused => (
            StatusCode::CONFLICT,
            "call_number_reused",
            "the call's number was used by a different call",
        ),
        R::DeadlinePassed => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline_passed",
            "the deadline passed before the call could start",
        ),
        R::EarlierCallMissing => (
            StatusCode::CONFLICT,
            "earlier_call_missing",
            "earlier calls of the run did not arrive in time",
        ),
        R::HistoryMissing => (
            StatusCode::CONFLICT,
            "history_missing",
            "the call refers to more history than the run has; read the run and submit a new call",
        ),
        R::NoNodeReachable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_node_reachable",
            "no node could be reached",
        ),
    }
}

fn describe_failure(reason: FailureReason) -> (StatusCode, &'static str, &'static str, WasRun) {
    match reason {
        FailureReason::BackendError => (
            StatusCode::BAD_GATEWAY,
            "backend_error",
            "the back end answered with an error",
            WasRun::Yes,
        ),
        FailureReason::AttemptsExhausted => (
            StatusCode::BAD_GATEWAY,
            "attempts_exhausted",
            "every permitted attempt was lost",
            WasRun::Unknown,
        ),
        FailureReason::TimedOut => (
            StatusCode::GATEWAY_TIMEOUT,
            "timed_out",
            "the call ran longer than its limit",
            WasRun::Unknown,
        ),
        FailureReason::Cancelled => (
            StatusCode::CONFLICT,
            "cancelled",
            "the run was ended while the call was open",
            WasRun::Unknown,
        ),
    }
}

fn describe_unknown(reason: UnknownReason) -> (&'static str, &'static str) {
    match reason {
        UnknownReason::OwnerLost => (
            "owner_lost",
            "the node was lost after it may have run the call, which will not be run again",
        ),
        UnknownReason::ConnectionLost => (
            "connection_lost",
            "the connection to the back end broke after the call was sent; it will not be run again",
        ),
        UnknownReason::NoAnswer => (
            "no_answer",
            "the back end did not answer in time; the call will not be run again",
        ),
    }
}
