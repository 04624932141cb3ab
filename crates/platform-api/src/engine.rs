//! A model engine: chat completions in the OpenAI form, with extensions, and the engine's own
//! resources.
//!
//! A streamed answer is a server-sent event stream. Each event's `id` is the chunk's number, counted
//! from the request's `first_chunk`, and its data a [`ChatChunk`]; the last chunk carries no text but
//! the finish reason and usage, and the event after it is `[DONE]`. A broken stream is resumed at any
//! chunk by `GET /v1/streams/{request_id}?from=N`. A request that nobody reads is cancelled after
//! [`RESUME_GRACE_MS`]; the stream of a cancelled request ends without a finish reason.

use elderworks_types::text::BlockHash;
use elderworks_types::{EngineId, Message, ModelName, Role, RunId, Timestamp, Tokens, Usage};
use serde::{Deserialize, Serialize};

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// How long an engine goes on with a request that nobody reads, in milliseconds.
pub const RESUME_GRACE_MS: u64 = 5_000;

/// Body of `POST /v1/chat/completions`. Fields of the OpenAI form that are not named here are
/// ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: ModelName,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Most tokens of the whole answer, text that it continues included.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<Tokens>,
    /// Whether to answer by a stream.
    #[serde(default)]
    pub stream: bool,
    /// Extension: place in the engine's queue; smaller goes first.
    #[serde(default)]
    pub priority: i64,
    /// Extension: beginning of the answer, already generated elsewhere; the answer continues it
    /// and does not repeat it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub continue_text: String,
    /// Extension: number of the answer's first chunk.
    #[serde(default)]
    pub first_chunk: u32,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model had said all.
    Stop,
    /// The most tokens allowed were generated.
    Length,
}

/// Details of the prompt's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// What a request consumed, in the OpenAI form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatUsage {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Both.
    pub total_tokens: u64,
    /// Details.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
}

impl From<Usage> for ChatUsage {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt.0,
            completion_tokens: usage.output.0,
            total_tokens: usage.prompt.0.saturating_add(usage.output.0),
            prompt_tokens_details: PromptTokensDetails {
                cached_tokens: usage.cached.0,
            },
        }
    }
}

impl From<ChatUsage> for Usage {
    fn from(usage: ChatUsage) -> Self {
        Self {
            prompt: Tokens(usage.prompt_tokens),
            cached: Tokens(usage.prompt_tokens_details.cached_tokens),
            output: Tokens(usage.completion_tokens),
        }
    }
}

/// A piece of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Who speaks; in the first chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// Text that follows the earlier chunks' text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One alternative of a chunk; engines here give exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The piece.
    pub delta: Delta,
    /// Set in the last chunk.
    #[serde(default)]
    pub finish_reason: Option<FinishReason>,
}

/// One event of a streamed answer (`"object": "chat.completion.chunk"`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// The request's id.
    pub id: String,
    /// Always [`ChatChunk::OBJECT`].
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The model.
    pub model: ModelName,
    /// One choice.
    pub choices: Vec<ChunkChoice>,
    /// Set in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
}

impl ChatChunk {
    /// Value of the `object` field.
    pub const OBJECT: &'static str = "chat.completion.chunk";
}

/// One alternative of a whole answer; engines here give exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// Why it ended.
    pub finish_reason: FinishReason,
}

/// A whole answer (`"object": "chat.completion"`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// The request's id.
    pub id: String,
    /// Always [`ChatCompletion::OBJECT`].
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The model.
    pub model: ModelName,
    /// One choice.
    pub choices: Vec<CompletionChoice>,
    /// What was consumed.
    pub usage: ChatUsage,
}

impl ChatCompletion {
    /// Value of the `object` field.
    pub const OBJECT: &'static str = "chat.completion";
}

/// Query of `GET /v1/streams/{request_id}`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeQuery {
    /// First chunk wanted.
    #[serde(default)]
    pub from: u32,
}

