//! HTTP requests shared by all clients: servers, deadlines and classification of errors.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use actix_rt::time::Instant;
use bytes::Bytes;
use elderworks_http_client::client::{Client, Response, SendError};
use elderworks_http_client::exchange::ExchangeError;
use elderworks_http_client::response::ResponseError;
use elderworks_http_client::url::Url;
use elderworks_platform_api::headers;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout_at;

use crate::{BackendError, LostReason, decode};

/// Maximum size of a response body that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Maximum number of exchanges in progress; each streamed answer is one.
const MAX_EXCHANGES: usize = 4_096;

/// Timeout of establishing a connection. It is shorter than the timeouts of requests, so that a
/// request to an unreachable machine is classified as not sent instead of lost.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection pool shared by the clients of one thread.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a pool without open connections.
    pub fn new() -> Self {
        Self {
            client: Client::new(CONNECT_TIMEOUT, MAX_EXCHANGES),
        }
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
    /// Creates an endpoint at `base_url` (`http://IP:port`, optionally with a path). `timeout` limits
    /// each request without a timeout of its own, from connecting to the end of the response.
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
    pub(crate) fn request(&self, method: Method, path: &str) -> Request {
        Request {
            http: self.http.clone(),
            method,
            url: format!("{}{path}", self.base_url),
            headers: Ok(HeaderMap::new()),
            is_alone: false,
        }
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

/// A request without its body.
pub(crate) struct Request {
    http: HttpClient,
    method: Method,
    url: String,
    /// An error if a header is invalid.
    headers: Result<HeaderMap, BackendError>,
    /// Whether it gets a connection of its own.
    is_alone: bool,
}

impl Request {
    /// Adds a header.
    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers = self.headers.and_then(|mut headers| {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(BackendError::not_sent)?;
            let value = HeaderValue::from_str(value).map_err(BackendError::not_sent)?;
            headers.insert(name, value);
            Ok(headers)
        });
        self
    }

    /// Sends the request on a connection of its own. Required where the response decides whether
    /// something runs again: on a kept connection, it might be a surplus one to an earlier request.
    pub(crate) fn alone(self) -> Self {
        Self {
            is_alone: true,
            ..self
        }
    }

    /// Adds a query string.
    pub(crate) fn query(mut self, query: &impl Serialize) -> Result<Self, BackendError> {
        let query = serde_urlencoded::to_string(query).map_err(BackendError::not_sent)?;
        self.url = format!("{}?{query}", self.url);
        Ok(self)
    }

    /// Sends the request and waits for the head of its response.
    async fn send(self, body: Body) -> Result<Response, BackendError> {
        let (server, path) = split_url(&self.url)?;
        let mut head = RequestHead::default();
        head.method = self.method;
        head.uri = path.parse().map_err(BackendError::not_sent)?;
        head.headers = self.headers?;
        if let Body::Json(_) = body {
            let media_type = HeaderValue::from_static("application/json");
            head.headers.insert(CONTENT_TYPE, media_type);
        }
        let body = body.into_bytes();
        let client = &self.http.client;
        let sent = match self.is_alone {
            true => client.send_alone(server, head, &body).await,
            false => client.send(server, head, &body).await,
        };
        sent.map_err(send_failure)
    }
}

/// Splits `http://IP:port/path` into the server's address and the path.
fn split_url(url: &str) -> Result<(SocketAddr, &str), BackendError> {
    let invalid = || BackendError::not_sent(format!("expected http://IP:port, found `{url}`"));
    let split = Url::split(url).ok_or_else(invalid)?;
    let server = split.authority.parse().map_err(|_| invalid())?;
    Ok((server, split.path))
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

    fn into_bytes(self) -> Bytes {
        match self {
            Body::Empty => Bytes::new(),
            Body::Raw(bytes) => bytes,
            Body::Json(text) => Bytes::from(text),
        }
    }
}

/// Sends a request, reads the complete response and decodes it as JSON.
pub(crate) async fn json<T: DeserializeOwned>(
    request: Request,
    body: Body,
    deadline: Instant,
) -> Result<T, BackendError> {
    let answer = open(request, body, deadline).await?;
    let body = read_body(answer, deadline).await?;
    decode::json_body(&body)
}

/// Sends a request and returns a successful response whose body has not been read yet.
pub(crate) async fn open(
    request: Request,
    body: Body,
    deadline: Instant,
) -> Result<Response, BackendError> {
    let sent = timeout_at(deadline, request.send(body)).await;
    let answer = sent.map_err(|_| timed_out())??;
    if answer.head.status.is_success() {
        return Ok(answer);
    }
    Err(decode_error(answer, deadline).await)
}

async fn decode_error(answer: Response, deadline: Instant) -> BackendError {
    let status = answer.head.status.as_u16();
    let retry_after = answer
        .head
        .headers
        .get(headers::RETRY_AFTER)
        .and_then(|value| decode::retry_after(value.as_bytes()));
    match read_body(answer, deadline).await {
        Ok(body) => decode::error_body(status, retry_after, &body),
        Err(error) => error,
    }
}

async fn read_body(mut answer: Response, deadline: Instant) -> Result<Bytes, BackendError> {
    let body = timeout_at(deadline, answer.whole_body(MAX_ANSWER_BYTES)).await;
    body.map_err(|_| timed_out())?.map_err(response_failure)
}

/// Creates the error of a response that was not completely received in time.
pub(crate) fn timed_out() -> BackendError {
    BackendError::lost(
        LostReason::TimedOut,
        "timed out before the end of the answer",
    )
}

/// Classifies an error while receiving a response.
pub(crate) fn response_failure(error: ResponseError) -> BackendError {
    let reason = match error {
        ResponseError::Incomplete(_) => LostReason::Broken,
        ResponseError::Head(_)
        | ResponseError::Framing(_)
        | ResponseError::Chunks(_)
        | ResponseError::TooLarge(_) => LostReason::Malformed,
    };
    BackendError::lost(reason, error)
}

/// Classifies an error while sending a request.
fn send_failure(error: SendError) -> BackendError {
    match error {
        SendError::Connect(error) => BackendError::not_sent(error),
        SendError::Exchange(ExchangeError::NotSent(reason)) => BackendError::not_sent(reason),
        SendError::Exchange(ExchangeError::NoResponse(error)) => response_failure(error),
    }
}
