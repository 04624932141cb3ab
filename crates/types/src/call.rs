//! What a program asks for.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{CallNumber, ModelName, Timestamp, Tokens, ToolName};

/// Who said a message, in the roles of the chat completion interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Standing instructions.
    System,
    /// The caller.
    User,
    /// A model's answer.
    Assistant,
    /// A tool's result.
    Tool,
}

/// One message of a run's history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Who said it.
    pub role: Role,
    /// The text.
    pub content: String,
}

impl Message {
    /// A message of `role` saying `content`.
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
    /// The model asked for.
    pub model: ModelName,
    /// How many messages of the run's history, from its start, the prompt begins with. A caller
    /// that rewrites its history gives less than all of it.
    pub history_prefix: u32,
    /// What follows that prefix in the prompt; appended to the history when the call is accepted.
    pub messages: Vec<Message>,
    /// Most tokens to generate; bounds the call's cost.
    pub max_output: Tokens,
}

/// A call to a tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolRequest {
    /// The tool asked for.
    pub tool: ToolName,
    /// The arguments, as JSON text.
    pub arguments: String,
}

/// Either kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallRequest {
    /// Generate text.
    Model(ModelRequest),
    /// Invoke a tool.
    Tool(ToolRequest),
}

impl CallRequest {
    /// Which kind it is.
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
    /// Answered by an engine.
    Model,
    /// Answered by a tool.
    Tool,
}

/// One call as its caller made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSpec {
    /// Position within the run; calls take effect in this order.
    pub number: CallNumber,
    /// The work.
    pub request: CallRequest,
    /// Whether running it twice is harmless. A call that is not repeatable runs at most once.
    pub repeatable: bool,
    /// Key under which a tool recognises a repeated submission, if the caller gave one.
    pub idempotency_key: Option<String>,
    /// When the answer stops being useful, if the caller said so.
    pub deadline: Option<Timestamp>,
    /// How soon the caller expects to use this prefix again, if it said so.
    pub expected_reuse: Option<Duration>,
}

/// What a call consumed, as the back end reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// Of those, how many were found in the engine's prefix cache.
    pub cached: Tokens,
    /// Tokens generated.
    pub output: Tokens,
}
