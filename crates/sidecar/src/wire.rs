//! JSON types of the callers' API, shared by the server and the client.

use std::time::Duration;

use elderworks_protocol::sidecar::{CallView, RunView};
use elderworks_types::{
    Answer, CallKind, CallNumber, CallRequest, Credits, EngineId, Message, ModelName, Outcome,
    ResourceName, Role, RunId, RunPhase, Timestamp, Tokens, ToolName,
};
use serde::{Deserialize, Serialize};

use crate::http::error::ApiError;

/// Body of `POST /v1/runs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRunBody {
    /// Name of the `Program` resource.
    pub program: ResourceName,
    /// Maximum credits that the run may spend; by default the limit of its program.
    pub budget: Option<Credits>,
    /// Time until the run's deadline, in milliseconds from now.
    pub deadline_ms: Option<u64>,
    /// The run that spawns this one.
    pub parent: Option<RunId>,
}

/// Response to `POST /v1/runs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartedRun {
    /// The run's id.
    pub id: RunId,
}

/// Body of `POST /v1/runs/{id}/calls`; exactly one of `model` and `tool` must be given.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallBody {
    /// A model call.
    pub model: Option<ModelBody>,
    /// A tool call.
    pub tool: Option<ToolBody>,
    /// Whether the call may safely run more than once; by default true for models, false for tools.
    pub repeatable: Option<bool>,
    /// Key that identifies repetitions of this request.
    pub idempotency_key: Option<String>,
    /// Time until the call's deadline, in milliseconds from now.
    pub deadline_ms: Option<u64>,
    /// Time until the prompt prefix is expected to be reused, in milliseconds.
    pub expected_reuse_ms: Option<u64>,
    /// Number of the call within its run, starting at 1; by default the next free one.
    pub number: Option<CallNumber>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
}

/// A model call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelBody {
    /// Name of the model.
    pub name: ModelName,
    /// Messages that follow the history prefix.
    pub messages: Vec<WireMessage>,
    /// Maximum number of tokens to generate.
    pub max_output: Option<Tokens>,
    /// Number of messages of the run's history that the prompt starts with; by default all.
    pub history_prefix: Option<u32>,
}

/// A tool call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolBody {
    /// Name of the tool.
    pub name: ToolName,
    /// Arguments as any JSON value, passed to the tool unchanged.
    pub arguments: serde_json::Value,
}

/// A message of a conversation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireMessage {
    /// Role of the author.
    pub role: Role,
    /// The text of the message.
    pub content: String,
}

impl WireMessage {
    /// Creates a message.
    pub fn new(role: Role, content: impl Into<String>) -> Self {
        Self {
            role,
            content: content.into(),
        }
    }
}

impl From<WireMessage> for Message {
    fn from(message: WireMessage) -> Self {
        Message::new(message.role, message.content)
    }
}

/// Token counts of a call.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireUsage {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Prompt tokens found in the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// Tokens generated.
    pub output_tokens: Tokens,
}

/// A completed call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletedCall {
    /// The run.
    pub run: RunId,
    /// Number of the call within the run.
    pub number: CallNumber,
    /// The model's text, or the tool's result as JSON text.
    pub content: String,
    /// Token counts.
    pub usage: WireUsage,
    /// Cost of the call, in credits.
    pub cost: Credits,
}

impl CallBody {
    /// Creates a model call whose prompt starts with the whole history.
    pub fn model_call(model: &str, messages: Vec<WireMessage>, max_output: u64) -> Self {
        Self {
            model: Some(ModelBody {
                name: ModelName::new(model),
                messages,
                max_output: Some(Tokens(max_output)),
                history_prefix: None,
            }),
            ..Self::default()
        }
    }

    /// Creates a tool call.
    pub fn tool_call(tool: &str, arguments: serde_json::Value, repeatable: bool) -> Self {
        Self {
            tool: Some(ToolBody {
                name: ToolName::new(tool),
                arguments,
            }),
            repeatable: Some(repeatable),
            ..Self::default()
        }
    }
}

impl CompletedCall {
    /// Converts the answer to a call.
    pub fn new(run: RunId, number: CallNumber, answer: Answer) -> Self {
        Self {
            run,
            number,
            usage: WireUsage {
                prompt_tokens: answer.usage.prompt,
                cached_tokens: answer.usage.cached,
                output_tokens: answer.usage.output,
            },
            content: answer.content,
            cost: answer.cost,
        }
    }
}

/// Data of a `chunk` event: the next part of a streamed answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerChunk {
    /// The text of the chunk.
    pub text: String,
}

