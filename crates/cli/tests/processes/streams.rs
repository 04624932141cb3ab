//! Checks of streamed answers as callers receive them.

use awc::http::Method;
use elderworks_engine_model::answer::answer_text;
use elderworks_types::text::render_prompt;
use elderworks_types::{Message, Role, Tokens};
use serde_json::{Value, json};

use crate::caller::Caller;

/// Maximum length of an answer.
const MAX_OUTPUT: Tokens = Tokens(160);

/// Makes the first call of a run with a streamed answer and checks that the answer is complete.
pub async fn check_streamed_answer(caller: &Caller, run: &str) {
    let question = format!("what became of {run}?");
    let message = json!({ "role": "user", "content": question });
    let model = json!({ "name": "drafting-8b", "messages": [message], "max_output": MAX_OUTPUT });
    let body = json!({ "number": 1, "model": model, "stream": true });
    let path = format!("/v1/runs/{run}/calls");
    let events = caller.stream(&path, &body).await;
    let prompt = [Message {
        role: Role::User,
        content: question,
    }];
    let expected = answer_text(&render_prompt(&prompt), MAX_OUTPUT);
    assert_eq!(joined_chunks(&events), expected, "{run}");
    let (name, last) = events.last().expect("events");
    assert_eq!(name, "completed", "{run}: {last}");
    assert_eq!(last["content"], expected, "{run}");
}

/// Joins the chunks of a stream, discarding those before a restart.
fn joined_chunks(events: &[(String, Value)]) -> String {
    let mut answer = String::new();
    for (name, data) in events {
        match name.as_str() {
            "chunk" => answer.push_str(data["text"].as_str().expect("text")),
            "restarted" => answer.clear(),
            _ => {}
        }
    }
    answer
}

/// Attempt of a call, as reported to the caller.
#[derive(Debug)]
pub struct Attempt {
    /// Engine on which the attempt ran; empty if there is none.
    pub engine: String,
    /// Whether the attempt produced a chunk of the answer.
    pub has_streamed: bool,
}

/// Returns the attempts of a run's call, in order.
pub async fn attempts(caller: &Caller, run: &str, number: usize) -> Vec<Attempt> {
    let path = format!("/v1/runs/{run}");
    let reply = caller.send(Method::GET, &path, None).await;
    let attempts = &reply["calls"][number - 1]["attempts"];
    let attempt = |attempt: &Value| Attempt {
        engine: attempt["engine"].as_str().unwrap_or_default().to_owned(),
        has_streamed: attempt["first_chunk_ms"].is_u64(),
    };
    let attempts = attempts.as_array().expect("a list");
    attempts.iter().map(attempt).collect()
}
