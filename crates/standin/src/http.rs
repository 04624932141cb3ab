//! HTTP requests and responses of the stand-ins.

use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use elderworks_platform_api::{ErrorBody, ErrorCode, headers};
use futures_util::Stream;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A request whose body has been read.
pub(crate) struct Incoming {
    pub(crate) method: Method,
    /// Percent-decoded path segments.
    pub(crate) segments: Vec<String>,
    /// The raw query string.
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Incoming {
    /// Returns the path segments in a form that can be matched against patterns.
    pub(crate) fn path(&self) -> Vec<&str> {
        self.segments.iter().map(String::as_str).collect()
    }

    /// Decodes the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, ErrorResponse> {
        serde_json::from_slice(&self.body).map_err(ErrorResponse::invalid)
    }

    /// Decodes the query string.
    pub(crate) fn query<T: DeserializeOwned>(&self) -> Result<T, ErrorResponse> {
        serde_urlencoded::from_str(&self.query).map_err(ErrorResponse::invalid)
    }

    /// Returns a header's text, or `None` if it is absent or not text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the text of a mandatory header.
    ///
    /// # Errors
    ///
    /// Returns an error response if the header is absent, empty or not text.
    pub(crate) fn required_header(&self, name: &str) -> Result<&str, ErrorResponse> {
        let value = self.header(name).filter(|value| !value.is_empty());
        value.ok_or_else(|| ErrorResponse::invalid(format!("header {name} is missing or not text")))
    }
}

/// Outcome of a handled request.
pub(crate) enum Reply {
    /// A response is sent.
    Response(Response<BoxBody>),
    /// The connection is closed without a response.
    Disconnect,
}

impl Reply {
    /// Returns a successful response with a JSON body.
    pub(crate) fn json(value: &impl Serialize) -> Self {
        Reply::Response(json_response(StatusCode::OK, value))
    }

    /// Returns a response that streams server-sent events.
    pub(crate) fn event_stream(
        events: impl Stream<Item = Result<Bytes, std::io::Error>> + 'static,
    ) -> Self {
        let response = Response::build(StatusCode::OK)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .insert_header(("cache-control", "no-cache"))
            .body(BodyStream::new(events));
        Reply::Response(response.map_into_boxed_body())
    }
}

/// Result of a request handler.
pub(crate) type HandlerResult = Result<Reply, ErrorResponse>;

/// A response with a status of 400 or above.
pub(crate) struct ErrorResponse {
    status: StatusCode,
    body: ErrorBody,
    retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// Creates the response to a request that was not run.
    pub(crate) fn not_run(status: StatusCode, code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            status,
            body: ErrorBody::not_run(code, message),
            retry_after: None,
        }
    }

    /// Creates the response to a request that was run and failed.
    pub(crate) fn failed(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            body: ErrorBody::run(ErrorCode::Failed, message),
            retry_after: None,
        }
    }

    /// Creates a response that does not state whether the request was run.
    pub(crate) fn outcome_unknown(
        status: StatusCode,
        code: ErrorCode,
        message: impl Into<String>,
    ) -> Self {
        let mut error = Self::not_run(status, code, message);
        error.body.run = None;
        error
    }

    /// Creates the response to a malformed header, query or body.
    pub(crate) fn invalid(problem: impl ToString) -> Self {
        Self::not_run(
            StatusCode::BAD_REQUEST,
            ErrorCode::InvalidRequest,
            problem.to_string(),
        )
    }

    /// Creates the response to an unknown path or resource.
    pub(crate) fn not_found() -> Self {
        Self::not_run(StatusCode::NOT_FOUND, ErrorCode::NotFound, "not found")
    }

    /// Creates the response to a method that the path does not support.
    pub(crate) fn method_not_allowed() -> Self {
        Self::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            ErrorCode::MethodNotAllowed,
            "method not allowed",
        )
    }

    /// Adds a `Retry-After` header.
    pub(crate) fn retry_after(mut self, duration: Duration) -> Self {
        self.retry_after = Some(duration);
        self
    }

    /// Converts the error to an HTTP response.
    pub(crate) fn into_response(self) -> Response<BoxBody> {
        let mut response = json_response(self.status, &self.body);
        if let Some(duration) = self.retry_after {
            let seconds = HeaderValue::from(whole_seconds(duration));
            let name = actix_http::header::HeaderName::from_static(headers::RETRY_AFTER);
            response.headers_mut().insert(name, seconds);
        }
        response
    }
}

/// Rounds up to whole seconds, so that a client does not retry too early.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    // Encoding cannot fail: all map keys of the wire types are valid in JSON.
    let text = serde_json::to_vec(value).expect("wire types encode as JSON");
    Response::build(status)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(text)
        .map_into_boxed_body()
}
