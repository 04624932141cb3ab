//! Status report of a run and its calls.

use elderworks_protocol::sidecar::{AttemptView, CallView, RunView};
use elderworks_types::{CallKind, CallRequest, Outcome, Timestamp};
use serde::{Deserialize, Serialize};

/// Status of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RunReport {
    /// Phase in snake case, for example `active`.
    pub phase: String,
    /// Tenant that owns the run.
    pub tenant: String,
    /// Program that the run executes.
    pub program: String,
    /// Run that spawned this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// Maximum cost, in credits.
    pub budget: u64,
    /// Cost so far, in credits.
    pub spent: u64,
    /// Amount reserved by open calls and child runs, in credits.
    pub reserved: u64,
    /// Number of messages in the history.
    pub history_messages: usize,
    /// Number of calls so far.
    pub call_count: usize,
    /// All calls in order.
    pub calls: Vec<CallReport>,
}

/// Status of one call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CallReport {
    /// Position within the run, from 1.
    pub number: u32,
    /// `model` or `tool`.
    pub kind: CallKind,
    /// Name of the model or tool.
    pub target: String,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// `open`, `completed`, `refused`, `failed` or `unknown`.
    pub outcome: String,
    /// Reason for which the call was refused or failed, or its outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Delay after which a refused call may succeed if retried, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Cost, in credits.
    pub cost: u64,
    /// Number of prompt tokens read from the engine's cache.
    pub cached_tokens: u64,
    /// Total number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub output_tokens: u64,
    /// Time from arrival to completion, in milliseconds. Absent while the call is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duration_ms: Option<u64>,
    /// All attempts in order.
    pub attempts: Vec<AttemptReport>,
    /// Log of waits and decisions, one line each.
    pub notes: Vec<String>,
}

/// Status of one attempt of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AttemptReport {
    /// Position within the call, from 1.
    pub attempt: u32,
    /// Engine that served the attempt, for a model call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<String>,
    /// Time from the call's arrival to the dispatch of the attempt, in milliseconds.
    pub waited_ms: u64,
    /// Time from the dispatch to the first chunk of the response, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_chunk_ms: Option<u64>,
}

impl From<&RunView> for RunReport {
    fn from(view: &RunView) -> Self {
        Self {
            phase: snake_case(&view.phase),
            tenant: view.spec.tenant.to_string(),
            program: view.spec.program.to_string(),
            parent: view.spec.parent.map(|parent| parent.to_string()),
            budget: view.spec.budget.0,
            spent: view.spent.0,
            reserved: view.reserved.0,
            history_messages: view.history.len(),
            call_count: view.calls.len(),
            calls: view.calls.iter().map(CallReport::from).collect(),
        }
    }
}

impl From<&CallView> for CallReport {
    fn from(view: &CallView) -> Self {
        let target = match &view.spec.request {
            CallRequest::Model(request) => request.model.to_string(),
            CallRequest::Tool(request) => request.tool.to_string(),
        };
        let attempts = view.attempts.iter();
        let report = Self {
            number: view.spec.number.0,
            kind: view.spec.request.kind(),
            target,
            repeatable: view.spec.repeatable,
            outcome: "open".to_owned(),
            reason: None,
            retry_after_ms: None,
            cost: 0,
            cached_tokens: 0,
            prompt_tokens: 0,
            output_tokens: 0,
            duration_ms: view.ended.map(|ended| millis(view.received, ended)),
            attempts: attempts
                .map(|attempt| AttemptReport::new(attempt, view.received))
                .collect(),
            notes: view.notes.clone(),
        };
        match &view.outcome {
            Some(outcome) => report.with_outcome(outcome),
            None => report,
        }
    }
}

impl CallReport {
    fn with_outcome(self, outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Completed(answer) => Self {
                outcome: "completed".to_owned(),
                cost: answer.cost.0,
                cached_tokens: answer.usage.cached.0,
                prompt_tokens: answer.usage.prompt.0,
                output_tokens: answer.usage.output.0,
                ..self
            },
            Outcome::Refused(refusal) => Self {
                outcome: "refused".to_owned(),
                reason: Some(snake_case(&refusal.reason)),
                retry_after_ms: refusal
                    .retry_after
                    .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)),
                ..self
            },
            Outcome::Failed(failure) => Self {
                outcome: "failed".to_owned(),
                reason: Some(failure_reason(
                    &snake_case(&failure.reason),
                    &failure.detail,
                )),
                cost: failure.cost.0,
                ..self
            },
            Outcome::Unknown(reason) => Self {
                outcome: "unknown".to_owned(),
                reason: Some(snake_case(reason)),
                ..self
            },
        }
    }
}

impl AttemptReport {
    fn new(view: &AttemptView, received: Timestamp) -> Self {
        Self {
            attempt: view.attempt.0,
            engine: view.engine.as_ref().map(|engine| engine.to_string()),
            waited_ms: millis(received, view.started),
            first_chunk_ms: view.first_chunk.map(|first| millis(view.started, first)),
        }
    }
}

fn failure_reason(reason: &str, detail: &str) -> String {
    if detail.is_empty() {
        return reason.to_owned();
    }
    format!("{reason}: {detail}")
}

/// Returns the serialized name of a unit variant.
fn snake_case(variant: &impl Serialize) -> String {
    match serde_json::to_value(variant) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Returns the time between two timestamps, in milliseconds.
fn millis(from: Timestamp, to: Timestamp) -> u64 {
    u64::try_from(to.since(from).as_millis()).unwrap_or(u64::MAX)
}
