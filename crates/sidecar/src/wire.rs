//! JSON forms of the run resource and of errors, shared by the interface and its client.

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
    /// Most credits that the run may spend; by default all that its program allows.
    pub budget: Option<Credits>,
    /// Milliseconds from now until the run should be done.
    pub deadline_ms: Option<u64>,
    /// The run that spawns this one.
    pub parent: Option<RunId>,
}

/// Answer to `POST /v1/runs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartedRun {
    /// The run's id.
    pub id: RunId,
}

/// Body of `POST /v1/runs/{id}/calls`: either `model` or `tool`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallBody {
    /// A call to a model.
    pub model: Option<ModelBody>,
    /// A call to a tool.
    pub tool: Option<ToolBody>,
    /// Whether running it twice is harmless; by default so for models and not so for tools.
    pub repeatable: Option<bool>,
    /// Key under which a repeat of this request is recognised.
    pub idempotency_key: Option<String>,
    /// Milliseconds from now until the answer stops being useful.
    pub deadline_ms: Option<u64>,
    /// Milliseconds until the prefix is expected to be used again.
    pub expected_reuse_ms: Option<u64>,
    /// Position within the run, from 1; by default the next one.
    pub number: Option<CallNumber>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
}

/// A call to a model.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelBody {
    /// The model.
    pub name: ModelName,
    /// New messages.
    pub messages: Vec<WireMessage>,
    /// Most tokens to generate.
    pub max_output: Option<Tokens>,
    /// How many messages of the history the prompt begins with; by default all.
    pub history_prefix: Option<u32>,
}

/// A call to a tool.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolBody {
    /// The tool.
    pub name: ToolName,
    /// Any JSON value; handed to the tool as it is.
    pub arguments: serde_json::Value,
}

/// One message.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireMessage {
    /// Who said it.
    pub role: Role,
    /// The text.
    pub content: String,
}

impl WireMessage {
    /// A message.
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

/// Tokens consumed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireUsage {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Of those, how many were found in the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// Tokens generated.
    pub output_tokens: Tokens,
}

/// A completed call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletedCall {
    /// The run.
    pub run: RunId,
    /// The call's position in it.
    pub number: CallNumber,
    /// Text of a model, or the tool's result as JSON text.
    pub content: String,
    /// What was consumed.
    pub usage: WireUsage,
    /// What it cost.
    pub cost: Credits,
}

impl CallBody {
    /// A call to a model that goes on from the whole history.
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

    /// A call to a tool.
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
    /// The JSON form of an answer.
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

/// One streamed piece.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Piece {
    /// Its text.
    pub text: String,
}

/// A run, without its history.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireRun {
    /// Its id.
    pub id: RunId,
    /// Its program.
    pub program: ResourceName,
    /// The run that spawned it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<RunId>,
    /// Where it stands.
    pub phase: RunPhase,
    /// Most that it may spend.
    pub budget: Credits,
    /// What it has spent, its sub-agents included.
    pub spent: Credits,
    /// What open calls and sub-agents may still cost.
    pub reserved: Credits,
    /// When it should be done, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_unix_ms: Option<u64>,
    /// Its calls in order.
    pub calls: Vec<WireCall>,
}

/// One call of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireCall {
    /// Its position in the run.
    pub number: CallNumber,
    /// Model or tool.
    pub kind: CallKind,
    /// Which model or tool.
    pub target: String,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// `open`, `completed`, or the code of the error that it ended with.
    pub state: String,
    /// What it cost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost: Option<Credits>,
    /// Tokens of its prompt that were found in the engine's cache.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<Tokens>,
    /// Tokens of its prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<Tokens>,
    /// Each attempt in order.
    pub attempts: Vec<WireAttempt>,
    /// Time from its arrival to its first attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waited_ms: Option<u64>,
    /// Time from its arrival to its end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<u64>,
    /// What it waited for and what was decided.
    pub notes: Vec<String>,
}

/// One attempt of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireAttempt {
    /// Which, from 1.
    pub number: u32,
    /// Where it ran, for a model call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineId>,
    /// Time from its start to its first piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_chunk_ms: Option<u64>,
}

/// Whether what was asked for was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WasRun {
    /// Surely not, now or later.
    No,
    /// Yes.
    Yes,
    /// It cannot be known.
    Unknown,
}

/// The one shape of errors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorFields,
}

/// What an error says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorFields {
    /// The stable code.
    pub code: String,
    /// For people.
    pub message: String,
    /// Whether what was asked for was run.
    pub run: WasRun,
    /// When asking again may succeed, in milliseconds.
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
            waited_ms: first_start.map(|start| whole_ms(start.since(call.received))),
            took_ms: call.ended.map(|ended| whole_ms(ended.since(call.received))),
            notes: call.notes.clone(),
        }
    }
}

fn wire_attempt(attempt: &elderworks_protocol::sidecar::AttemptView) -> WireAttempt {
    let first_chunk = attempt.first_chunk;
    WireAttempt {
        number: attempt.attempt.0,
        engine: attempt.engine.clone(),
        first_chunk_ms: first_chunk.map(|first| whole_ms(first.since(attempt.started))),
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
        Some(outcome) => ApiError::of_outcome(outcome).map_or("completed", |error| error.code()),
    }
}

fn whole_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn unix_ms(time: Timestamp) -> u64 {
    whole_ms(time.since(Timestamp::default()))
}

/// Answer to `GET /v1/runs/{id}/history`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireHistory {
    /// Every message in order.
    pub messages: Vec<Message>,
}

/// Answer to `DELETE /v1/runs/{id}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub id: RunId,
    /// How it ended.
    pub phase: RunPhase,
}
