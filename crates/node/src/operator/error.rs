//! HTTP responses for errors.

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use elderworks_control::api::{ApiError, ErrorCode};

use super::body::json_response;

/// Returns the HTTP status for an error code.
fn status(code: ErrorCode) -> StatusCode {
    match code {
        ErrorCode::Malformed => StatusCode::BAD_REQUEST,
        ErrorCode::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorCode::Unauthorized => StatusCode::UNAUTHORIZED,
        ErrorCode::NotFound => StatusCode::NOT_FOUND,
        ErrorCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        ErrorCode::Conflict => StatusCode::CONFLICT,
        ErrorCode::WatchTooOld => StatusCode::GONE,
        ErrorCode::RunElsewhere => StatusCode::MISDIRECTED_REQUEST,
        ErrorCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ErrorCode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        ErrorCode::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Creates the response for an error.
pub(super) fn error_response(error: &ApiError) -> Response<BoxBody> {
    let mut response = json_response(status(error.code), error);
    if let Some(millis) = error.retry_after_ms {
        let seconds = HeaderValue::from(millis.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}
