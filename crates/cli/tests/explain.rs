//! Output of `explain run` for calls in each state.

use elderworks_cli::verbs::explain::format_run;
use elderworks_control::api::RunReport;
use elderworks_protocol::sidecar::{AttemptView, CallView, RunView};
use elderworks_types::{
    Answer, Attempt, CallNumber, CallRequest, CallSpec, Credits, Failure, FailureReason, Outcome,
    Refusal, RefusalReason, RunId, RunPhase, RunSpec, Timestamp, Tokens, ToolRequest,
    UnknownReason, Usage,
};
use std::time::Duration;

/// One millisecond in the unit of [`Timestamp`], microseconds.
const MILLISECOND: u64 = 1_000;

fn call(number: u32, repeatable: bool, outcome: Option<Outcome>) -> CallView {
    CallView {
        spec: CallSpec {
            number: CallNumber(number),
            request: CallRequest::Tool(ToolRequest {
                tool: "cadastre-lookup".into(),
                arguments: "{}".to_owned(),
            }),
            repeatable,
            idempotency_key: None,
            deadline: None,
            expected_reuse: None,
        },
        ended: outcome.is_some().then_some(Timestamp(90 * MILLISECOND)),
        outcome,
        attempts: Vec::new(),
        received: Timestamp(10 * MILLISECOND),
        notes: Vec::new(),
    }
}

fn explain(calls: Vec<CallView>) -> String {
    let id = RunId::root(1);
    let view = RunView {
        spec: RunSpec {
            id,
            tenant: "lublin".into(),
            program: "boundary-correction".into(),
            parent: None,
            budget: Credits(100),
            deadline: None,
        },
        phase: RunPhase::Active,
        spent: Credits(12),
        reserved: Credits(3),
        history: Vec::new(),
        calls,
    };
    format_run(&id.to_string(), &RunReport::from(&view))
}

#[test]
fn each_outcome_is_shown() {
    let completed = Outcome::Completed(Answer {
        content: "{}".to_owned(),
        usage: Usage::default(),
        cost: Credits(5),
    });
    let refused = Outcome::Refused(Refusal {
        reason: RefusalReason::Overloaded,
        retry_after: Some(Duration::from_millis(500)),
    });
    let failed = Outcome::Failed(Failure {
        reason: FailureReason::BackendError,
        detail: "no such parcel".to_owned(),
        cost: Credits(5),
    });
    let unknown = Outcome::Unknown(UnknownReason::OwnerLost);
    let cases = [
        (None, true, "call 1: tool cadastre-lookup: open"),
        (Some(completed), true, "completed after 80 ms, 5 credits"),
        (
            Some(refused),
            true,
            "refused (overloaded) after 80 ms, ask again after 500 ms",
        ),
        (
            Some(failed),
            true,
            "failed (backend_error: no such parcel) after 80 ms, 5 credits",
        ),
        (
            Some(unknown),
            false,
            "at most once: unknown (owner_lost) after 80 ms",
        ),
    ];
    for (outcome, repeatable, expected) in cases {
        let text = explain(vec![call(1, repeatable, outcome)]);
        assert!(text.contains(expected), "{expected:?} is not in:\n{text}");
        assert!(
            text.contains("spent 12 of 100 credits, 3 reserved"),
            "{text}"
        );
    }
}

#[test]
fn attempts_tokens_and_notes_are_shown() {
    let usage = Usage {
        prompt: Tokens(120),
        cached: Tokens(96),
        output: Tokens(30),
    };
    let answer = Answer {
        content: "draft".to_owned(),
        usage,
        cost: Credits(210),
    };
    let attempt = |number, started, first_chunk| AttemptView {
        attempt: Attempt(number),
        engine: Some("engine-a".into()),
        started: Timestamp(started * MILLISECOND),
        first_chunk,
    };
    let view = CallView {
        attempts: vec![
            attempt(1, 15, None),
            attempt(2, 40, Some(Timestamp(52 * MILLISECOND))),
        ],
        notes: vec!["waited for call 1".to_owned()],
        ..call(2, true, Some(Outcome::Completed(answer)))
    };
    let text = explain(vec![view]);
    for expected in [
        "tokens: 120 prompt (96 from cache), 30 generated",
        "attempt 1: on engine-a after waiting 5 ms\n",
        "attempt 2: on engine-a after waiting 30 ms, first answer 12 ms later",
        "waited for call 1",
    ] {
        assert!(text.contains(expected), "{expected:?} is not in:\n{text}");
    }
}
