//! Tests of the engine interface by raw requests: compatibility with OpenAI clients, and refusals.

mod common;

use awc::http::{Method, StatusCode};
use common::{
    BadRequest, INVALID, NOT_FOUND, OVERSIZED, RawAnswer, TOO_LARGE, WRONG_METHOD, assert_refused,
    free_port, raw,
};
use elderworks_engine_model::EngineParameters;
use elderworks_engine_model::answer::answer_text;
use elderworks_platform_api::engine::{ChatCompletion, FinishReason, HoldingsResponse};
use elderworks_standin::ServerHandle;
use elderworks_standin::engine::{EngineSettings, serve, with_speed};
use elderworks_types::text::render_prompt;
use elderworks_types::{EngineId, Message, ModelName, Role, Tokens};
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const NAMED: &[(&str, &str)] = &[
    ("x-request-id", "request"),
    ("x-run-id", "run-0000000000000007"),
];
const UNNAMED_RUN: &[(&str, &str)] = &[("x-request-id", "request")];
const UNNAMED_REQUEST: &[(&str, &str)] = &[("x-run-id", "run-0000000000000007")];
const WRONG_RUN: &[(&str, &str)] = &[("x-request-id", "request"), ("x-run-id", "run-7")];
const CHAT_BODY: &[u8] = br#"{"model":"menu","messages":[{"role":"user","content":"x"}]}"#;
const WRONG_ROLE: &[u8] = br#"{"model":"menu","messages":[{"role":"cook","content":"x"}]}"#;
const WRONG_TOKENS: &[u8] = br#"{"model":"menu","messages":[],"max_tokens":-1}"#;

fn start() -> ServerHandle {
    let mut settings = EngineSettings::new(EngineId::new("engine-a"));
    settings.models = vec![ModelName::new("menu")];
    settings.parameters = with_speed(EngineParameters::default(), 100.0);
    serve(free_port(), settings).expect("the server starts")
}

async fn chat(server: &ServerHandle, body: &Value) -> RawAnswer {
    let body = serde_json::to_vec(body).expect("a value encodes");
    raw(server, Method::POST, CHAT, NAMED, body).await
}

#[actix_rt::test]
async fn a_complete_answer_has_the_openai_format() {
    let server = start();
    // Unknown fields must be ignored, since existing clients send many.
    let body = json!({
        "model": "menu",
        "messages": [{"role": "user", "content": "Plan Monday."}],
        "max_tokens": 40,
        "temperature": 0.2,
        "user": "cook",
    });
    let answer = chat(&server, &body).await;
    assert_eq!(answer.status, StatusCode::OK);
    let completion: ChatCompletion = serde_json::from_slice(&answer.body).expect("a completion");
    assert_eq!(completion.object, "chat.completion");
    assert_eq!(completion.id, "request");
    let prompt = render_prompt(&[Message::new(Role::User, "Plan Monday.")]);
    let choice = &completion.choices[0];
    assert_eq!(choice.message.content, answer_text(&prompt, Tokens(40)));
    let usage = completion.usage;
    assert_eq!(
        usage.total_tokens,
        usage.prompt_tokens + usage.completion_tokens
    );
    let length = usage.completion_tokens == 40;
    assert_eq!(choice.finish_reason == FinishReason::Length, length);
}

#[actix_rt::test]
async fn a_stream_is_server_sent_events_up_to_done() {
    let server = start();
    let body = json!({
        "model": "menu",
        "messages": [{"role": "user", "content": "Plan Monday."}],
        "stream": true,
    });
    let answer = chat(&server, &body).await;
    let text = String::from_utf8(answer.body).expect("text");
    let events: Vec<&str> = text.split_terminator("\n\n").collect();
    let (done, chunks) = events.split_last().expect("events");
    assert_eq!(*done, "data: [DONE]");
    for (index, event) in chunks.iter().enumerate() {
        let (id, data) = event.split_once('\n').expect("two lines");
        assert_eq!(id, format!("id: {index}"));
        let data = data.strip_prefix("data: ").expect("data");
        let chunk: Value = serde_json::from_str(data).expect("JSON");
        assert_eq!(chunk["object"], "chat.completion.chunk");
        let is_last = index + 1 == chunks.len();
        assert_eq!(chunk["choices"][0]["finish_reason"].is_string(), is_last);
        assert_eq!(chunk.get("usage").is_some(), is_last);
        let has_role = chunk["choices"][0]["delta"].get("role").is_some();
        assert_eq!(has_role, index == 0);
    }
}

#[actix_rt::test]
async fn bad_requests_are_refused() {
    let server = start();
    let post = Method::POST;
    let table = [
        BadRequest::new("unknown path", Method::GET, "/v2/load", b"", NOT_FOUND),
        BadRequest::new("method of chat", Method::GET, CHAT, b"", WRONG_METHOD),
        BadRequest::new(
            "method of load",
            post.clone(),
            "/v1/load",
            b"",
            WRONG_METHOD,
        ),
        BadRequest::new("no request id", post.clone(), CHAT, CHAT_BODY, INVALID)
            .with_headers(UNNAMED_REQUEST),
        BadRequest::new("no run", post.clone(), CHAT, CHAT_BODY, INVALID).with_headers(UNNAMED_RUN),
        BadRequest::new("no run id", post.clone(), CHAT, CHAT_BODY, INVALID)
            .with_headers(WRONG_RUN),
        BadRequest::new("malformed", post.clone(), CHAT, b"{\"model\":", INVALID)
            .with_headers(NAMED),
        BadRequest::new("empty", post.clone(), CHAT, b"", INVALID).with_headers(NAMED),
        BadRequest::new("unknown role", post.clone(), CHAT, WRONG_ROLE, INVALID)
            .with_headers(NAMED),
        BadRequest::new("wrong type", post.clone(), CHAT, WRONG_TOKENS, INVALID)
            .with_headers(NAMED),
        BadRequest::new("oversized", post.clone(), CHAT, &OVERSIZED, TOO_LARGE).with_headers(NAMED),
        BadRequest::new(
            "unknown stream",
            Method::GET,
            "/v1/streams/x",
            b"",
            NOT_FOUND,
        ),
        BadRequest::new(
            "chunk number",
            Method::GET,
            "/v1/streams/x?from=-1",
            b"",
            INVALID,
        ),
        BadRequest::new(
            "event number",
            Method::GET,
            "/v1/cache/events?after=x",
            b"",
            INVALID,
        ),
        BadRequest::new(
            "run in a path",
            Method::DELETE,
            "/v1/runs/7",
            b"",
            NOT_FOUND,
        ),
        BadRequest::new(
            "lease",
            Method::PUT,
            "/v1/runs/run-0000000000000007/retention",
            br#"{"lease_ms":"long"}"#,
            INVALID,
        ),
        BadRequest::new(
            "blocks",
            post.clone(),
            "/v1/runs/run-0000000000000007/import",
            br#"{"blocks":[-1]}"#,
            INVALID,
        ),
        BadRequest::new(
            "unknown command",
            post.clone(),
            "/v1/commands",
            br#"{"fence":1,"command":{"explode":{}}}"#,
            INVALID,
        ),
        BadRequest::new(
            "command without a fence",
            post,
            "/v1/commands",
            br#"{"command":{"unload_model":{"model":"menu"}}}"#,
            INVALID,
        ),
    ];
    assert_refused(&server, &table).await;
    let holdings = raw(&server, Method::GET, "/v1/runs", &[], "").await;
    let holdings: HoldingsResponse = serde_json::from_slice(&holdings.body).expect("holdings");
    assert!(holdings.runs.is_empty());
}
