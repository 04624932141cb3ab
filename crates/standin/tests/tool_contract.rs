//! Tests of the tool interface, through its client and by raw requests.

mod common;

use std::time::Duration;

use awc::http::Method;
use common::{
    BadRequest, INVALID, NOT_FOUND, OVERSIZED, TEST_TIMEOUT, TOO_LARGE, WRONG_METHOD,
    assert_refused, endpoint, eventually, free_port, put_faults, raw,
};
use elderworks_backend::{BackendError, HttpToolClient, ToolClient, ToolInvocation};
use elderworks_platform_api::ErrorCode;
use elderworks_platform_api::tool::InvocationStatus;
use elderworks_platform_model::tool::tool_result;
use elderworks_platform_model::{ToolFaults, ToolSettings};
use elderworks_standin::ServerHandle;
use elderworks_standin::tool::{ExecutionsResponse, ToolServiceSettings, serve};
use elderworks_types::ToolName;
use serde_json::{Value, json};

const TOOL: &str = "diet-order";
const KEY: &str = "run-0000000000000007/3";
const INVOCATIONS: &str = "/v1/invocations";
const KEYED: &[(&str, &str)] = &[("idempotency-key", "key"), ("x-tool", TOOL)];
const UNKEYED: &[(&str, &str)] = &[("x-tool", TOOL)];
const OTHER_TOOL: &[(&str, &str)] = &[("idempotency-key", "key"), ("x-tool", "other")];

fn start_with(behaviour: ToolSettings) -> (ServerHandle, HttpToolClient) {
    let settings = ToolServiceSettings {
        tools: [ToolName::new(TOOL)].into(),
        behaviour,
        ..ToolServiceSettings::default()
    };
    let server = serve(free_port(), settings).expect("the server starts");
    let client = HttpToolClient::new(endpoint(&server));
    (server, client)
}

fn start() -> (ServerHandle, HttpToolClient) {
    start_with(ToolSettings::default())
}

fn arguments() -> Value {
    json!({"resident": 12, "tray": "no salt"})
}

fn invocation() -> ToolInvocation {
    ToolInvocation {
        tool: ToolName::new(TOOL),
        idempotency_key: KEY.to_owned(),
        arguments: arguments().to_string(),
        timeout: TEST_TIMEOUT,
    }
}

fn expected_result() -> Value {
    tool_result(&ToolName::new(TOOL), &arguments())
}

async fn executions(server: &ServerHandle) -> ExecutionsResponse {
    let answer = raw(server, Method::GET, INVOCATIONS, &[], "").await;
    serde_json::from_slice(&answer.body).expect("executions")
}

#[actix_rt::test]
async fn a_repeated_key_gives_the_first_result_without_running_again() {
    let (server, client) = start();
    let first = client.invoke(invocation()).await.expect("a result");
    assert_eq!(first.result, expected_result());
    assert!(!first.repeated);
    let second = client.invoke(invocation()).await.expect("a result");
    assert_eq!(second.result, first.result);
    assert!(second.repeated);
    let ran = executions(&server).await.executions;
    assert_eq!(ran.len(), 1);
    assert_eq!(ran[0].key, KEY);
    assert_eq!(ran[0].arguments, arguments());
    let status = client.status(KEY).await.expect("a status");
    let result = expected_result();
    assert_eq!(status, InvocationStatus::Completed { result });
}

#[actix_rt::test]
async fn a_tool_that_keeps_no_keys_runs_every_request() {
    let (server, client) = start_with(ToolSettings {
        keeps_keys: false,
        ..ToolSettings::default()
    });
    client.invoke(invocation()).await.expect("a result");
    client.invoke(invocation()).await.expect("a result");
    assert_eq!(executions(&server).await.executions.len(), 2);
    let status = client.status(KEY).await.expect("a status");
    assert_eq!(status, InvocationStatus::Unknown);
}

/// Information that a client has about a failed invocation.
#[derive(Debug, PartialEq)]
enum Known {
    NotRun,
    MayHaveRun,
    Errored,
}

fn known(error: &BackendError) -> Known {
    match error {
        BackendError::NotSent { .. } | BackendError::Rejected { .. } => Known::NotRun,
        BackendError::Lost { .. } => Known::MayHaveRun,
        BackendError::Errored { .. } => Known::Errored,
    }
}

struct FaultRow {
    name: &'static str,
    faults: ToolFaults,
    timeout: Duration,
    known: Known,
    runs: usize,
    /// Status reported by the tool afterwards.
    status: InvocationStatus,
}

