//! A client of the callers' API.

mod stream;

use std::time::Duration;

use awc::ClientResponse;
use awc::http::Method;
use bytes::Bytes;
use elderworks_types::{Message, RunId, RunPhase};
use futures_util::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire::{
    CallBody, CompletedCall, EndedRun, ErrorBody, ErrorFields, StartRunBody, StartedRun,
    WireHistory, WireRun,
};
pub use stream::{AnswerEvent, AnswerReader};

/// Maximum time to wait for a response.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(600);

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
    client: awc::Client,
}

impl CallerClient {
    /// Creates a client of the sidecar at `base_url` (`http://IP:port`) with a bearer token.
    pub fn new(base_url: &str, token: &str) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            bearer: format!("Bearer {token}"),
            client: awc::Client::builder().timeout(ANSWER_TIMEOUT).finish(),
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
        while let Some(bytes) = response.next().await {
            let bytes = bytes.map_err(|error| ClientError::Connection(error.to_string()))?;
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
        let bytes = response.body().await;
        let bytes = bytes.map_err(|error| ClientError::Connection(error.to_string()))?;
        parse(&bytes)
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<ClientResponse<impl Stream<Item = PayloadResult> + Unpin>, ClientError> {
        let request = self
            .client
            .request(method, format!("{}{path}", self.base_url))
            .insert_header(("authorization", self.bearer.as_str()));
        let sending = match body {
            Some(body) => request.content_type("application/json").send_body(body),
            None => request.send(),
        };
        let response = sending.await;
        let mut response = response.map_err(|error| ClientError::Connection(error.to_string()))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let body = response.body().await.unwrap_or_default();
        Err(decode_error(&body))
    }
}

fn encode(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).expect("requests are plain data")
}

type PayloadResult = Result<Bytes, awc::error::PayloadError>;

pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|error| ClientError::Unreadable(error.to_string()))
}

pub(crate) fn decode_error(body: &[u8]) -> ClientError {
    match parse::<ErrorBody>(body) {
        Ok(body) => ClientError::Answered(body.error),
        Err(error) => error,
    }
}
