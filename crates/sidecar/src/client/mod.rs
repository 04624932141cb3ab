//! A client of the callers' API.

mod stream;

use std::time::Duration;

use actix_http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use actix_http::{Method, RequestHead};
use actix_rt::time::timeout;
use bytes::Bytes;
use elderworks_http_client::client::{Client, Response};
use elderworks_http_client::url::Url;
use elderworks_types::{Message, RunId, RunPhase};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire::{
    CallBody, CompletedCall, EndedRun, ErrorBody, ErrorFields, StartRunBody, StartedRun,
    WireHistory, WireRun,
};
pub use stream::{AnswerEvent, AnswerReader};

/// Maximum time to wait for a response.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of exchanges in progress.
const MAX_EXCHANGES: usize = 100;

/// Maximum size of a response body that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Error of a client request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// The sidecar answered with an error.
    #[error("{}: {}", .0.code, .0.message)]
    Answered(ErrorFields),
    /// The connection failed; the request may have taken effect.
    #[error("connection failed: {0}")]
    Connection(String),
    /// The response could not be decoded.
    #[error("cannot decode the response: {0}")]
    Unreadable(String),
    /// A stream ended before the answer was complete.
    #[error("the stream ended before the answer was complete")]
    Truncated,
}

impl ClientError {
    /// Returns the sidecar's error code, or a code for an error of the client itself.
    pub fn code(&self) -> &str {
        match self {
            ClientError::Answered(fields) => &fields.code,
            ClientError::Connection(_) => "connection",
            ClientError::Unreadable(_) => "unreadable",
            ClientError::Truncated => "cut_off",
        }
    }
}

/// A client of one sidecar, authenticated as one tenant.
#[derive(Clone)]
pub struct CallerClient {
    base_url: String,
    bearer: String,
    client: Client,
}

impl CallerClient {
    /// Creates a client of the sidecar at `base_url` (`http://IP:port`) with a bearer token.
    pub fn new(base_url: &str, token: &str) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            bearer: format!("Bearer {token}"),
            client: Client::new(CONNECT_TIMEOUT, MAX_EXCHANGES),
        }
    }

    /// Starts a run and returns its id.
    ///
    /// # Errors
    ///
    /// Returns an error if the request failed or was refused.
    pub async fn start_run(&self, body: &StartRunBody) -> Result<RunId, ClientError> {
        let started: StartedRun = self.send(Method::POST, "/v1/runs", Some(body)).await?;
        Ok(started.id)
    }

    /// Makes a call and waits for the full answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the request failed or the call did not complete.
    pub async fn call(&self, run: RunId, body: &CallBody) -> Result<CompletedCall, ClientError> {
        let path = format!("/v1/runs/{run}/calls");
        self.send(Method::POST, &path, Some(body)).await
    }

    /// Makes a call and passes each event of the streamed answer to `on_event`. `body.stream` must
    /// be set.
    ///
    /// # Errors
    ///
    /// Returns an error if the request failed or the call did not complete.
    pub async fn stream(
        &self,
        run: RunId,
        body: &CallBody,
        mut on_event: impl FnMut(AnswerEvent<'_>),
    ) -> Result<CompletedCall, ClientError> {
        let path = format!("/v1/runs/{run}/calls");
        let mut response = self
            .request(Method::POST, &path, Some(encode(body)))
            .await?;
        let mut reader = AnswerReader::default();
        while let Some(bytes) = response.next_chunk().await.map_err(failed)? {
            reader.feed(&bytes, &mut on_event)?;
        }
        reader.finish()
    }

    /// Reads a run.
    ///
    /// # Errors
    ///
    /// Returns an error if the request failed or the run does not exist.
    pub async fn read_run(&self, run: RunId) -> Result<WireRun, ClientError> {
        let path = format!("/v1/runs/{run}");
        self.send(Method::GET, &path, None::<&()>).await
    }

    /// Reads a run's message history.
    ///
    /// # Errors
    ///
    /// Returns an error if the request failed or the run does not exist.
    pub async fn history(&self, run: RunId) -> Result<Vec<Message>, ClientError> {
        let path = format!("/v1/runs/{run}/history");
        let history: WireHistory = self.send(Method::GET, &path, None::<&()>).await?;
        Ok(history.messages)
    }

    /// Ends a run and returns its final phase.
    ///
    /// # Errors
    ///
    /// Returns an error if the request failed or the run does not exist.
    pub async fn end_run(&self, run: RunId) -> Result<RunPhase, ClientError> {
        let path = format!("/v1/runs/{run}");
        let ended: EndedRun = self.send(Method::DELETE, &path, None::<&()>).await?;
        Ok(ended.phase)
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, ClientError> {
        let mut response = self.request(method, path, body.map(encode)).await?;
        let bytes = response.whole_body(MAX_ANSWER_BYTES).await;
        parse(&bytes.map_err(failed)?)
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, ClientError> {
        let url = format!("{}{path}", self.base_url);
        let url = Url::split(&url).ok_or_else(|| failed("the URL is invalid"))?;
        let server = url.resolve().await.map_err(failed)?;
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = url.path.parse().map_err(failed)?;
        let bearer = HeaderValue::from_str(&self.bearer).map_err(failed)?;
        head.headers.insert(AUTHORIZATION, bearer);
        if body.is_some() {
            let media_type = HeaderValue::from_static("application/json");
            head.headers.insert(CONTENT_TYPE, media_type);
        }
        let body = Bytes::from(body.unwrap_or_default());
        let sent = timeout(ANSWER_TIMEOUT, self.client.send(server, head, &body)).await;
        let mut response = sent.map_err(failed)?.map_err(failed)?;
        if response.head.status.is_success() {
            return Ok(response);
        }
        let body = response.whole_body(MAX_ANSWER_BYTES).await;
        Err(decode_error(&body.map_err(failed)?))
    }
}

fn failed(error: impl ToString) -> ClientError {
    ClientError::Connection(error.to_string())
}

fn encode(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).expect("requests are plain data")
}

pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|error| ClientError::Unreadable(error.to_string()))
}

pub(crate) fn decode_error(body: &[u8]) -> ClientError {
    match parse::<ErrorBody>(body) {
        Ok(body) => ClientError::Answered(body.error),
        Err(error) => error,
    }
}