#[actix_rt::test]
async fn faults_determine_what_may_have_run() {
    let completed = InvocationStatus::Completed {
        result: expected_result(),
    };
    let failed = InvocationStatus::Failed {
        message: "the tool failed".to_owned(),
    };
    let none = ToolFaults::default;
    let table = [
        FaultRow {
            name: "busy",
            faults: ToolFaults {
                busy: true,
                ..none()
            },
            timeout: TEST_TIMEOUT,
            known: Known::NotRun,
            runs: 0,
            status: InvocationStatus::Unknown,
        },
        FaultRow {
            name: "down",
            faults: ToolFaults {
                down: true,
                ..none()
            },
            timeout: TEST_TIMEOUT,
            known: Known::MayHaveRun,
            runs: 0,
            status: InvocationStatus::Unknown,
        },
        FaultRow {
            name: "answer lost",
            faults: ToolFaults {
                lose_next_answers: 1,
                ..none()
            },
            timeout: TEST_TIMEOUT,
            known: Known::MayHaveRun,
            runs: 1,
            status: completed,
        },
        FaultRow {
            name: "hung",
            faults: ToolFaults {
                hang: true,
                ..none()
            },
            timeout: Duration::from_millis(50),
            known: Known::MayHaveRun,
            runs: 1,
            status: InvocationStatus::Running,
        },
        FaultRow {
            name: "failed",
            faults: ToolFaults {
                fail: true,
                ..none()
            },
            timeout: TEST_TIMEOUT,
            known: Known::Errored,
            runs: 1,
            status: failed,
        },
    ];
    for row in table {
        let (server, client) = start();
        put_faults(&server, &row.faults).await;
        let request = ToolInvocation {
            timeout: row.timeout,
            ..invocation()
        };
        let error = client.invoke(request).await.expect_err(row.name);
        assert_eq!(known(&error), row.known, "{}: {error:?}", row.name);
        put_faults(&server, &ToolFaults::default()).await;
        let ran = executions(&server).await.executions.len();
        assert_eq!(ran, row.runs, "{}", row.name);
        let status = client.status(KEY).await.expect("a status");
        assert_eq!(status, row.status, "{}", row.name);
    }
}

#[actix_rt::test]
async fn a_busy_tool_sends_retry_after() {
    let (server, client) = start();
    put_faults(
        &server,
        &ToolFaults {
            busy: true,
            ..ToolFaults::default()
        },
    )
    .await;
    let error = client.invoke(invocation()).await.expect_err("busy");
    let BackendError::Rejected {
        code, retry_after, ..
    } = error
    else {
        panic!("{error:?}");
    };
    assert_eq!(code, ErrorCode::QueueFull);
    assert_eq!(retry_after, Some(Duration::from_secs(1)));
}

#[actix_rt::test]
async fn an_invocation_completes_without_its_client() {
    let (server, client) = start_with(ToolSettings {
        latency: Duration::from_millis(50),
        ..ToolSettings::default()
    });
    let invoking = actix_rt::spawn(client.invoke(invocation()));
    eventually("started", || async {
        !executions(&server).await.executions.is_empty()
    })
    .await;
    invoking.abort();
    eventually("completed", || async {
        let status = client.status(KEY).await.expect("a status");
        matches!(status, InvocationStatus::Completed { .. })
    })
    .await;
    assert_eq!(executions(&server).await.executions.len(), 1);
}

#[actix_rt::test]
async fn a_key_that_is_invalid_in_a_header_is_not_sent() {
    let (server, client) = start();
    let unsendable = ToolInvocation {
        idempotency_key: "two\nlines".to_owned(),
        ..invocation()
    };
    let error = client.invoke(unsendable).await.expect_err("unsendable");
    assert!(matches!(error, BackendError::NotSent { .. }), "{error:?}");
    assert!(executions(&server).await.executions.is_empty());
}

#[actix_rt::test]
async fn bad_requests_are_refused() {
    let (server, _client) = start();
    let post = Method::POST;
    let table = [
        BadRequest::new("unknown path", Method::GET, "/v1/tools", b"", NOT_FOUND),
        BadRequest::new("wrong method", Method::PUT, INVOCATIONS, b"", WRONG_METHOD),
        BadRequest::new("no key", post.clone(), INVOCATIONS, b"{}", INVALID).with_headers(UNKEYED),
        BadRequest::new("malformed", post.clone(), INVOCATIONS, b"{", INVALID).with_headers(KEYED),
        BadRequest::new("empty", post.clone(), INVOCATIONS, b"", INVALID).with_headers(KEYED),
        BadRequest::new("not UTF-8", post.clone(), INVOCATIONS, b"\"\xff\"", INVALID)
            .with_headers(KEYED),
        BadRequest::new("unknown tool", post.clone(), INVOCATIONS, b"{}", NOT_FOUND)
            .with_headers(OTHER_TOOL),
        BadRequest::new("oversized", post, INVOCATIONS, &OVERSIZED, TOO_LARGE).with_headers(KEYED),
        BadRequest::new("list", Method::GET, "/v1/invocations?after=x", b"", INVALID),
        BadRequest::new("faults", Method::PUT, "/v1/faults", b"[]7", INVALID),
    ];
    assert_refused(&server, &table).await;
    assert!(executions(&server).await.executions.is_empty());
}
