//! Requests and answers as the stand-ins see them.

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
    /// Decoded segments of the path.
    pub(crate) segments: Vec<String>,
    /// The query, undecoded.
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Incoming {
    /// The segments, to be matched against patterns.
    pub(crate) fn path(&self) -> Vec<&str> {
        self.segments.iter().map(String::as_str).collect()
    }

    /// Decodes the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body).map_err(Refusal::invalid)
    }

    /// Decodes the query.
    pub(crate) fn query<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_urlencoded::from_str(&self.query).map_err(Refusal::invalid)
    }

    /// A header's text; `None` where it is absent or not text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The text of a header without which the request makes no sense.
    pub(crate) fn required_header(&self, name: &str) -> Result<&str, Refusal> {
        let value = self.header(name).filter(|value| !value.is_empty());
        value.ok_or_else(|| Refusal::invalid(format!("header {name} is missing or not text")))
    }
}

/// What becomes of a request.
pub(crate) enum Reply {
    /// An answer.
    Answer(Response<BoxBody>),
    /// The connection is closed without an answer.
    Disconnect,
}

impl Reply {
    /// A successful answer in JSON.
    pub(crate) fn json(value: &impl Serialize) -> Self {
        Reply::Answer(json_response(StatusCode::OK, value))
    }

    /// A server-sent event stream.
    pub(crate) fn event_stream(
        events: impl Stream<Item = Result<Bytes, std::io::Error>> + 'static,
    ) -> Self {
        let response = Response::build(StatusCode::OK)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .insert_header(("cache-control", "no-cache"))
            .body(BodyStream::new(events));
        Reply::Answer(response.map_into_boxed_body())
    }
}

/// What a handler returns.
pub(crate) type Handled = Result<Reply, Refusal>;

/// An answer with a status of 400 or above.
pub(crate) struct Refusal {
    status: StatusCode,
    body: ErrorBody,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// A request that was not run.
    pub(crate) fn not_run(status: StatusCode, code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            status,
            body: ErrorBody::not_run(code, message),
            retry_after: None,
        }
    }

    /// A request that was run and failed.
    pub(crate) fn failed(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            body: ErrorBody::run(ErrorCode::Failed, message),
            retry_after: None,
        }
    }

    /// A request of which nothing is said whether it ran.
    pub(crate) fn unclaimed(
        status: StatusCode,
        code: ErrorCode,
        message: impl Into<String>,
    ) -> Self {
        let mut refusal = Self::not_run(status, code, message);
        refusal.body.run = None;
        refusal
    }

    /// A header, query or body that does not have the expected form.
    pub(crate) fn invalid(problem: impl ToString) -> Self {
        Self::not_run(
            StatusCode::BAD_REQUEST,
            ErrorCode::InvalidRequest,
            problem.to_string(),
        )
    }

    /// A path, or a thing named by it, that does not exist.
    pub(crate) fn not_found() -> Self {
        Self::not_run(StatusCode::NOT_FOUND, ErrorCode::NotFound, "not found")
    }

    /// A path that exists, but not with this method.
    pub(crate) fn method_not_allowed() -> Self {
        Self::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            ErrorCode::MethodNotAllowed,
            "method not allowed",
        )
    }

    /// The same, saying when to come back.
    pub(crate) fn retry_after(mut self, duration: Duration) -> Self {
        self.retry_after = Some(duration);
        self
    }

    /// The answer to send.
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

/// Rounds up, so that who comes back then is not too early.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    // The wire types hold no map with keys that JSON lacks, so encoding them cannot fail.
    let text = serde_json::to_vec(value).expect("wire types encode as JSON");
    Response::build(status)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(text)
        .map_into_boxed_body()
}
