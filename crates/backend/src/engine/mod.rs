//! Client of a model engine.

mod answer;
mod http;

use std::time::Duration;

use elderworks_platform_api::engine::{
    CacheEventsResponse, CommandResponse, EngineLoad, EngineState, FencedCommand, FinishReason,
    Holding, HoldingsResponse, ImportResponse, KvExport, ReleaseResponse,
};
use elderworks_types::{Message, ModelName, RunId, Tokens, Usage};
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;

use crate::BackendError;

pub use answer::decode_answer;
pub use http::HttpEngineClient;

/// One request for generated text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateRequest {
    /// Names the request on the engine; unique per attempt.
    pub request_id: String,
    /// The run on whose behalf.
    pub run: RunId,
    /// The model.
    pub model: ModelName,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Most tokens of the whole answer, continued text included.
    pub max_output: Tokens,
    /// Place in the engine's queue; smaller goes first.
    pub priority: i64,
    /// Beginning of the answer, already generated elsewhere; the answer continues it.
    pub continue_text: String,
    /// Number of the first chunk of this request's answer.
    pub first_chunk: u32,
    /// Longest time from now to the end of the answer.
    pub timeout: Duration,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Why it ended.
    pub reason: FinishReason,
    /// What it consumed.
    pub usage: Usage,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerItem {
    /// Text.
    Chunk {
        /// Its number, from the request's `first_chunk` on without gaps.
        index: u32,
        /// The text.
        text: String,
    },
    /// The answer is whole.
    Finished(Finish),
}

/// Pieces of an answer in order. Ends after [`AnswerItem::Finished`] or the first error, one of
/// which always comes. Dropping it closes the connection; the engine then cancels the request after
/// a grace time unless it is resumed.
pub type AnswerStream = LocalBoxStream<'static, Result<AnswerItem, BackendError>>;

/// Result of a request to an engine.
pub type EngineFuture<T> = LocalBoxFuture<'static, Result<T, BackendError>>;

/// A model engine.
pub trait EngineClient {
    /// Generates text.
    fn generate(&self, request: GenerateRequest) -> AnswerStream;

    /// Takes an answer up again at chunk `from`. An engine that does not know the request answers
    /// by an error for which [`BackendError::is_not_found`] holds.
    fn resume(&self, request_id: &str, from: u32, timeout: Duration) -> AnswerStream;

    /// Stops a request; tells whether it was waiting or running.
    fn cancel(&self, request_id: &str) -> EngineFuture<bool>;

    /// The engine's load as published.
    fn load(&self) -> EngineFuture<EngineLoad>;

    /// Published cache events with numbers above `after`.
    fn cache_events(&self, after: u64) -> EngineFuture<CacheEventsResponse>;

    /// Runs for which the engine holds memory under a lease.
    fn holdings(&self) -> EngineFuture<HoldingsResponse>;

    /// Keeps a run's blocks for `lease` from now.
    fn retain(&self, run: RunId, lease: Duration) -> EngineFuture<Holding>;

    /// Frees all that the engine holds for a run and cancels its requests. Harmless to repeat.
    fn release(&self, run: RunId) -> EngineFuture<ReleaseResponse>;

    /// Takes out a copy of a run's blocks.
    fn export(&self, run: RunId) -> EngineFuture<KvExport>;

    /// Puts in a copy of a run's blocks.
    fn import(&self, run: RunId, blocks: KvExport) -> EngineFuture<ImportResponse>;

    /// Gives a fenced command.
    fn command(&self, command: FencedCommand) -> EngineFuture<CommandResponse>;

    /// The engine's state.
    fn state(&self) -> EngineFuture<EngineState>;
}

/// Copies a run's blocks from one engine to another.
pub async fn transfer(
    from: &dyn EngineClient,
    to: &dyn EngineClient,
    run: RunId,
) -> Result<ImportResponse, BackendError> {
    let blocks = from.export(run).await?;
    to.import(run, blocks).await
}
