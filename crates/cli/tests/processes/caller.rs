//! Caller that repeats a request if the error says that it did not run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use awc::http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::fleet::{POLL_INTERVAL, WAIT_TIMEOUT};

/// Error codes after which the same request may be sent again with the same call number.
const REPEATABLE_CODES: [&str; 2] = ["no_answer_from_node", "attempts_exhausted"];

/// Error codes after which it is unknown whether a call ran. The system does not run it again.
const UNKNOWN_OUTCOME_CODES: [&str; 3] = ["owner_lost", "connection_lost", "no_answer"];

/// Caller that sends its requests to one sidecar.
#[derive(Clone)]
pub struct Caller {
    sidecar: String,
    token: &'static str,
    client: awc::Client,
    repeats: Rc<Cell<usize>>,
}

impl Caller {
    /// Creates a caller with the token of its tenant.
    pub fn new(sidecar: String, token: &'static str) -> Self {
        Self {
            sidecar,
            token,
            client: awc::Client::builder().timeout(WAIT_TIMEOUT).finish(),
            repeats: Rc::default(),
        }
    }

    /// Returns how often a request was sent again.
    pub fn repeats(&self) -> usize {
        self.repeats.get()
    }

    /// Starts a run and returns its id. `budget` is in credits; `null` selects the program's
    /// budget.
    pub async fn start_run(&self, program: &str, budget: Value) -> String {
        let body = json!({ "program": program, "budget": budget });
        let reply = self.send(Method::POST, "/v1/runs", Some(body)).await;
        reply["id"].as_str().expect("an id").to_owned()
    }

    /// Calls the model; returns its answer.
    pub async fn ask(&self, run: &str, number: u32, question: &str) -> String {
        let message = json!({ "role": "user", "content": question });
        let model = json!({ "name": "drafting-8b", "messages": [message], "max_output": 64 });
        let body = json!({ "number": number, "model": model });
        self.call(run, body).await
    }

    /// Calls the model without repeating the request; any error fails the test.
    pub async fn ask_without_repeating(&self, run: &str, number: u32, question: &str) -> String {
        let message = json!({ "role": "user", "content": question });
        let model = json!({ "name": "drafting-8b", "messages": [message], "max_output": 160 });
        let body = json!({ "number": number, "model": model });
        let path = format!("/v1/runs/{run}/calls");
        let (status, reply) = self.send_once(Method::POST, &path, Some(&body)).await;
        assert!(status.is_success(), "{status}: {reply}");
        reply["content"].as_str().expect("an answer").to_owned()
    }

    /// Calls a tool that may run more than once; returns its result.
    pub async fn look_up(&self, run: &str, number: u32, tool: &str, marker: &str) -> String {
        let tool = json!({ "name": tool, "arguments": { "marker": marker } });
        let body = json!({ "number": number, "tool": tool, "repeatable": true });
        self.call(run, body).await
    }

    /// Calls a tool that must run at most once; returns its result, or the error code if it is
    /// unknown whether it ran.
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

    /// Returns a run's history as pairs of role and content.
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

    /// Returns the budget of a run, in credits.
    pub async fn budget(&self, run: &str) -> u64 {
        let path = format!("/v1/runs/{run}");
        let reply = self.send(Method::GET, &path, None).await;
        reply["budget"].as_u64().expect("a budget")
    }

    /// Ends a run; returns its new phase.
    pub async fn end_run(&self, run: &str) -> String {
        let path = format!("/v1/runs/{run}");
        let reply = self.send(Method::DELETE, &path, None).await;
        reply["phase"].as_str().expect("a phase").to_owned()
    }

    /// Sends a request until it succeeds; any other outcome fails the test.
    pub async fn send(&self, method: Method, path: &str, body: Option<Value>) -> Value {
        let reply = self.try_send(method, path, body).await;
        reply.unwrap_or_else(|code| panic!("{path}: {code}"))
    }

    /// Sends a request until it succeeds, or returns the error code if its outcome is unknown.
    /// Repeats it only if the error says that it did not run or its code is in
    /// [`REPEATABLE_CODES`].
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
            if UNKNOWN_OUTCOME_CODES.contains(&code) {
                return Err(code.to_owned());
            }
            let may_repeat = error["run"] == "no" || REPEATABLE_CODES.contains(&code);
            assert!(
                may_repeat && started.elapsed() < WAIT_TIMEOUT,
                "{method} {path}: {status}: {reply}"
            );
            println!("repeated: {method} {path}: {reply}");
            self.repeats.set(self.repeats.get() + 1);
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a call with a streamed answer; returns the name and data of its events in order.
    pub async fn stream(&self, path: &str, body: &Value) -> Vec<(String, Value)> {
        let request = self.client.post(format!("{}{path}", self.sidecar));
        let sending = request
            .insert_header(("authorization", format!("Bearer {}", self.token)))
            .send_json(body);
        let mut response = sending.await.expect("the sidecar answers");
        let bytes = response.body().await.expect("the body is complete");
        let text = String::from_utf8(bytes.to_vec()).expect("text");
        assert!(response.status().is_success(), "{path}: {text}");
        text.split_terminator("\n\n").map(event).collect()
    }

    /// Sends a request once and returns the status and body of the response.
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
        let bytes = response.body().await.expect("the body is complete");
        let reply = serde_json::from_slice(&bytes).expect("JSON");
        (response.status(), reply)
    }
}

/// Parses a server-sent event into its name and data.
fn event(text: &str) -> (String, Value) {
    let field = |name: &str| {
        let found = text.lines().find_map(|line| line.strip_prefix(name));
        found.unwrap_or_else(|| panic!("no {name} in {text:?}"))
    };
    let data = serde_json::from_str(field("data: ")).expect("JSON");
    (field("event: ").to_owned(), data)
}
