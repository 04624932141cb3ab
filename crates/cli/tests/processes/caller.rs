//! A caller that repeats a request when it is told that it was not run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use awc::http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::fleet::{LOOK_INTERVAL, PATIENCE};

/// Errors after which the same request, with the same number, may be sent again.
const HARMLESS_TO_REPEAT: [&str; 2] = ["no_answer_from_node", "attempts_exhausted"];

/// Errors after which a submission may have been made, and will not be made again.
const UNKNOWN_OUTCOMES: [&str; 3] = ["owner_lost", "connection_lost", "no_answer"];

/// A caller of one sidecar.
#[derive(Clone)]
pub struct Caller {
    sidecar: String,
    token: &'static str,
    client: awc::Client,
    repeats: Rc<Cell<usize>>,
}

impl Caller {
    /// A caller with its tenant's token.
    pub fn new(sidecar: String, token: &'static str) -> Self {
        Self {
            sidecar,
            token,
            client: awc::Client::builder().timeout(PATIENCE).finish(),
            repeats: Rc::default(),
        }
    }

    /// How many requests were not answered at once and were sent again.
    pub fn repeats(&self) -> usize {
        self.repeats.get()
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

    /// Asks the model once; any error fails the test.
    pub async fn ask_without_repeating(&self, run: &str, number: u32, question: &str) -> String {
        let message = json!({ "role": "user", "content": question });
        let model = json!({ "name": "drafting-8b", "messages": [message], "max_output": 160 });
        let body = json!({ "number": number, "model": model });
        let path = format!("/v1/runs/{run}/calls");
        let (status, reply) = self.send_once(Method::POST, &path, Some(&body)).await;
        assert!(status.is_success(), "{status}: {reply}");
        reply["content"].as_str().expect("an answer").to_owned()
    }

    /// Uses a tool that may be asked twice; returns its result.
    pub async fn look_up(&self, run: &str, number: u32, tool: &str, marker: &str) -> String {
        let tool = json!({ "name": tool, "arguments": { "marker": marker } });
        let body = json!({ "number": number, "tool": tool, "repeatable": true });
        self.call(run, body).await
    }

    /// Uses a tool that must run at most once; returns its result, or the code that says that it
    /// may have run.
    pub async fn submit(
        &self,
        run: &str,
        number: u32,
        tool: &str,
        marker: &str,
    ) -> Result<String, String> {
        let tool = json!({ "name": tool, "arguments": { "marker": marker } });
        let key = format!("key-{marker}");
        let body = json!({ "number": number, "tool": tool, "idempotency_key": key });
        let path = format!("/v1/runs/{run}/calls");
        let reply = self.try_send(Method::POST, &path, Some(body)).await?;
        Ok(reply["content"].as_str().expect("an answer").to_owned())
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

    /// Sends a request until it is answered.
    pub async fn send(&self, method: Method, path: &str, body: Option<Value>) -> Value {
        let reply = self.try_send(method, path, body).await;
        reply.unwrap_or_else(|code| panic!("{path}: {code}"))
    }

    /// Sends a request until it is answered, or until it is told that its outcome cannot be known;
    /// returns the code then. It is repeated only where the error says that it was not run, or
    /// that repeating it is harmless.
    async fn try_send(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, String> {
        let started = Instant::now();
        loop {
            let (status, reply) = self.send_once(method.clone(), path, body.as_ref()).await;
            if status.is_success() {
                return Ok(reply);
            }
            let error = &reply["error"];
            let code = error["code"].as_str().expect("a code");
            if UNKNOWN_OUTCOMES.contains(&code) {
                return Err(code.to_owned());
            }
            let may_repeat = error["run"] == "no" || HARMLESS_TO_REPEAT.contains(&code);
            assert!(
                may_repeat && started.elapsed() < PATIENCE,
                "{method} {path}: {status}: {reply}"
            );
            println!("repeated: {method} {path}: {reply}");
            self.repeats.set(self.repeats.get() + 1);
            actix_rt::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Posts a call with a streamed answer; returns its events in order, by name.
    pub async fn stream(&self, path: &str, body: &Value) -> Vec<(String, Value)> {
        let request = self.client.post(format!("{}{path}", self.sidecar));
        let sending = request
            .insert_header(("authorization", format!("Bearer {}", self.token)))
            .send_json(body);
        let mut response = sending.await.expect("the sidecar answers");
        let bytes = response.body().await.expect("a whole body");
        let text = String::from_utf8(bytes.to_vec()).expect("text");
        assert!(response.status().is_success(), "{path}: {text}");
        text.split_terminator("\n\n").map(event).collect()
    }

    /// Sends a request once and gives its answer, whatever it says.
    pub async fn send_once(
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

/// Name and data of a server-sent event.
fn event(text: &str) -> (String, Value) {
    let field = |name: &str| {
        let found = text.lines().find_map(|line| line.strip_prefix(name));
        found.unwrap_or_else(|| panic!("no {name} in {text:?}"))
    };
    let data = serde_json::from_str(field("data: ")).expect("JSON");
    (field("event: ").to_owned(), data)
}
