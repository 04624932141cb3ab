//! HTTP requests shared by all clients: connections, deadlines and classification of errors.

use std::time::Duration;

use actix_http::error::{ParseError, PayloadError};
use actix_rt::time::Instant;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::http::header::CONTENT_LENGTH;
use awc::{ClientRequest, ClientResponse, Connector};
use bytes::Bytes;
use elderworks_platform_api::headers;
use futures_util::stream::LocalBoxStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout_at;

use crate::{BackendError, LostReason, decode};

/// Maximum size of a response body that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Maximum number of open connections; each streamed answer uses one.
const MAX_CONNECTIONS: usize = 4_096;

/// Timeout of establishing a connection. It is shorter than the timeouts of requests, so that a
/// request to an unreachable machine is classified as not sent instead of lost.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A response whose body has not been read yet.
pub(crate) type Answer = ClientResponse<LocalBoxStream<'static, Result<Bytes, PayloadError>>>;

/// A connection pool shared by the clients of one thread.
#[derive(Clone)]
pub struct HttpClient {
    client: awc::Client,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a pool without open connections.
    pub fn new() -> Self {
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .timeout(CONNECT_TIMEOUT);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .finish();
        Self { client }
    }
}

/// The base URL of a back end, with the timeout of its requests.
#[derive(Clone)]
pub struct Endpoint {
    http: HttpClient,
    base_url: String,
    timeout: Duration,
}

impl Endpoint {
    /// Creates an endpoint at `base_url` (`http://IP:port`). `timeout` limits each request without a
    /// timeout of its own, from connecting to the end of the response.
    pub fn new(http: HttpClient, base_url: &str, timeout: Duration) -> Self {
        Self {
            http,
            base_url: base_url.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    /// Returns the deadline of a request that starts now and has no timeout of its own.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }

    /// Returns the deadline of a request that starts now and may wait for `wait` at the back end.
    pub(crate) fn deadline_after(&self, wait: Duration) -> Instant {
        Instant::now() + wait + self.timeout
    }

    /// Creates a request to `path`.
    pub(crate) fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("{}{path}", self.base_url);
        self.http.client.request(method, url)
    }

    /// Sends a GET request to `path` and decodes the JSON response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, BackendError> {
        let deadline = self.deadline();
        json(self.request(Method::GET, path), Body::Empty, deadline).await
    }

    /// Sends `body` to `path` as JSON and decodes the JSON response.
    pub(crate) async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, BackendError> {
        let deadline = self.deadline();
        let body = Body::json(body)?;
        json(self.request(method, path), body, deadline).await
    }
}

/// Body of a request.
pub(crate) enum Body {
    /// No body.
    Empty,
    /// Bytes, sent unchanged.
    Raw(Bytes),
    /// JSON text.
    Json(Vec<u8>),
}

impl Body {
    /// Encodes `value` as JSON.
    pub(crate) fn json(value: &impl Serialize) -> Result<Self, BackendError> {
        let encoded = serde_json::to_vec(value).map_err(BackendError::not_sent)?;
        Ok(Body::Json(encoded))
    }
}

/// Adds a query string to a request.
pub(crate) fn with_query(
    request: ClientRequest,
    query: &impl Serialize,
) -> Result<ClientRequest, BackendError> {
    request.query(query).map_err(BackendError::not_sent)
}

/// Sends a request, reads the complete response and decodes it as JSON.
pub(crate) async fn json<T: DeserializeOwned>(
    request: ClientRequest,
    body: Body,
    deadline: Instant,
) -> Result<T, BackendError> {
    let answer = open(request, body, deadline).await?;
    let body = read_body(answer, deadline).await?;
    decode::json_body(&body)
}

/// Sends a request and returns a successful response whose body has not been read yet.
pub(crate) async fn open(
    request: ClientRequest,
    body: Body,
    deadline: Instant,
) -> Result<Answer, BackendError> {
    let request = request.timeout(deadline.saturating_duration_since(Instant::now()));
    let sent = match body {
        Body::Empty => request.send(),
        Body::Raw(bytes) => request.send_body(bytes),
        Body::Json(text) => request.content_type("application/json").send_body(text),
    };
    let answer = sent.await.map_err(send_failure)?;
    if answer.status().is_success() {
        return Ok(answer);
    }
    Err(decode_error(answer, deadline).await)
}

async fn decode_error(answer: Answer, deadline: Instant) -> BackendError {
    let status = answer.status().as_u16();
    let retry_after = answer
        .headers()
        .get(headers::RETRY_AFTER)
        .and_then(|value| decode::retry_after(value.as_bytes()));
    match read_body(answer, deadline).await {
        Ok(body) => decode::error_body(status, retry_after, &body),
        Err(error) => error,
    }
}

async fn read_body(mut answer: Answer, deadline: Instant) -> Result<Bytes, BackendError> {
    let expected_bytes = content_length(&answer);
    let body = answer.body().limit(MAX_ANSWER_BYTES);
    let body = timeout_at(deadline, body).await.map_err(|_| timed_out())?;
    let body = body.map_err(payload_failure)?;
    // awc does not report an error if the connection closes before the end of the body.
    if expected_bytes.is_some_and(|expected| expected != body.len()) {
        let detail = "connection closed before the end of the answer";
        return Err(BackendError::lost(LostReason::Broken, detail));
    }
    Ok(body)
}

fn content_length(answer: &Answer) -> Option<usize> {
    let value = answer.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Creates the error of a response that was not completely received in time.
pub(crate) fn timed_out() -> BackendError {
    BackendError::lost(
        LostReason::TimedOut,
        "timed out before the end of the answer",
    )
}

/// Classifies an error while reading a response body.
pub(crate) fn payload_failure(error: PayloadError) -> BackendError {
    let reason = match error {
        PayloadError::Overflow | PayloadError::EncodingCorrupted | PayloadError::UnknownLength => {
            LostReason::Malformed
        }
        _ => LostReason::Broken,
    };
    BackendError::lost(reason, error)
}

/// Classifies an error while sending a request. Only an error before the connection is established
/// means that the request was not sent. `awc` also reports a connection that closed before the
/// response as a `ConnectError`; that request may have run.
fn send_failure(error: SendRequestError) -> BackendError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            BackendError::lost(LostReason::Broken, "connection closed before the answer")
        }
        SendRequestError::Connect(error) => BackendError::not_sent(error),
        SendRequestError::Url(error) => BackendError::not_sent(error),
        // Occurs while building the request, for example for an invalid header value.
        SendRequestError::Http(error) => BackendError::not_sent(error),
        SendRequestError::Timeout => timed_out(),
        SendRequestError::Response(ParseError::Io(error)) => {
            BackendError::lost(LostReason::Broken, error)
        }
        SendRequestError::Response(error) => BackendError::lost(LostReason::Malformed, error),
        error => BackendError::lost(LostReason::Broken, error),
    }
}
