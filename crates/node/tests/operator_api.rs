//! Tests of the operators' HTTP interface with a fake node that has only a control store.

mod operator_support;

use std::time::Duration;

use actix_http::StatusCode;
use elderworks_control::api::{ApiError, ErrorCode, ListDocument, WatchLine};
use elderworks_control::manifest::Document;
use futures_util::StreamExt;
use operator_support::{LogState, MAX_BODY_BYTES, OTHER_RUN, OWN_RUN, TOKEN, TestServer};
use serde_json::{Value, json};

/// Sends a request, with `If-Match` if a revision is given. Returns status and body.
async fn send(
    server: &TestServer,
    method: &str,
    path: &str,
    revision: Option<u64>,
    body: Vec<u8>,
) -> (StatusCode, Vec<u8>) {
    let method = method.parse().expect("a method");
    let mut request = awc::Client::default()
        .request(method, format!("{}{path}", server.url))
        .bearer_auth(TOKEN);
    if let Some(revision) = revision {
        request = request.insert_header(("if-match", format!("\"{revision}\"")));
    }
    let mut response = request.send_body(body).await.expect("the server answers");
    let body = response.body().await.expect("the body is complete");
    (response.status(), body.to_vec())
}

async fn get(server: &TestServer, path: &str) -> (StatusCode, Vec<u8>) {
    send(server, "GET", path, None, Vec::new()).await
}

async fn put_budget(
    server: &TestServer,
    name: &str,
    limit: u64,
    revision: Option<u64>,
) -> (StatusCode, Vec<u8>) {
    let path = format!("/apis/v1/budgets/{name}");
    let body = budget(name, limit).to_string().into_bytes();
    send(server, "PUT", &path, revision, body).await
}

fn budget(name: &str, limit: u64) -> Value {
    json!({
        "apiVersion": "elderworks/v1",
        "kind": "Budget",
        "metadata": { "name": name },
        "spec": { "tenant": name, "limit": limit },
    })
}

fn error(body: &[u8]) -> ApiError {
    serde_json::from_slice(body).expect("errors have the documented format")
}

fn revision(body: &[u8]) -> u64 {
    let document: Document = serde_json::from_slice(body).expect("a document");
    document.metadata.revision.expect("it has a revision")
}

#[actix_rt::test]
async fn resource_is_created_read_changed_and_deleted() {
    let server = TestServer::start();
    let (status, body) = put_budget(&server, "lublin", 10, Some(0)).await;
    assert_eq!(status, StatusCode::OK);
    let first = revision(&body);

    let (status, body) = get(&server, "/apis/v1/budgets/lublin").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(revision(&body), first);

    let (status, body) = put_budget(&server, "lublin", 20, Some(first)).await;
    assert_eq!(status, StatusCode::OK);
    assert!(revision(&body) > first);

    let (status, body) = put_budget(&server, "lublin", 30, Some(first)).await;
    assert_eq!(status, StatusCode::CONFLICT);
    let conflict = error(&body);
    assert_eq!(conflict.code, ErrorCode::Conflict);
    assert_eq!(conflict.run, Some(false));
    assert!(conflict.found_revision > Some(first));

    let (status, _) = send(&server, "DELETE", "/apis/v1/budgets/lublin", None, vec![]).await;
    assert_eq!(status, StatusCode::OK);
    let (status, _) = get(&server, "/apis/v1/budgets/lublin").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    server.stop().await;
}

#[actix_rt::test]
async fn lists_carry_the_revision_to_watch_from() {
    let server = TestServer::start();
    put_budget(&server, "b", 1, None).await;
    let (_, body) = put_budget(&server, "a", 1, None).await;
    let last = revision(&body);

    let (status, body) = get(&server, "/apis/v1/budgets").await;
    assert_eq!(status, StatusCode::OK);
    let list: ListDocument = serde_json::from_slice(&body).expect("a list");
    let names: Vec<_> = list.items.iter().map(|item| &item.metadata.name).collect();
    assert_eq!(names, ["a", "b"]);
    assert_eq!(
        (list.kind.as_str(), list.revision),
        ("BudgetList", Some(last))
    );
    server.stop().await;
}

