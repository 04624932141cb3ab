//! Responses to valid requests.

use awc::http::{Method, StatusCode};
use elderworks_types::{CallRequest, RunId, RunPhase};
use serde_json::{Value, json};

use crate::client::{OFFICE, Setup, setup};

fn parse(id: &str) -> RunId {
    id.parse().expect("a run id")
}

async fn chat(setup: &Setup, run: &str, body: Value) -> crate::client::Reply {
    let headers = [
        ("authorization", "Bearer office-token"),
        ("x-elderworks-run", run),
    ];
    setup
        .send(
            Method::POST,
            "/v1/chat/completions",
            &headers,
            &body.to_string(),
        )
        .await
}

#[actix_rt::test]
async fn a_conversation_submits_only_new_messages() {
    let setup = setup().await;
    let run = setup.start_run(OFFICE).await;
    let first = json!({"model": "m", "messages": [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": [{"type": "text", "text": "one"}]},
    ]});
    let reply = chat(&setup, &run, first).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
    let answer = reply.json();
    assert_eq!(answer["choices"][0]["message"]["content"], "answer to one");
    assert_eq!(answer["usage"]["prompt_tokens_details"]["cached_tokens"], 4);
    assert_eq!(answer["elderworks"]["cost"], 13);
    assert_eq!(reply.header("x-elderworks-call"), Some("1"));
    let second = json!({"model": "m", "temperature": 0.2, "messages": [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": "one"},
        {"role": "assistant", "content": "answer to one"},
        {"role": "user", "content": "two"},
    ]});
    chat(&setup, &run, second).await;
    let rewritten = json!({"model": "m", "messages": [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": "another"},
    ]});
    chat(&setup, &run, rewritten).await;
    let prefixes: Vec<(u32, usize)> = setup
        .node
        .submissions()
        .iter()
        .map(|spec| match &spec.request {
            CallRequest::Model(model) => (model.history_prefix, model.messages.len()),
            CallRequest::Tool(_) => panic!("no tool was called"),
        })
        .collect();
    assert_eq!(prefixes, [(0, 2), (3, 1), (1, 1)]);
}

#[actix_rt::test]
async fn the_chunks_of_a_streamed_completion_form_the_full_answer() {
    let setup = setup().await;
    let run = setup.start_run(OFFICE).await;
    let body = json!({"model": "m", "stream": true, "stream_options": {"include_usage": true},
        "messages": [{"role": "user", "content": "one"}]});
    let reply = chat(&setup, &run, body).await;
    assert_eq!(reply.header("content-type"), Some("text/event-stream"));
    let events = reply.events();
    let (done, events) = events.split_last().expect("events");
    assert_eq!(done, "[DONE]");
    let events: Vec<Value> = events
        .iter()
        .map(|event| serde_json::from_str(event).expect("JSON"))
        .collect();
    let text: String = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(text, "answer to one");
    assert_eq!(events[0]["choices"][0]["delta"]["role"], "assistant");
    let usage = &events.last().expect("the usage")["usage"];
    assert_eq!(usage["completion_tokens"], 3);
}

