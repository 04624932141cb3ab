//! A caller that repeats a request when it is told that it was not run.

use std::time::Instant;

use awc::http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::fleet::{LOOK_INTERVAL, PATIENCE};

/// A caller of one sidecar.
#[derive(Clone)]
pub struct Caller {
    sidecar: String,
    token: &'static str,
    client: awc::Client,
}

impl Caller {
    /// A caller with its tenant's token.
    pub fn new(sidecar: String, token: &'static str) -> Self {
        Self {
            sidecar,
            token,
            client: awc::Client::builder().timeout(PATIENCE).finish(),
        }
    }

    /// Starts a run with a budget in credits, or with its program's.
    pub async fn start_run(&self, program: &str, budget: Value) -> String {
        let body = json!({ "program": program, "budget": budget });
        let reply = self.send(Method::POST, "/v1/runs", Some(body)).await;
        reply["id"].as_str().expect("an id").to_owned()
    }

    /// Asks the model; returns its answer.
    pub async fn ask(&self, run: &str, number: u32, question: &str) -> String {
        let message = json!({ "role": "user", "content": question });
        let model = json!({ "name": "drafting-8b", "messages": [message], "max_output": 64 });
        let body = json!({ "number": number, "model": model });
        self.call(run, body).await
    }

    /// Uses a tool; returns its result.
    pub async fn use_tool(
        &self,
        run: &str,
        number: u32,
        tool: &str,
        marker: &str,
        key: Option<&str>,
    ) -> String {
        let tool = json!({ "name": tool, "arguments": { "marker": marker } });
        let body = json!({
            "number": number,
            "tool": tool,
            "repeatable": key.is_none(),
            "idempotency_key": key,
        });
        self.call(run, body).await
    }

    async fn call(&self, run: &str, body: Value) -> String {
        let path = format!("/v1/runs/{run}/calls");
        let reply = self.send(Method::POST, &path, Some(body)).await;
        reply["content"].as_str().expect("an answer").to_owned()
    }

    /// Reads a run's history as `(role, content)`.
    pub async fn history(&self, run: &str) -> Vec<(String, String)> {
        let path = format!("/v1/runs/{run}/history");
        let reply = self.send(Method::GET, &path, None).await;
        let text = |message: &Value, field: &str| {
            let value = message[field].as_str().expect("text");
            value.to_owned()
        };
        let messages = reply["messages"].as_array().expect("a list");
        messages
            .iter()
            .map(|message| (text(message, "role"), text(message, "content")))
            .collect()
    }

    /// Reads the budget of a run.
    pub async fn budget(&self, run: &str) -> u64 {
        let path = format!("/v1/runs/{run}");
        let reply = self.send(Method::GET, &path, None).await;
        reply["budget"].as_u64().expect("a budget")
    }

    /// Ends a run; returns its phase.
    pub async fn end_run(&self, run: &str) -> String {
        let path = format!("/v1/runs/{run}");
        let reply = self.send(Method::DELETE, &path, None).await;
        reply["phase"].as_str().expect("a phase").to_owned()
    }

    /// Sends a request until it is answered. It is repeated only where the error says that it was
    /// not run, or that repeating it is harmless.
    async fn send(&self, method: Method, path: &str, body: Option<Value>) -> Value {
        let started = Instant::now();
        loop {
            let (status, reply) = self.send_once(method.clone(), path, body.as_ref()).await;
            if status.is_success() {
                return reply;
            }
            let error = &reply["error"];
            let may_repeat = error["run"] == "no" || error["code"] == "no_answer_from_node";
            assert!(
                may_repeat && started.elapsed() < PATIENCE,
                "{method} {path}: {status}: {reply}"
            );
            actix_rt::time::sleep(LOOK_INTERVAL).await;
        }
    }

    async fn send_once(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> (StatusCode, Value) {
        let request = self
            .client
            .request(method, format!("{}{path}", self.sidecar))
            .insert_header(("authorization", format!("Bearer {}", self.token)));
        let sending = match body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sending.await.expect("the sidecar answers");
        let bytes = response.body().await.expect("a whole body");
        let reply = serde_json::from_slice(&bytes).expect("JSON");
        (response.status(), reply)
    }
}
