//! Implementation of [`EngineClient`] over HTTP.

use std::time::Duration;

use actix_http::Method;
use actix_rt::time::Instant;
use bytes::Bytes;
use elderworks_http_client::client::Response;
use elderworks_http_client::response::ResponseError;
use elderworks_platform_api::engine::{
    CacheEventsQuery, CacheEventsResponse, CancelResponse, ChatRequest, CommandResponse,
    EngineLoad, EngineState, FencedCommand, Holding, HoldingsResponse, ImportResponse, KvExport,
    ReleaseResponse, ResumeQuery, RetentionRequest,
};
use elderworks_platform_api::{headers, paths};
use elderworks_types::RunId;
use futures_util::stream::try_unfold;
use futures_util::{FutureExt, Stream, StreamExt, TryFutureExt};

use super::{AnswerStream, EngineClient, EngineFuture, GenerateRequest, decode_answer};
use crate::http::{self, Body};
use crate::{BackendError, Endpoint};

/// An [`EngineClient`] over HTTP.
#[derive(Clone)]
pub struct HttpEngineClient {
    endpoint: Endpoint,
}

impl HttpEngineClient {
    /// Creates a client of the engine at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }

    fn get<T: serde::de::DeserializeOwned + 'static>(&self, path: &'static str) -> EngineFuture<T> {
        let endpoint = self.endpoint.clone();
        async move { endpoint.get(path).await }.boxed_local()
    }

    fn send_empty<T: serde::de::DeserializeOwned + 'static>(
        &self,
        method: Method,
        path: String,
    ) -> EngineFuture<T> {
        let deadline = self.endpoint.deadline();
        let request = self.endpoint.request(method, &path);
        http::json(request, Body::Empty, deadline).boxed_local()
    }

    fn send<T: serde::de::DeserializeOwned + 'static>(
        &self,
        method: Method,
        path: String,
        body: impl serde::Serialize + 'static,
    ) -> EngineFuture<T> {
        let endpoint = self.endpoint.clone();
        async move { endpoint.send(method, &path, &body).await }.boxed_local()
    }
}

impl EngineClient for HttpEngineClient {
    fn generate(&self, request: GenerateRequest) -> AnswerStream {
        let deadline = Instant::now() + request.timeout;
        let first_chunk = request.first_chunk;
        let http_request = self
            .endpoint
            .request(Method::POST, paths::CHAT_COMPLETIONS)
            .alone()
            .header(headers::REQUEST_ID, &request.request_id)
            .header(headers::RUN_ID, &request.run.to_string());
        let body = ChatRequest {
            model: request.model,
            messages: request.messages,
            max_tokens: Some(request.max_output),
            stream: true,
            priority: request.priority,
            continue_text: request.continue_text,
            first_chunk,
        };
        let answer = async move { http::open(http_request, Body::json(&body)?, deadline).await };
        read_answer(answer, first_chunk, deadline)
    }

    fn resume(&self, request_id: &str, from: u32, timeout: Duration) -> AnswerStream {
        let deadline = Instant::now() + timeout;
        let request = self
            .endpoint
            .request(Method::GET, &paths::answer_stream(request_id))
            .alone();
        let answer = async move {
            let request = request.query(&ResumeQuery { from })?;
            http::open(request, Body::Empty, deadline).await
        };
        read_answer(answer, from, deadline)
    }

    fn cancel(&self, request_id: &str) -> EngineFuture<bool> {
        let path = paths::answer_stream(request_id);
        self.send_empty(Method::DELETE, path)
            .map_ok(|answer: CancelResponse| answer.cancelled)
            .boxed_local()
    }

    fn load(&self) -> EngineFuture<EngineLoad> {
        self.get(paths::LOAD)
    }

    fn cache_events(&self, after: u64) -> EngineFuture<CacheEventsResponse> {
        let deadline = self.endpoint.deadline();
        let request = self.endpoint.request(Method::GET, paths::CACHE_EVENTS);
        async move {
            let request = request.query(&CacheEventsQuery { after })?;
            http::json(request, Body::Empty, deadline).await
        }
        .boxed_local()
    }

    fn holdings(&self) -> EngineFuture<HoldingsResponse> {
        self.get(paths::RUNS)
    }

    fn retain(&self, run: RunId, lease: Duration) -> EngineFuture<Holding> {
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        let body = RetentionRequest { lease_ms };
        self.send(Method::PUT, paths::retention(run), body)
    }

    fn release(&self, run: RunId) -> EngineFuture<ReleaseResponse> {
        self.send_empty(Method::DELETE, paths::run(run))
    }

    fn export(&self, run: RunId) -> EngineFuture<KvExport> {
        self.send_empty(Method::POST, paths::export(run))
    }

    fn import(&self, run: RunId, blocks: KvExport) -> EngineFuture<ImportResponse> {
        self.send(Method::POST, paths::import(run), blocks)
    }

    fn command(&self, command: FencedCommand) -> EngineFuture<CommandResponse> {
        self.send(Method::POST, paths::COMMANDS.to_owned(), command)
    }

    fn state(&self) -> EngineFuture<EngineState> {
        self.get(paths::STATE)
    }
}

fn read_answer(
    answer: impl Future<Output = Result<Response, BackendError>> + 'static,
    from: u32,
    deadline: Instant,
) -> AnswerStream {
    let opened = answer.map_ok(move |answer| decode_answer(chunks(answer), from, deadline));
    opened.try_flatten_stream().boxed_local()
}

/// Returns the body as a stream that fails unless it is whole.
fn chunks(answer: Response) -> impl Stream<Item = Result<Bytes, ResponseError>> {
    try_unfold(answer, |mut answer| async move {
        let chunk = answer.next_chunk().await?;
        Ok(chunk.map(|chunk| (chunk, answer)))
    })
}
