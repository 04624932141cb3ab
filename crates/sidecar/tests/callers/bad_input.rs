//! Invalid requests get typed errors, and the sidecar keeps serving.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use serde_json::Value;

use crate::client::{KITCHEN, MAX_BODY_BYTES, OFFICE, Reply, Setup, setup, setup_with};
use crate::node::SILENT_PROGRAM;

/// Placeholder for the id of the first tenant's run.
const RUN_PLACEHOLDER: &str = "{run}";

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    token: Option<&'static str>,
    run_header: Option<&'static str>,
    body: String,
    expected: (u16, &'static str, &'static str),
}

fn case(name: &'static str, path: &'static str, body: &str, expected: (u16, &'static str)) -> Case {
    Case {
        name,
        method: Method::POST,
        path,
        token: Some(OFFICE),
        run_header: None,
        body: body.to_owned(),
        expected: (expected.0, expected.1, "no"),
    }
}

fn malformed_cases() -> Vec<Case> {
    let calls = "/v1/runs/{run}/calls";
    let chat = "/v1/chat/completions";
    let large = format!(r#"{{"program":"{}"}}"#, "x".repeat(MAX_BODY_BYTES));
    vec![
        case("not JSON", "/v1/runs", "{program", (400, "malformed_json")),
        case("empty", "/v1/runs", "", (400, "malformed_json")),
        case(
            "cut off",
            "/v1/runs",
            r#"{"program":"a"#,
            (400, "malformed_json"),
        ),
        case("not text", calls, "\u{0}\u{1}", (400, "malformed_json")),
        case("oversized", "/v1/runs", &large, (413, "body_too_large")),
        case(
            "wrong type",
            "/v1/runs",
            r#"{"program":7}"#,
            (400, "invalid_request"),
        ),
        case(
            "unknown field",
            "/v1/runs",
            r#"{"program":"a","x":1}"#,
            (400, "invalid_request"),
        ),
        case(
            "negative budget",
            "/v1/runs",
            r#"{"program":"a","budget":-1}"#,
            (400, "invalid_request"),
        ),
        case("missing field", "/v1/runs", "{}", (400, "invalid_request")),
        case(
            "malformed parent",
            "/v1/runs",
            r#"{"program":"a","parent":"x"}"#,
            (400, "invalid_request"),
        ),
        case(
            "neither model nor tool",
            calls,
            "{}",
            (400, "invalid_request"),
        ),
        case(
            "unknown role",
            calls,
            r#"{"model":{"name":"m","messages":[{"role":"boss","content":""}]}}"#,
            (400, "invalid_request"),
        ),
        case(
            "no run",
            chat,
            r#"{"model":"m","messages":[{"role":"user","content":"x"}]}"#,
            (400, "invalid_request"),
        ),
        case(
            "no messages",
            chat,
            r#"{"model":"m","messages":[]}"#,
            (400, "invalid_request"),
        ),
        case(
            "two answers",
            chat,
            r#"{"model":"m","n":2,"messages":[{"role":"user","content":"x"}]}"#,
            (400, "invalid_request"),
        ),
        case(
            "unknown program",
            "/v1/runs",
            r#"{"program":"unknown"}"#,
            (422, "unknown_service"),
        ),
        case("unknown path", "/v2/runs", "{}", (404, "not_found")),
    ]
}

fn access_cases() -> Vec<Case> {
    let tool = r#"{"tool":{"name":"lookup","arguments":{}}}"#;
    let calls = "/v1/runs/{run}/calls";
    let unknown = "/v1/runs/run-00000000000000aa/calls";
    let chat = r#"{"model":"m","messages":[{"role":"user","content":"x"}]}"#;
    let not_found = (404, "run_not_found");
    vec![
        Case {
            token: None,
            ..case("no token", calls, tool, (401, "unauthorized"))
        },
        Case {
            token: Some("guess"),
            ..case("wrong token", calls, tool, (401, "unauthorized"))
        },
        Case {
            token: Some(KITCHEN),
            ..case("another tenant's run", calls, tool, not_found)
        },
        Case {
            token: Some(KITCHEN),
            method: Method::GET,
            ..case(
                "another tenant's run state",
                "/v1/runs/{run}",
                "",
                not_found,
            )
        },
        Case {
            token: Some(KITCHEN),
            method: Method::GET,
            ..case(
                "another tenant's history",
                "/v1/runs/{run}/history",
                "",
                not_found,
            )
        },
        Case {
            token: Some(KITCHEN),
            method: Method::DELETE,
            ..case(
                "ending another tenant's run",
                "/v1/runs/{run}",
                "",
                not_found,
            )
        },
        Case {
            token: Some(KITCHEN),
            run_header: Some(RUN_PLACEHOLDER),
            ..case(
                "chat in another tenant's run",
                "/v1/chat/completions",
                chat,
                not_found,
            )
        },
        Case {
            run_header: Some("nonsense"),
            ..case(
                "malformed run id in header",
                "/v1/chat/completions",
                chat,
                not_found,
            )
        },
        case("unknown run", unknown, tool, not_found),
        case(
            "malformed run id in path",
            "/v1/runs/7/calls",
            tool,
            not_found,
        ),
        Case {
            method: Method::PUT,
            ..case(
                "wrong method",
                "/v1/runs",
                "{}",
                (405, "method_not_allowed"),
            )
        },
    ]
}

async fn send(setup: &Setup, case: &Case, run: &str) -> Reply {
    let bearer = case.token.map(|token| format!("Bearer {token}"));
    let run_header = case
        .run_header
        .map(|header| header.replace(RUN_PLACEHOLDER, run));
    let mut headers = Vec::new();
    if let Some(bearer) = &bearer {
        headers.push(("authorization", bearer.as_str()));
    }
    if let Some(run) = &run_header {
        headers.push(("x-elderworks-run", run.as_str()));
    }
    let path = case.path.replace(RUN_PLACEHOLDER, run);
    setup
        .send(case.method.clone(), &path, &headers, &case.body)
        .await
}

#[actix_rt::test]
async fn invalid_requests_get_a_typed_error_and_change_nothing() {
    let setup = setup().await;
    let run = setup.start_run(OFFICE).await;
    for case in malformed_cases().into_iter().chain(access_cases()) {
        let reply = send(&setup, &case, &run).await;
        let (status, code, was_run) = case.expected;
        assert_eq!(
            reply.status.as_u16(),
            status,
            "{}: {}",
            case.name,
            reply.body
        );
        let error = &reply.json()["error"];
        assert_eq!(error["code"], code, "{}", case.name);
        assert_eq!(error["run"], was_run, "{}", case.name);
        assert!(error["message"].is_string(), "{}", case.name);
    }
    assert!(setup.node.submissions().is_empty());
    let reply = setup
        .send_as(OFFICE, Method::GET, &format!("/v1/runs/{run}"), "")
        .await;
    assert_eq!(reply.status, StatusCode::OK);
}

#[actix_rt::test]
async fn errors_report_whether_the_call_was_run() {
    let cases = [
        ("refuse", 503, "overloaded", "no", Some("2")),
        ("fail", 502, "backend_error", "yes", None),
        ("lose", 502, "connection_lost", "unknown", None),
    ];
    let setup = setup().await;
    for (tool, status, code, was_run, retry_after) in cases {
        for is_streamed in [false, true] {
            let run = setup.start_run(OFFICE).await;
            let body = format!(
                r#"{{"tool":{{"name":"{tool}","arguments":{{}}}},"stream":{is_streamed}}}"#
            );
            let path = format!("/v1/runs/{run}/calls");
            let reply = setup.send_as(OFFICE, Method::POST, &path, &body).await;
            assert_eq!(reply.status.as_u16(), status, "{tool}: {}", reply.body);
            let error: Value = reply.json()["error"].clone();
            assert_eq!(error["code"], code);
            assert_eq!(error["run"], was_run);
            assert_eq!(reply.header("retry-after"), retry_after);
        }
    }
}

#[actix_rt::test]
async fn a_start_that_no_node_answers_is_not_reported_as_refused() {
    let timeout = Duration::from_millis(300);
    let setup = setup_with(|limits| limits.hand_over_timeout = timeout).await;
    let body = format!(r#"{{"program":"{SILENT_PROGRAM}"}}"#);
    let reply = setup.send_as(OFFICE, Method::POST, "/v1/runs", &body).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT, "{}", reply.body);
    let error = &reply.json()["error"];
    assert_eq!(error["code"], "no_answer_from_node");
    assert_eq!(error["run"], "unknown");
}
