//! Tests of the tool model: executions, idempotency keys, faults and limits.

use std::time::Duration;

use elderworks_platform_api::tool::InvocationStatus;
use elderworks_platform_model::tool::tool_result;
use elderworks_platform_model::{
    ExecutionId, ExecutionOutcome, Invocation, ToolFaults, ToolModel, ToolSettings,
};
use elderworks_types::{Timestamp, ToolName};
use serde_json::json;

const LATENCY: Duration = Duration::from_millis(20);
const START: Timestamp = Timestamp(1_000);

fn settings() -> ToolSettings {
    ToolSettings {
        latency: LATENCY,
        ..ToolSettings::default()
    }
}

fn tool_name() -> ToolName {
    ToolName::new("diet-order")
}

#[test]
fn an_execution_completes_after_its_latency() {
    let mut tool = ToolModel::new(settings());
    let invocation = tool.invoke(START, &tool_name(), "key", json!({"tray": 1}));
    let id = ExecutionId(1);
    assert_eq!(invocation, Invocation::Started(id));
    assert_eq!(tool.next_due(), Some(START + LATENCY));
    assert_eq!(tool.poll(START, id), None);
    assert_eq!(tool.status(START, "key"), InvocationStatus::Running);
    let result = tool_result(&tool_name(), &json!({"tray": 1}));
    let outcome = tool.poll(START + LATENCY, id).cloned();
    assert_eq!(outcome, Some(ExecutionOutcome::Completed(result.clone())));
    let status = tool.status(START + LATENCY, "key");
    assert_eq!(status, InvocationStatus::Completed { result });
}

#[test]
fn a_repeated_key_runs_once_if_the_tool_keeps_keys() {
    for (keeps_keys, runs) in [(true, 1), (false, 3)] {
        let mut tool = ToolModel::new(ToolSettings {
            keeps_keys,
            ..settings()
        });
        tool.invoke(START, &tool_name(), "key", json!(1));
        tool.invoke(START, &tool_name(), "key", json!(1));
        tool.invoke(START + LATENCY, &tool_name(), "key", json!(1));
        assert_eq!(tool.executions().count(), runs);
        let is_known = tool.status(START + LATENCY, "key") != InvocationStatus::Unknown;
        assert_eq!(is_known, keeps_keys);
    }
}

struct FaultCase {
    name: &'static str,
    faults: ToolFaults,
    expected: Invocation,
    status_later: InvocationStatus,
    runs: u64,
}

#[test]
fn invocations_follow_the_active_fault() {
    let id = ExecutionId(1);
    let table = [
        FaultCase {
            name: "down",
            faults: ToolFaults {
                down: true,
                ..ToolFaults::default()
            },
            expected: Invocation::Down,
            status_later: InvocationStatus::Unknown,
            runs: 0,
        },
        FaultCase {
            name: "busy",
            faults: ToolFaults {
                busy: true,
                ..ToolFaults::default()
            },
            expected: Invocation::Rejected,
            status_later: InvocationStatus::Unknown,
            runs: 0,
        },
        FaultCase {
            name: "hang",
            faults: ToolFaults {
                hang: true,
                ..ToolFaults::default()
            },
            expected: Invocation::Started(id),
            status_later: InvocationStatus::Running,
            runs: 1,
        },
        FaultCase {
            name: "fail",
            faults: ToolFaults {
                fail: true,
                ..ToolFaults::default()
            },
            expected: Invocation::Started(id),
            status_later: InvocationStatus::Failed {
                message: "the tool failed".to_owned(),
            },
            runs: 1,
        },
    ];
    for row in table {
        let mut tool = ToolModel::new(settings());
        tool.faults = row.faults;
        let invocation = tool.invoke(START, &tool_name(), "key", json!(null));
        assert_eq!(invocation, row.expected, "{}", row.name);
        let later = START + Duration::from_secs(3_600);
        assert_eq!(tool.status(later, "key"), row.status_later, "{}", row.name);
        assert_eq!(tool.started_count(), row.runs, "{}", row.name);
    }
}

#[test]
fn running_and_retained_executions_are_limited() {
    let mut tool = ToolModel::new(ToolSettings {
        max_running: 1,
        max_remembered: 2,
        ..settings()
    });
    let mut now = START;
    for key in ["a", "b", "c"] {
        let first = tool.invoke(now, &tool_name(), key, json!(null));
        assert!(matches!(first, Invocation::Started(_)));
        let second = tool.invoke(now, &tool_name(), "another", json!(null));
        assert_eq!(second, Invocation::Rejected);
        now = now + LATENCY;
        tool.poll(now, ExecutionId(1));
    }
    let keys: Vec<&str> = tool
        .executions()
        .map(|execution| execution.key.as_str())
        .collect();
    assert_eq!(keys, ["b", "c"]);
    assert_eq!(tool.status(now, "a"), InvocationStatus::Unknown);
    assert_eq!(tool.started_count(), 3);
}
