//! Events for runs, calls and engines that the benchmarks share.

use std::time::Duration;

use elderworks_execution::event::CallTerms;
use elderworks_execution::{Event, SubmittedCall};
use elderworks_placement::event::{LoadReport, ReadyCall};
use elderworks_placement::{Event as PlacementEvent, Ticket};
use elderworks_protocol::journal::RunLimits;
use elderworks_protocol::sidecar::{Delivered, SubmissionTag};
use elderworks_types::{
    Attempt, CallId, CallNumber, CallRequest, CallSpec, Credits, EngineId, Message, ModelName,
    ModelRequest, ResourceName, Role, RunId, RunSpec, TenantId, Timestamp, Tokens, ZoneId,
};

/// Size of the new message of one call.
const QUESTION_BYTES: usize = 400;

/// Cache blocks of a prompt of 30,000 tokens.
const BLOCKS_PER_CALL: u64 = 1_875;

/// Returns the start event of a run whose budget is never exhausted.
pub(crate) fn start_run_event(
    run: RunId,
    tenant: TenantId,
    max_turns: u32,
    max_history: Tokens,
) -> Event {
    let spec = RunSpec {
        id: run,
        tenant,
        program: ResourceName::new("boundary-draft"),
        parent: None,
        budget: Credits(u64::MAX / 4),
        deadline: None,
    };
    let limits = RunLimits {
        max_turns,
        max_history,
        max_duration: Duration::from_secs(86_400),
        priority: 0,
        tenant_budget: false,
    };
    Event::StartRun {
        connection: 1,
        spec,
        limits: Some(limits),
    }
}

/// Returns the submit event of a model call whose prompt starts with `history_prefix` messages of
/// its run's history.
pub(crate) fn submit_call_event(tenant: TenantId, call: CallId, history_prefix: u32) -> Event {
    let spec = CallSpec {
        number: call.number,
        request: CallRequest::Model(ModelRequest {
            model: ModelName::new("agent-large"),
            history_prefix,
            messages: vec![Message::new(Role::User, "q".repeat(QUESTION_BYTES))],
            max_output: Tokens(1_024),
        }),
        repeatable: true,
        idempotency_key: None,
        deadline: None,
        expected_reuse: None,
    };
    let terms = CallTerms {
        per_prompt_token: Credits(1),
        per_output_token: Credits(2),
        per_invocation: Credits::ZERO,
        timeout: Duration::from_secs(60),
    };
    Event::SubmitCall(SubmittedCall {
        connection: 1,
        tenant,
        run: call.run,
        spec,
        delivered: Delivered::default(),
        abandoned_before: 0,
        submission: SubmissionTag::default(),
        terms: Ok(terms),
    })
}

/// Returns the event by which engine `number` joins.
pub(crate) fn engine_added_event(number: usize, zone: ZoneId) -> PlacementEvent {
    PlacementEvent::EngineAdded {
        engine: engine(number),
        zone,
        models: vec![model()],
    }
}

/// Returns a load report of engine `number`; the load varies with the number.
pub(crate) fn load_event(number: usize, now: Timestamp) -> PlacementEvent {
    PlacementEvent::Load {
        engine: engine(number),
        report: LoadReport {
            measured: now,
            running: number as u32 % 30,
            waiting: 0,
            waiting_prefill: Tokens(0),
            blocks_used: 10_000,
            blocks_total: 50_000,
        },
    }
}

/// Returns the ticket of the first attempt of a run's first call.
pub(crate) fn first_ticket(run: RunId) -> Ticket {
    Ticket {
        call: CallId {
            run,
            number: CallNumber(1),
        },
        attempt: Attempt(1),
    }
}

/// Returns the event by which a call with a prompt of 30,000 tokens becomes ready for placement.
pub(crate) fn call_ready_event(ticket: Ticket, now: Timestamp) -> PlacementEvent {
    PlacementEvent::CallReady(Box::new(ReadyCall {
        ticket,
        model: model(),
        blocks: (0..BLOCKS_PER_CALL).map(block_hash).collect(),
        prompt: Tokens(30_000),
        max_output: Tokens(1_024),
        tenant: TenantId::new("tenant-0001"),
        program: ResourceName::new("boundary-draft"),
        run_started: now,
        attained: Tokens(0),
        turns: 0,
        run_deadline: None,
        call_deadline: None,
        priority: 0,
        parent: None,
    }))
}

fn engine(number: usize) -> EngineId {
    EngineId::new(format!("engine-{number:05}"))
}

fn model() -> ModelName {
    ModelName::new("agent-large")
}

/// Returns a well-distributed block hash for a number.
fn block_hash(number: u64) -> u64 {
    number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