#[actix_rt::test]
async fn invalid_requests_get_typed_errors() {
    struct Case {
        method: &'static str,
        path: &'static str,
        body: Vec<u8>,
        code: ErrorCode,
        error_path: Option<&'static str>,
    }
    let case = |method, path, body: &[u8], code, error_path| Case {
        method,
        path,
        body: body.to_vec(),
        code,
        error_path,
    };
    let lublin = "/apis/v1/budgets/lublin";
    let other_name = budget("other", 1).to_string();
    let text_limit = budget("lublin", 1).to_string().replace(":1", ":\"1\"");
    let unknown_field = budget("lublin", 1).to_string().replace("limit", "limt");
    let oversized = vec![b' '; MAX_BODY_BYTES + 1];
    let unknown_run = "/apis/v1/runs/run-00000000000000aa";
    let elsewhere = format!("/apis/v1/runs/{OTHER_RUN}").leak();
    use ErrorCode::*;
    let cases = [
        case("PUT", lublin, b"{", Invalid, Some(".")),
        case("PUT", lublin, b"\xff\xfe", Invalid, Some(".")),
        case(
            "PUT",
            lublin,
            other_name.as_bytes(),
            Invalid,
            Some("metadata.name"),
        ),
        case(
            "PUT",
            "/apis/v1/programs/lublin",
            other_name.as_bytes(),
            Invalid,
            Some("kind"),
        ),
        case(
            "PUT",
            lublin,
            text_limit.as_bytes(),
            Invalid,
            Some("spec.limit"),
        ),
        case(
            "PUT",
            lublin,
            unknown_field.as_bytes(),
            Invalid,
            Some("spec.limt"),
        ),
        case("PUT", lublin, &oversized, BodyTooLarge, None),
        case("PUT", "/apis/v1/budgets", b"", MethodNotAllowed, None),
        case("POST", lublin, b"", MethodNotAllowed, None),
        case("PUT", "/apis/v1/nodes/a", b"", MethodNotAllowed, None),
        case("DELETE", lublin, b"", NotFound, None),
        case("GET", "/apis/v1/budgetz", b"", NotFound, None),
        case("GET", "/apis/v2/budgets", b"", NotFound, None),
        case("GET", "/apis/v1/budgets/a/b", b"", NotFound, None),
        case("GET", "/apis/v1/budgets?wach=true", b"", Malformed, None),
        case(
            "GET",
            "/apis/v1/budgets?watch=true&after=x",
            b"",
            Malformed,
            None,
        ),
        case(
            "GET",
            "/apis/v1/nodes?watch=true",
            b"",
            MethodNotAllowed,
            None,
        ),
        case("GET", "/apis/v1/runs/run-1", b"", NotFound, None),
        case("GET", unknown_run, b"", NotFound, None),
        case("GET", elsewhere, b"", RunElsewhere, None),
        case("GET", "/apis/v1/engines/engine-9", b"", NotFound, None),
    ];
    let server = TestServer::start();
    for case in cases {
        let (status, body) = send(&server, case.method, case.path, None, case.body).await;
        let error = error(&body);
        let request = format!("{} {}", case.method, case.path);
        assert!(status.is_client_error(), "{request} gives {status}");
        assert_eq!(error.code, case.code, "{request} gives {error:?}");
        assert_eq!(
            error.path.as_deref(),
            case.error_path,
            "{request} gives {error:?}"
        );
        assert_eq!(error.run, Some(false), "{request} gives {error:?}");
    }
    let (status, _) = put_budget(&server, "lublin", 1, None).await;
    assert_eq!(status, StatusCode::OK, "the server is still up");
    server.stop().await;
}

#[actix_rt::test]
async fn invalid_tokens_are_refused() {
    let server = TestServer::start();
    let url = format!("{}/apis/v1/budgets", server.url);
    for token in [None, Some("operators"), Some("operators-onlz"), Some("")] {
        let mut request = awc::Client::default().get(&url);
        if let Some(token) = token {
            request = request.bearer_auth(token);
        }
        let mut response = request.send().await.expect("the server answers");
        let body = response.body().await.expect("the body is complete");
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED, "{token:?}");
        assert_eq!(error(&body).code, ErrorCode::Unauthorized);
    }
    server.stop().await;
}

#[actix_rt::test]
async fn log_outage_is_distinguished_from_an_unknown_outcome() {
    let server = TestServer::with_reply_timeout(Duration::from_millis(300));
    server.set_log(LogState::Silent).await;
    let (status, body) = put_budget(&server, "lublin", 1, None).await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(
        (error(&body).code, error(&body).run),
        (ErrorCode::OutcomeUnknown, None)
    );

    server.set_log(LogState::Down).await;
    let (status, body) = put_budget(&server, "other", 1, None).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let refused = error(&body);
    assert_eq!(
        (refused.code, refused.run),
        (ErrorCode::Unavailable, Some(false))
    );
    assert!(refused.retry_after_ms.is_some());
    server.stop().await;
}

