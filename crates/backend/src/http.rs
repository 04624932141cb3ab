//! What all clients share: connections, deadlines and the sorting of failures.

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

/// Most bytes of an answer that is read as a whole.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Most connections open at once; each streamed answer holds one.
const MAX_CONNECTIONS: usize = 4_096;

/// Longest time to establish a connection. Shorter than the limits of requests, so that a request
/// to a machine that is gone counts as not sent rather than as perhaps run.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer whose body has yet to be read.
pub(crate) type Answer = ClientResponse<LocalBoxStream<'static, Result<Bytes, PayloadError>>>;

/// Connections to back ends, shared by the clients of one thread.
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
    /// No connection is open yet.
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

/// One back end.
#[derive(Clone)]
pub struct Endpoint {
    http: HttpClient,
    base_url: String,
    timeout: Duration,
}

impl Endpoint {
    /// The back end at `base_url` (`http://IP:port`). `timeout` bounds each request for which no
    /// other limit is given, from connecting to the end of the answer.
    pub fn new(http: HttpClient, base_url: &str, timeout: Duration) -> Self {
        Self {
            http,
            base_url: base_url.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    /// When a request that starts now is given up, unless it has a limit of its own.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }

    /// When a request that starts now and may wait for `wait` at the back end is given up.
    pub(crate) fn deadline_after(&self, wait: Duration) -> Instant {
        Instant::now() + wait + self.timeout
    }

    /// A request to `path`.
    pub(crate) fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("{}{path}", self.base_url);
        self.http.client.request(method, url)
    }

    /// Asks for `path` and decodes the answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, BackendError> {
        let deadline = self.deadline();
        json(self.request(Method::GET, path), Body::Empty, deadline).await
    }

    /// Sends `body` to `path` as JSON and decodes the answer.
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
    /// None.
    Empty,
    /// Bytes as they are.
    Raw(Bytes),
    /// JSON text.
    Json(Vec<u8>),
}

impl Body {
    /// Encodes `value`.
    pub(crate) fn json(value: &impl Serialize) -> Result<Self, BackendError> {
        let encoded = serde_json::to_vec(value).map_err(BackendError::not_sent)?;
        Ok(Body::Json(encoded))
    }
}

/// Adds a query.
pub(crate) fn with_query(
    request: ClientRequest,
    query: &impl Serialize,
) -> Result<ClientRequest, BackendError> {
    request.query(query).map_err(BackendError::not_sent)
}

/// Sends a request and decodes the whole answer.
pub(crate) async fn json<T: DeserializeOwned>(
    request: ClientRequest,
    body: Body,
    deadline: Instant,
) -> Result<T, BackendError> {
    let answer = open(request, body, deadline).await?;
    let body = whole_body(answer, deadline).await?;
    decode::json_body(&body)
}

/// Sends a request and returns a successful answer whose body has yet to be read.
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
    Err(error_answer(answer, deadline).await)
}

async fn error_answer(answer: Answer, deadline: Instant) -> BackendError {
    let status = answer.status().as_u16();
    let retry_after = answer
        .headers()
        .get(headers::RETRY_AFTER)
        .and_then(|value| decode::retry_after(value.as_bytes()));
    match whole_body(answer, deadline).await {
        Ok(body) => decode::error_body(status, retry_after, &body),
        Err(error) => error,
    }
}

async fn whole_body(mut answer: Answer, deadline: Instant) -> Result<Bytes, BackendError> {
    let expected_bytes = content_length(&answer);
    let body = answer.body().limit(MAX_ANSWER_BYTES);
    let body = timeout_at(deadline, body).await.map_err(|_| timed_out())?;
    let body = body.map_err(payload_failure)?;
    // awc ends a body without an error where the connection does.
    if expected_bytes.is_some_and(|expected| expected != body.len()) {
        let detail = "connection closed within the answer";
        return Err(BackendError::lost(LostReason::Broken, detail));
    }
    Ok(body)
}

fn content_length(answer: &Answer) -> Option<usize> {
    let value = answer.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// The failure of an answer that did not come, or did not end, in time.
pub(crate) fn timed_out() -> BackendError {
    BackendError::lost(LostReason::TimedOut, "no whole answer in time")
}

/// Sorts a failure to read an answer's body.
pub(crate) fn payload_failure(error: PayloadError) -> BackendError {
    let reason = match error {
        PayloadError::Overflow | PayloadError::EncodingCorrupted | PayloadError::UnknownLength => {
            LostReason::Malformed
        }
        _ => LostReason::Broken,
    };
    BackendError::lost(reason, error)
}

/// Sorts a failure to send a request. Only what happens before the connection stands is surely not
/// sent; `awc` also reports a connection that closed before the answer as a `ConnectError`.
fn send_failure(error: SendRequestError) -> BackendError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            BackendError::lost(LostReason::Broken, "connection closed before the answer")
        }
        SendRequestError::Connect(error) => BackendError::not_sent(error),
        SendRequestError::Url(error) => BackendError::not_sent(error),
        // Raised while the request is put together, as for a header value that is not allowed.
        SendRequestError::Http(error) => BackendError::not_sent(error),
        SendRequestError::Timeout => timed_out(),
        SendRequestError::Response(ParseError::Io(error)) => {
            BackendError::lost(LostReason::Broken, error)
        }
        SendRequestError::Response(error) => BackendError::lost(LostReason::Malformed, error),
        error => BackendError::lost(LostReason::Broken, error),
    }
}
