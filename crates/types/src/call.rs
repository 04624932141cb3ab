//! Calls to models and tools.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{CallNumber, ModelName, Timestamp, Tokens, ToolName};

/// Author of a message, with the roles of the OpenAI chat completions API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Instructions that apply to the whole conversation.
    System,
    /// The user on whose behalf the caller acts.
    User,
    /// A model's answer.
    Assistant,
    /// A tool's result.
    Tool,
}

/// One message of a run's history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The author's role.
    pub role: Role,
    /// The text.
    pub content: String,
}

impl Message {
    /// Creates a message.
    pub fn new(role: Role, content: impl Into<String>) -> Self {
        Self {
            role,
            content: content.into(),
        }
    }
}

/// A call to a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRequest {
    /// The requested model.
    pub model: ModelName,
    /// Number of messages from the start of the run's history that form the beginning of the prompt. A
    /// caller that rewrites its history passes fewer than all.
    pub history_prefix: u32,
    /// Messages that follow the prefix in the prompt; appended to the history when the call is accepted.
    pub messages: Vec<Message>,
    /// Maximum number of generated tokens, which bounds the call's cost.
    pub max_output: Tokens,
}

/// A call to a tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolRequest {
    /// The requested tool.
    pub tool: ToolName,
    /// The arguments, as JSON text.
    pub arguments: String,
}

/// A call to a model or a tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallRequest {
    /// Generates text with a model.
    Model(ModelRequest),
    /// Invokes a tool.
    Tool(ToolRequest),
}

impl CallRequest {
    /// Returns the kind of the call.
    pub fn kind(&self) -> CallKind {
        match self {
            CallRequest::Model(_) => CallKind::Model,
            CallRequest::Tool(_) => CallKind::Tool,
        }
    }
}

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// A model call, executed by an engine.
    Model,
    /// A tool call, executed by a tool service.
    Tool,
}

/// One call as submitted by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSpec {
    /// Position of the call within its run. Calls take effect in this order.
    pub number: CallNumber,
    /// The requested model or tool call.
    pub request: CallRequest,
    /// Whether the call may run more than once. A call that is not repeatable runs at most once.
    pub repeatable: bool,
    /// Key by which a tool detects a repeated submission, if given by the caller.
    pub idempotency_key: Option<String>,
    /// Time after which the caller has no use for the answer, if given by the caller.
    pub deadline: Option<Timestamp>,
    /// Time until the caller expects to use the same prompt prefix again, if given by the caller.
    pub expected_reuse: Option<Duration>,
}

/// Tokens consumed by a call, as reported by the back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// Prompt tokens found in the engine's prefix cache.
    pub cached: Tokens,
    /// Generated tokens.
    pub output: Tokens,
}