/// A run, without its history.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireRun {
    /// The run's id.
    pub id: RunId,
    /// Name of its `Program` resource.
    pub program: ResourceName,
    /// The run that spawned this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<RunId>,
    /// The current phase.
    pub phase: RunPhase,
    /// Maximum credits that it may spend.
    pub budget: Credits,
    /// Credits spent, including by its sub-agents.
    pub spent: Credits,
    /// Credits reserved for open calls and sub-agents.
    pub reserved: Credits,
    /// Deadline, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_unix_ms: Option<u64>,
    /// The calls of the run, by number.
    pub calls: Vec<WireCall>,
}

/// One call of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireCall {
    /// Number of the call within the run.
    pub number: CallNumber,
    /// Whether this is a model call or a tool call.
    pub kind: CallKind,
    /// Name of the model or tool.
    pub target: String,
    /// Whether the call may safely run more than once.
    pub repeatable: bool,
    /// `open`, `completed`, or the error code with which the call ended.
    pub state: String,
    /// Cost of the call, in credits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost: Option<Credits>,
    /// Prompt tokens found in the engine's prefix cache.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<Tokens>,
    /// Tokens in the prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<Tokens>,
    /// The attempts in order.
    pub attempts: Vec<WireAttempt>,
    /// Time from arrival to the start of the first attempt, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waited_ms: Option<u64>,
    /// Time from arrival to the end of the call, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<u64>,
    /// Explanations of scheduling decisions and delays.
    pub notes: Vec<String>,
}

/// One attempt of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireAttempt {
    /// Number of the attempt, starting at 1.
    pub number: u32,
    /// The engine that ran it, for a model call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineId>,
    /// Time from its start to the first chunk, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_chunk_ms: Option<u64>,
}

/// Whether the requested operation was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WasRun {
    /// It was not run and never will be.
    No,
    /// It was run.
    Yes,
    /// It may have been run.
    Unknown,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Fields of the error.
    pub error: ErrorFields,
}

/// Fields of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorFields {
    /// Stable error code.
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// Whether the requested operation was run.
    pub run: WasRun,
    /// Delay after which a retry may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<&RunView> for WireRun {
    fn from(view: &RunView) -> Self {
        Self {
            id: view.spec.id,
            program: view.spec.program.clone(),
            parent: view.spec.parent,
            phase: view.phase,
            budget: view.spec.budget,
            spent: view.spent,
            reserved: view.reserved,
            deadline_unix_ms: view.spec.deadline.map(unix_ms),
            calls: view.calls.iter().map(WireCall::from).collect(),
        }
    }
}

impl From<&CallView> for WireCall {
    fn from(call: &CallView) -> Self {
        let answer = match &call.outcome {
            Some(Outcome::Completed(answer)) => Some(answer),
            _ => None,
        };
        let first_start = call.attempts.first().map(|attempt| attempt.started);
        Self {
            number: call.spec.number,
            kind: call.spec.request.kind(),
            target: target(&call.spec.request),
            repeatable: call.spec.repeatable,
            state: state(call.outcome.as_ref()).to_owned(),
            cost: answer.map(|answer| answer.cost),
            cached_tokens: answer.map(|answer| answer.usage.cached),
            prompt_tokens: answer.map(|answer| answer.usage.prompt),
            attempts: call.attempts.iter().map(wire_attempt).collect(),
            waited_ms: first_start.map(|start| as_millis(start.since(call.received))),
            took_ms: call
                .ended
                .map(|ended| as_millis(ended.since(call.received))),
            notes: call.notes.clone(),
        }
    }
}

fn wire_attempt(attempt: &elderworks_protocol::sidecar::AttemptView) -> WireAttempt {
    let first_chunk = attempt.first_chunk;
    WireAttempt {
        number: attempt.attempt.0,
        engine: attempt.engine.clone(),
        first_chunk_ms: first_chunk.map(|first| as_millis(first.since(attempt.started))),
    }
}

fn target(request: &CallRequest) -> String {
    match request {
        CallRequest::Model(model) => model.model.to_string(),
        CallRequest::Tool(tool) => tool.tool.to_string(),
    }
}

fn state(outcome: Option<&Outcome>) -> &'static str {
    match outcome {
        None => "open",
        Some(Outcome::Completed(_)) => "completed",
        Some(outcome) => ApiError::from_outcome(outcome).map_or("completed", |error| error.code()),
    }
}

fn as_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn unix_ms(time: Timestamp) -> u64 {
    as_millis(time.since(Timestamp::default()))
}

/// Response to `GET /v1/runs/{id}/history`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireHistory {
    /// All messages in order.
    pub messages: Vec<Message>,
}

/// Response to `DELETE /v1/runs/{id}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub id: RunId,
    /// The phase in which it ended.
    pub phase: RunPhase,
}
