//! Chat completions, whole and streamed.

use elderworks_types::{Message, ModelName, Role, Tokens, Usage};
use serde::{Deserialize, Serialize};

/// Data of the event that ends a stream.
pub const DONE_MARKER: &str = "[DONE]";

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