/// Reads at least `count` lines of a watch, skipping empty ones.
async fn watch_lines(server: &TestServer, path: &str, count: usize) -> Vec<WatchLine> {
    let mut response = awc::Client::default()
        .get(format!("{}{path}", server.url))
        .bearer_auth(TOKEN)
        .send()
        .await
        .expect("the server answers");
    assert_eq!(response.status(), StatusCode::OK);
    let mut text = Vec::new();
    loop {
        let lines: Vec<WatchLine> = text
            .split_inclusive(|byte| *byte == b'\n')
            .filter(|line| line.len() > 1 && line.ends_with(b"\n"))
            .map(|line| serde_json::from_slice(line).expect("a watch line"))
            .collect();
        if lines.len() >= count {
            return lines;
        }
        let piece = response.next().await.expect("the watch stays open");
        text.extend_from_slice(&piece.expect("the watch is readable"));
    }
}

#[actix_rt::test]
async fn watch_resumes_after_the_last_seen_revision() {
    let server = TestServer::start();
    for limit in 1..=6 {
        put_budget(&server, "lublin", limit, None).await;
        put_budget(&server, "other", limit, None).await;
    }
    let (_, body) = get(&server, "/apis/v1/budgets").await;
    let list: ListDocument = serde_json::from_slice(&body).expect("a list");
    let last = list.revision.expect("lists of budgets have one");

    let first = watch_lines(&server, "/apis/v1/changes?watch=true&after=0", 5).await;
    let seen = first[4].revision;
    let path = format!("/apis/v1/budgets?watch=true&after={seen}");
    let rest = watch_lines(&server, &path, 7).await;
    let revisions: Vec<u64> = first[..5]
        .iter()
        .chain(&rest)
        .map(|line| line.revision)
        .collect();
    let all: Vec<u64> = (last - 11..=last).collect();
    assert_eq!(revisions, all);

    let path = "/apis/v1/budgets/other?watch=true&after=0";
    let own = watch_lines(&server, path, 6).await;
    assert!(own.iter().all(|line| line.name == "other"), "{own:?}");
    server.stop().await;
}

#[actix_rt::test]
async fn watch_sees_changes_made_while_it_is_open() {
    let server = TestServer::start();
    let watch = watch_lines(&server, "/apis/v1/budgets?watch=true&after=0", 2);
    let changes = async {
        put_budget(&server, "lublin", 1, None).await;
        send(&server, "DELETE", "/apis/v1/budgets/lublin", None, vec![]).await;
    };
    let (lines, ()) = futures_util::join!(watch, changes);
    assert!(lines[0].object.is_some());
    assert!(lines[1].object.is_none(), "deleted: {lines:?}");
    server.stop().await;
}

#[actix_rt::test]
async fn watch_from_a_discarded_revision_is_refused() {
    let server = TestServer::start();
    for limit in 1..=(elderworks_control::changes::MAX_RETAINED_CHANGES as u64 + 2) {
        put_budget(&server, "lublin", limit, None).await;
    }
    let (status, body) = get(&server, "/apis/v1/budgets?watch=true&after=1").await;
    assert_eq!(status, StatusCode::GONE);
    assert_eq!(error(&body).code, ErrorCode::WatchTooOld);
    server.stop().await;
}

#[actix_rt::test]
async fn read_only_kinds_are_reported() {
    let server = TestServer::start();
    let (_, body) = get(&server, "/apis/v1/engines/engine-1").await;
    let engine: Value = serde_json::from_slice(&body).expect("a document");
    assert_eq!(engine["status"]["state"], "serving");

    let (_, body) = get(&server, &format!("/apis/v1/runs/{OWN_RUN}")).await;
    let run: Value = serde_json::from_slice(&body).expect("a document");
    assert_eq!(run["status"]["spent"], 7);
    assert_eq!(run["status"]["phase"], "active");

    let (_, body) = get(&server, "/apis/v1/runs").await;
    let list: ListDocument = serde_json::from_slice(&body).expect("a list");
    let status = list.items[0].status.as_ref().expect("it has a status");
    assert_eq!(
        (&status["callCount"], &status["tenant"]),
        (&json!(2), &json!("tenant-1"))
    );
    server.stop().await;
}
