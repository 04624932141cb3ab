//! Builders for specifications, terms and events used by several tests.

use std::time::Duration;

use elderworks_execution::event::{AttemptFailure, CallTerms};
use elderworks_execution::{Event, SubmittedCall};
use elderworks_protocol::journal::RunLimits;
use elderworks_protocol::sidecar::{Delivered, SubmissionTag};
use elderworks_types::{
    CallId, CallNumber, CallRequest, CallSpec, Credits, FailureReason, Message, ModelName,
    ModelRequest, ResourceName, Role, RunId, RunSpec, TenantId, Tokens, ToolName, ToolRequest,
    Usage,
};

pub const RUN: RunId = RunId::root(7);

pub fn tenant() -> TenantId {
    TenantId::new("lublin-advisers")
}

pub fn run_spec(id: RunId, budget: u64) -> RunSpec {
    RunSpec {
        id,
        tenant: tenant(),
        program: ResourceName::new("boundary-draft"),
        parent: None,
        budget: Credits(budget),
        deadline: None,
    }
}

pub fn limits() -> RunLimits {
    RunLimits {
        max_turns: 10,
        max_history: Tokens(10_000),
        max_duration: Duration::from_secs(600),
        priority: 0,
        tenant_budget: false,
    }
}

pub fn start(id: RunId, budget: u64) -> Event {
    start_with(run_spec(id, budget), limits())
}

pub fn start_with(spec: RunSpec, limits: RunLimits) -> Event {
    Event::StartRun {
        connection: 1,
        spec,
        limits: Some(limits),
    }
}

pub fn model_call(number: u32, prefix: u32, text: &str) -> CallSpec {
    CallSpec {
        number: CallNumber(number),
        request: CallRequest::Model(ModelRequest {
            model: ModelName::new("small"),
            history_prefix: prefix,
            messages: vec![Message::new(Role::User, text)],
            max_output: Tokens(10),
        }),
        repeatable: true,
        idempotency_key: None,
        deadline: None,
        expected_reuse: None,
    }
}

/// Returns a tool call that must not be repeated.
pub fn tool_call(number: u32) -> CallSpec {
    CallSpec {
        number: CallNumber(number),
        request: CallRequest::Tool(ToolRequest {
            tool: ToolName::new("submit-parcel"),
            arguments: "{}".to_owned(),
        }),
        repeatable: false,
        idempotency_key: None,
        deadline: None,
        expected_reuse: None,
    }
}

pub fn model_terms() -> CallTerms {
    CallTerms {
        per_prompt_token: Credits(1),
        per_output_token: Credits(2),
        per_invocation: Credits::ZERO,
        timeout: Duration::from_secs(30),
    }
}

pub fn tool_terms() -> CallTerms {
    CallTerms {
        per_prompt_token: Credits::ZERO,
        per_output_token: Credits::ZERO,
        per_invocation: Credits(5),
        timeout: Duration::from_secs(30),
    }
}

pub fn submit(run: RunId, spec: CallSpec) -> Event {
    submit_on(1, run, spec, Delivered::default())
}

pub fn submit_on(connection: u64, run: RunId, spec: CallSpec, delivered: Delivered) -> Event {
    let terms = match spec.request {
        CallRequest::Model(_) => model_terms(),
        CallRequest::Tool(_) => tool_terms(),
    };
    Event::SubmitCall(SubmittedCall {
        connection,
        tenant: tenant(),
        run,
        spec,
        delivered,
        abandoned_before: 0,
        submission: SubmissionTag::default(),
        terms: Ok(terms),
    })
}

pub fn call(run: RunId, number: u32) -> CallId {
    CallId {
        run,
        number: CallNumber(number),
    }
}

pub fn lost_failure() -> AttemptFailure {
    AttemptFailure::Lost {
        reason: FailureReason::AttemptsExhausted,
        usage: Usage::default(),
    }
}