/// Answer to `DELETE /v1/streams/{request_id}`, which succeeds for unknown requests as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelResponse {
    /// Whether the request was waiting or running.
    pub cancelled: bool,
}

/// Answer to `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// How old the figures are, in milliseconds: reports are published with a lag.
    pub age_ms: u64,
    /// Sequences being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens waiting to be prefilled.
    pub waiting_prefill_tokens: u64,
    /// Cache blocks in use.
    pub blocks_used: u32,
    /// Cache blocks in all.
    pub blocks_total: u32,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks are now held.
    Stored(Vec<BlockHash>),
    /// Blocks are no longer held.
    Evicted(Vec<BlockHash>),
    /// Everything was dropped.
    Cleared,
}

/// Most cache events in one answer.
pub const MAX_CACHE_EVENTS: usize = 1_024;

/// One published cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number, from 1. Published numbers may have gaps: those events were lost.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// Query of `GET /v1/cache/events`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsQuery {
    /// Number of the last event that the reader has.
    #[serde(default)]
    pub after: u64,
}

/// Answer to `GET /v1/cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsResponse {
    /// Changes with the engine's every start; numbers of different starts do not compare.
    pub instance: u64,
    /// Published events in order, at most [`MAX_CACHE_EVENTS`].
    pub events: Vec<CacheEvent>,
}

/// A run of which an engine holds blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The run.
    pub run: RunId,
    /// Blocks held.
    pub blocks: u32,
    /// Time left of the retention lease, in milliseconds; 0 without one.
    pub lease_ms: u64,
}

/// Answer to `GET /v1/runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsResponse {
    /// In order of run id.
    pub runs: Vec<Holding>,
}

/// Body of `PUT /v1/runs/{run}/retention`; answered by the [`Holding`] that results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionRequest {
    /// Keep the run's blocks for so long from now, in milliseconds; at most [`MAX_LEASE_MS`].
    pub lease_ms: u64,
}

/// Longest retention lease, in milliseconds. A longer one is cut to it.
pub const MAX_LEASE_MS: u64 = 3_600_000;

/// Answer to `DELETE /v1/runs/{run}`: the engine holds nothing for the run, and its requests are
/// cancelled. Succeeds for unknown runs as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseResponse {
    /// The run.
    pub run: RunId,
    /// Blocks that were let go by this request.
    pub blocks: u32,
}

/// Answer to `POST /v1/runs/{run}/export`, and body of `POST /v1/runs/{run}/import`. Stands for
/// the KV cache itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Hashes of the run's blocks, in prompt order.
    pub blocks: Vec<BlockHash>,
}

/// Answer to an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportResponse {
    /// Blocks that the engine now holds of those offered; a prefix of them.
    pub blocks: u32,
}

/// What an engine does with requests, as the operators of the platform order it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Takes requests.
    #[default]
    Serving,
    /// Takes none; finishes those it has.
    Draining,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Load a model, or another version of it.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version; the store's newest if none is named.
        #[serde(default)]
        version: Option<String>,
    },
    /// Unload a model.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Load an adapter for a loaded model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Change role.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

/// Body of `POST /v1/commands`. Refused by 409 where an earlier command had a higher fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedCommand {
    /// Fencing token: the authority of the sender grows with it.
    pub fence: u64,
    /// The order.
    pub command: Command,
}

/// Answer to an accepted command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResponse {
    /// The highest fence seen.
    pub fence: u64,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingState {
    /// It does.
    #[default]
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// Answer to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's own name.
    pub engine: EngineId,
    /// Whether it takes new work: not where it is being taken away or was ordered to drain.
    pub state: ServingState,
    /// The role that it was ordered into.
    pub role: EngineRole,
    /// Models loaded.
    pub models: Vec<ModelName>,
    /// The highest fence seen.
    pub fence: u64,
    /// The engine's clock.
    pub now: Timestamp,
}