#[actix_rt::test]
async fn a_completion_without_a_run_header_ends_the_run_that_it_started() {
    let setup = setup().await;
    let headers = [
        ("authorization", "Bearer office-token"),
        ("x-elderworks-run-program", "boundary"),
    ];
    let body = r#"{"model":"m","messages":[{"role":"user","content":"one"}]}"#;
    let reply = setup
        .send(Method::POST, "/v1/chat/completions", &headers, body)
        .await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
    let run = parse(reply.header("x-elderworks-run").expect("the run"));
    for _ in 0..200 {
        if setup.node.phase(run) == Some(RunPhase::Ended) {
            return;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("the run was not ended");
}

#[actix_rt::test]
async fn a_run_can_be_read_watched_and_ended() {
    let setup = setup().await;
    let run = setup.start_run(OFFICE).await;
    let path = format!("/v1/runs/{run}");
    let tool = json!({"tool": {"name": "lookup", "arguments": {"parcel": 7}}, "repeatable": true});
    let calls = format!("{path}/calls");
    let reply = setup
        .send_as(OFFICE, Method::POST, &calls, &tool.to_string())
        .await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
    assert_eq!(reply.json()["content"], "answer to lookup");
    let model = json!({"model": {"name": "m", "messages": [{"role": "user", "content": "draft"}]},
        "stream": true});
    let reply = setup
        .send_as(OFFICE, Method::POST, &calls, &model.to_string())
        .await;
    let events = reply.events();
    let last: Value = serde_json::from_str(events.last().expect("events")).expect("JSON");
    assert_eq!(last["content"], "answer to draft");
    assert_eq!(last["number"], 2);
    let history = setup
        .send_as(OFFICE, Method::GET, &format!("{path}/history"), "")
        .await;
    let messages = history.json()["messages"].as_array().expect("a list").len();
    assert_eq!(messages, 3);
    let view = setup.send_as(OFFICE, Method::GET, &path, "").await.json();
    assert_eq!(view["spent"], 26);
    assert_eq!(view["calls"][0]["target"], "lookup");
    let ended = setup.send_as(OFFICE, Method::DELETE, &path, "").await;
    assert_eq!(ended.json()["phase"], "ended");
    let watch = setup
        .send_as(OFFICE, Method::GET, &format!("{path}/watch"), "")
        .await;
    assert_eq!(watch.events().len(), 1);
}

#[actix_rt::test]
async fn a_repeated_idempotency_key_returns_the_same_call() {
    let setup = setup().await;
    let run = setup.start_run(OFFICE).await;
    let path = format!("/v1/runs/{run}/calls");
    let body = json!({"tool": {"name": "submit", "arguments": {}}, "idempotency_key": "k"});
    for _ in 0..2 {
        let reply = setup
            .send_as(OFFICE, Method::POST, &path, &body.to_string())
            .await;
        assert_eq!(reply.json()["number"], 1);
    }
    let view = setup
        .send_as(OFFICE, Method::GET, &format!("/v1/runs/{run}"), "")
        .await;
    assert_eq!(view.json()["calls"].as_array().expect("a list").len(), 1);
}

#[actix_rt::test]
async fn a_repeated_model_call_returns_the_original_answer_after_the_history_has_grown() {
    let setup = setup().await;
    let run = setup.start_run(OFFICE).await;
    let path = format!("/v1/runs/{run}/calls");
    let ask = |text: &str, number: Option<u32>, key: Option<&str>| {
        let messages = json!([{"role": "user", "content": text}]);
        let model = json!({"name": "m", "messages": messages});
        let call = json!({"model": model, "number": number, "idempotency_key": key,
            "deadline_ms": 60_000});
        call.to_string()
    };
    let bodies = [
        (ask("one", Some(1), None), 1),
        (ask("two", None, Some("k")), 2),
        (ask("three", Some(3), None), 3),
    ];
    for round in 0..2 {
        for (body, number) in &bodies {
            let reply = setup.send_as(OFFICE, Method::POST, &path, body).await;
            assert_eq!(
                reply.status,
                StatusCode::OK,
                "round {round}: {}",
                reply.body
            );
            assert_eq!(reply.json()["number"], *number, "round {round}");
        }
    }
    let path = format!("/v1/runs/{run}");
    let view = setup.send_as(OFFICE, Method::GET, &path, "").await;
    assert_eq!(view.json()["calls"].as_array().expect("a list").len(), 3);
}

#[actix_rt::test]
async fn a_repeated_completion_returns_the_original_answer_after_the_history_has_grown() {
    let setup = setup().await;
    let run = setup.start_run(OFFICE).await;
    let body = json!({"model": "m", "messages": [{"role": "user", "content": "one"}]});
    for (name, value) in [("x-elderworks-call", "1"), ("idempotency-key", "k")] {
        let headers = [
            ("authorization", "Bearer office-token"),
            ("x-elderworks-run", run.as_str()),
            ("x-elderworks-timeout-ms", "60000"),
            (name, value),
        ];
        let mut calls = Vec::new();
        for _ in 0..2 {
            let path = "/v1/chat/completions";
            let body = body.to_string();
            let reply = setup.send(Method::POST, path, &headers, &body).await;
            assert_eq!(reply.status, StatusCode::OK, "{name}: {}", reply.body);
            calls.push(reply.header("x-elderworks-call").map(str::to_owned));
        }
        assert_eq!(calls[0], calls[1], "{name}");
    }
}

#[actix_rt::test]
async fn a_sub_agent_shares_the_root_of_its_parent() {
    let setup = setup().await;
    let parent = setup.start_run(OFFICE).await;
    let body = json!({"program": "boundary", "parent": parent, "budget": 5, "deadline_ms": 1000});
    let reply = setup
        .send_as(OFFICE, Method::POST, "/v1/runs", &body.to_string())
        .await;
    let child = parse(reply.json()["id"].as_str().expect("an id"));
    assert_eq!(child.root, parse(&parent).root);
    assert_ne!(child.child, 0);
}

#[actix_rt::test]
async fn metrics_are_served() {
    let setup = setup().await;
    setup.start_run(OFFICE).await;
    let reply = setup.send(Method::GET, "/metrics", &[], "").await;
    let expected = r#"elderworks_sidecar_responses_total{route="start_run",status="201"} 1"#;
    assert!(reply.body.contains(expected), "{}", reply.body);
}
