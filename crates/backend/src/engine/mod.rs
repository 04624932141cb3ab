//! Client of an inference engine.

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

/// A request to generate text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateRequest {
    /// Id of the request at the engine; unique per attempt.
    pub request_id: String,
    /// The run to which the request belongs.
    pub run: RunId,
    /// The model to use.
    pub model: ModelName,
    /// The complete prompt.
    pub messages: Vec<Message>,
    /// Maximum number of tokens of the complete answer, including `continue_text`.
    pub max_output: Tokens,
    /// Priority in the engine's queue; requests with smaller values run first.
    pub priority: i64,
    /// Start of the answer that another request has generated already; the answer continues it.
    pub continue_text: String,
    /// Index of the first chunk of this request's answer.
    pub first_chunk: u32,
    /// Timeout of the complete answer, from the time of the call.
    pub timeout: Duration,
}

/// The end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// The reason why generation stopped.
    pub reason: FinishReason,
    /// The consumed tokens.
    pub usage: Usage,
}

/// An item of an answer stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerItem {
    /// A chunk of text.
    Chunk {
        /// Index of the chunk, counted without gaps from the request's `first_chunk`.
        index: u32,
        /// The generated text.
        text: String,
    },
    /// The answer is complete.
    Finished(Finish),
}

/// The items of an answer in order.
///
/// The stream always ends with [`AnswerItem::Finished`] or an error. Dropping it closes the connection;
/// the engine then cancels the request after a grace period unless the request is resumed.
pub type AnswerStream = LocalBoxStream<'static, Result<AnswerItem, BackendError>>;

/// Future of a request to an engine.
pub type EngineFuture<T> = LocalBoxFuture<'static, Result<T, BackendError>>;

/// Client of an inference engine.
pub trait EngineClient {
    /// Generates text.
    fn generate(&self, request: GenerateRequest) -> AnswerStream;

    /// Resumes an answer at chunk `from`. If the engine does not know the request, the stream fails
    /// with an error for which [`BackendError::is_not_found`] returns `true`.
    fn resume(&self, request_id: &str, from: u32, timeout: Duration) -> AnswerStream;

    /// Cancels a request. Returns whether it was waiting or running.
    fn cancel(&self, request_id: &str) -> EngineFuture<bool>;

    /// Returns the engine's published load.
    fn load(&self) -> EngineFuture<EngineLoad>;

    /// Returns the published cache events with sequence numbers above `after`.
    fn cache_events(&self, after: u64) -> EngineFuture<CacheEventsResponse>;

    /// Returns the runs for which the engine holds memory under a lease.
    fn holdings(&self) -> EngineFuture<HoldingsResponse>;

    /// Protects a run's blocks from eviction for the duration of `lease`.
    fn retain(&self, run: RunId, lease: Duration) -> EngineFuture<Holding>;

    /// Frees all memory that the engine holds for a run and cancels the run's requests. Idempotent.
    fn release(&self, run: RunId) -> EngineFuture<ReleaseResponse>;

    /// Exports a copy of a run's blocks.
    fn export(&self, run: RunId) -> EngineFuture<KvExport>;

    /// Imports a copy of a run's blocks.
    fn import(&self, run: RunId, blocks: KvExport) -> EngineFuture<ImportResponse>;

    /// Sends a fenced command.
    fn command(&self, command: FencedCommand) -> EngineFuture<CommandResponse>;

    /// Returns the engine's state.
    fn state(&self) -> EngineFuture<EngineState>;
}

/// Copies a run's blocks from one engine to another.
///
/// # Errors
///
/// Returns the error of the export or of the import.
pub async fn transfer(
    from: &dyn EngineClient,
    to: &dyn EngineClient,
    run: RunId,
) -> Result<ImportResponse, BackendError> {
    let blocks = from.export(run).await?;
    to.import(run, blocks).await
}
