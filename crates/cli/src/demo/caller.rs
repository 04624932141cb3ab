//! A caller of the sidecar's HTTP interface.

use std::time::Duration;

use awc::http::Method;
use elderworks_types::{CallNumber, Credits, Message, Role, RunId, Tokens};
use eyre::{WrapErr, eyre};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::report::Report;
use super::system::MODEL;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// Most tokens of one draft.
const MAX_OUTPUT: u64 = 160;

/// A caller with the token of its tenant.
#[derive(Clone)]
pub struct Caller {
    base_url: String,
    bearer: String,
    client: awc::Client,
    report: Report,
}

#[derive(Deserialize)]
struct Started {
    id: RunId,
}

/// A whole answer.
#[derive(Debug, Deserialize)]
pub struct Answered {
    /// The call's place in its run.
    pub number: CallNumber,
    /// Its text.
    pub content: String,
}

/// A run as its caller reads it.
#[derive(Debug, Deserialize)]
pub struct RunState {
    /// Where it stands.
    pub phase: String,
    /// Most that it may spend.
    pub budget: Credits,
    /// What it has spent, its sub-agents included.
    pub spent: Credits,
    /// What open calls may still cost.
    pub reserved: Credits,
    /// Its calls in order.
    pub calls: Vec<CallState>,
}

/// A call as its caller reads it.
#[derive(Debug, Deserialize)]
pub struct CallState {
    /// Its place in the run.
    pub number: CallNumber,
    /// Model or tool.
    pub target: String,
    /// `completed`, or what became of it.
    pub state: String,
    /// What it cost.
    pub cost: Option<Credits>,
    /// Tokens of its prompt.
    pub prompt_tokens: Option<Tokens>,
    /// Of those, tokens found in the engine's cache.
    pub cached_tokens: Option<Tokens>,
    /// Each attempt.
    pub attempts: Vec<AttemptState>,
    /// Time from its arrival to its first attempt.
    pub waited_ms: Option<u64>,
    /// Time from its arrival to its end.
    pub took_ms: Option<u64>,
}

/// An attempt as its caller reads it.
#[derive(Debug, Deserialize)]
pub struct AttemptState {
    /// Where it ran, for a model call.
    pub engine: Option<String>,
}

#[derive(Deserialize)]
struct History {
    messages: Vec<Message>,
}

impl Caller {
    /// A caller of the sidecar at `base_url`.
    pub fn new(base_url: String, token: &str, report: Report) -> Self {
        Self {
            base_url,
            bearer: format!("Bearer {token}"),
            client: awc::Client::builder().timeout(ANSWER_TIMEOUT).finish(),
            report,
        }
    }

    /// Starts a run; a sub-agent if it has a parent.
    pub async fn start_run(
        &self,
        program: &str,
        budget: u64,
        parent: Option<RunId>,
    ) -> eyre::Result<RunId> {
        let body = json!({ "program": program, "budget": budget, "parent": parent });
        let started: Started = self.send(Method::POST, "/v1/runs", Some(&body)).await?;
        self.report.run_started(started.id, program, budget);
        Ok(started.id)
    }

    /// Asks the model.
    pub async fn ask(&self, run: RunId, messages: &[(Role, &str)]) -> eyre::Result<Answered> {
        let messages: Vec<Message> = messages
            .iter()
            .map(|(role, content)| Message::new(*role, *content))
            .collect();
        let model = json!({ "name": MODEL, "messages": messages, "max_output": MAX_OUTPUT });
        self.call(run, json!({ "model": model })).await
    }

    /// Uses a tool that may be asked twice.
    pub async fn look_up(
        &self,
        run: RunId,
        tool: &str,
        arguments: Value,
    ) -> eyre::Result<Answered> {
        let tool = json!({ "name": tool, "arguments": arguments });
        self.call(run, json!({ "tool": tool, "repeatable": true }))
            .await
    }

    /// Uses a tool that must run at most once.
    pub async fn submit(
        &self,
        run: RunId,
        tool: &str,
        arguments: Value,
        idempotency_key: &str,
    ) -> eyre::Result<Answered> {
        let tool = json!({ "name": tool, "arguments": arguments });
        let body = json!({
            "tool": tool,
            "repeatable": false,
            "idempotency_key": idempotency_key,
        });
        self.call(run, body).await
    }

    async fn call(&self, run: RunId, body: Value) -> eyre::Result<Answered> {
        let path = format!("/v1/runs/{run}/calls");
        let answered: Answered = self.send(Method::POST, &path, Some(&body)).await?;
        let state = self.read(run).await?;
        let call = state
            .calls
            .iter()
            .find(|call| call.number == answered.number);
        let call = call.ok_or_else(|| eyre!("call {} is not in its run", answered.number))?;
        self.report.call(run, call);
        Ok(answered)
    }

    /// Reads a run.
    pub async fn read(&self, run: RunId) -> eyre::Result<RunState> {
        self.send(Method::GET, &format!("/v1/runs/{run}"), None::<&Value>)
            .await
    }

    /// Reads a run's history.
    pub async fn history(&self, run: RunId) -> eyre::Result<Vec<Message>> {
        let path = format!("/v1/runs/{run}/history");
        let history: History = self.send(Method::GET, &path, None::<&Value>).await?;
        Ok(history.messages)
    }

    /// Ends a run.
    pub async fn end_run(&self, run: RunId) -> eyre::Result<()> {
        let path = format!("/v1/runs/{run}");
        let _: Value = self.send(Method::DELETE, &path, None::<&Value>).await?;
        Ok(())
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> eyre::Result<T> {
        let url = format!("{}{path}", self.base_url);
        let request = self
            .client
            .request(method, url)
            .insert_header(("authorization", self.bearer.as_str()));
        let sending = match body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sending.await.map_err(|error| eyre!("{path}: {error}"))?;
        let bytes = response.body().await.wrap_err("the answer broke off")?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&bytes);
            eyre::bail!("{path}: {}: {text}", response.status());
        }
        serde_json::from_slice(&bytes).wrap_err_with(|| format!("{path}: not as documented"))
    }
}
