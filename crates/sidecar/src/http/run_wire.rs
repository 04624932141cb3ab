//! JSON forms of runs and calls.

use std::time::Duration;

use elderworks_protocol::sidecar::{CallView, RunView};
use elderworks_types::{
    Answer, CallKind, CallNumber, CallRequest, Credits, EngineId, Message, ModelName, Outcome,
    ResourceName, Role, RunId, RunPhase, Timestamp, Tokens, ToolName,
};
use serde::{Deserialize, Serialize};

use super::error::ApiError;

/// Body of `POST /v1/runs`.
#[derive(Debug, Deserialize)]
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
#[derive(Debug, Serialize)]
pub struct StartedRun {
    /// The run's id.
    pub id: RunId,
}

/// Body of `POST /v1/runs/{id}/calls`: either `model` or `tool`.
#[derive(Debug, Deserialize)]
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
#[derive(Debug, Deserialize)]
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
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolBody {
    /// The tool.
    pub name: ToolName,
    /// Any JSON value; handed to the tool as it is.
    pub arguments: serde_json::Value,
}

/// One message.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireMessage {
    /// Who said it.
    pub role: Role,
    /// The text.
    pub content: String,
}

impl From<WireMessage> for Message {
    fn from(message: WireMessage) -> Self {
        Message::new(message.role, message.content)
    }
}

/// Tokens consumed.
#[derive(Debug, Serialize)]
pub struct WireUsage {
    prompt_tokens: Tokens,
    cached_tokens: Tokens,
    output_tokens: Tokens,
}

/// A completed call.
#[derive(Debug, Serialize)]
pub struct CompletedCall {
    run: RunId,
    number: CallNumber,
    /// Text of a model, or the tool's result as JSON text.
    content: String,
    usage: WireUsage,
    cost: Credits,
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
#[derive(Debug, Serialize)]
pub struct Piece<'a> {
    /// Its text.
    pub text: &'a str,
}

/// A run, without its history.
#[derive(Debug, Serialize)]
pub struct WireRun {
    id: RunId,
    program: ResourceName,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<RunId>,
    phase: RunPhase,
    budget: Credits,
    spent: Credits,
    reserved: Credits,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_unix_ms: Option<u64>,
    calls: Vec<WireCall>,
}

/// One call of a run.
#[derive(Debug, Serialize)]
struct WireCall {
    number: CallNumber,
    kind: CallKind,
    target: String,
    repeatable: bool,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    cost: Option<Credits>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cached_tokens: Option<Tokens>,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt_tokens: Option<Tokens>,
    attempts: Vec<WireAttempt>,
    #[serde(skip_serializing_if = "Option::is_none")]
    waited_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    took_ms: Option<u64>,
    notes: Vec<String>,
}

#[derive(Debug, Serialize)]
struct WireAttempt {
    number: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    engine: Option<EngineId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    first_chunk_ms: Option<u64>,
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
            state: state(call.outcome.as_ref()),
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
#[derive(Debug, Serialize)]
pub struct WireHistory {
    /// Every message in order.
    pub messages: Vec<Message>,
}

/// Answer to `DELETE /v1/runs/{id}`.
#[derive(Debug, Serialize)]
pub struct EndedRun {
    /// The run.
    pub id: RunId,
    /// How it ended.
    pub phase: RunPhase,
}
