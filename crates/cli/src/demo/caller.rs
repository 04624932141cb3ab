//! A caller that reports each of its calls.

use elderworks_sidecar::client::{AnswerEvent, CallerClient};
use elderworks_sidecar::wire::{CallBody, CompletedCall, StartRunBody, WireMessage, WireRun};
use elderworks_types::{Credits, Message, ResourceName, Role, RunId};
use eyre::eyre;
use serde_json::Value;

use super::report::Report;
use super::system::MODEL;

/// Most tokens of one draft.
const MAX_OUTPUT: u64 = 160;

/// A caller with the token of its tenant.
#[derive(Clone)]
pub struct Caller {
    client: CallerClient,
    report: Report,
}

impl Caller {
    /// A caller of the sidecar at `base_url`.
    pub fn new(base_url: &str, token: &str, report: Report) -> Self {
        Self {
            client: CallerClient::new(base_url, token),
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
        let body = StartRunBody {
            program: ResourceName::new(program),
            budget: Some(Credits(budget)),
            deadline_ms: None,
            parent,
        };
        let run = self.client.start_run(&body).await?;
        self.report.run_started(run, program, budget);
        Ok(run)
    }

    /// Asks the model; the answer is streamed, and its pieces must join to the whole.
    pub async fn ask(&self, run: RunId, messages: &[(Role, &str)]) -> eyre::Result<String> {
        let messages = messages
            .iter()
            .map(|(role, content)| WireMessage::new(*role, *content))
            .collect();
        let mut body = CallBody::ask(MODEL, messages, MAX_OUTPUT);
        body.stream = true;
        let mut pieces = 0;
        let mut streamed = String::new();
        let take = |event: AnswerEvent<'_>| match event {
            AnswerEvent::Piece(text) => {
                pieces += 1;
                streamed.push_str(text);
            }
            AnswerEvent::Restarted => streamed.clear(),
        };
        let answer = self.client.stream(run, &body, take).await?;
        if streamed != answer.content {
            return Err(eyre!(
                "the pieces of call {} are not the whole",
                answer.number
            ));
        }
        self.ended(&answer, pieces).await?;
        Ok(answer.content)
    }

    /// Uses a tool that may be asked twice.
    pub async fn look_up(&self, run: RunId, tool: &str, arguments: Value) -> eyre::Result<String> {
        self.use_tool(run, &CallBody::invoke(tool, arguments, true))
            .await
    }

    /// Uses a tool that must run at most once.
    pub async fn submit(
        &self,
        run: RunId,
        tool: &str,
        arguments: Value,
        idempotency_key: &str,
    ) -> eyre::Result<String> {
        let mut body = CallBody::invoke(tool, arguments, false);
        body.idempotency_key = Some(idempotency_key.to_owned());
        self.use_tool(run, &body).await
    }

    async fn use_tool(&self, run: RunId, body: &CallBody) -> eyre::Result<String> {
        let answer = self.client.call(run, body).await?;
        self.ended(&answer, 0).await?;
        Ok(answer.content)
    }

    async fn ended(&self, answer: &CompletedCall, pieces: u32) -> eyre::Result<()> {
        let number = answer.number;
        let state = self.client.read_run(answer.run).await?;
        let call = state.calls.iter().find(|call| call.number == number);
        let call = call.ok_or_else(|| eyre!("call {number} is not in its run"))?;
        self.report.call(answer.run, call, pieces);
        Ok(())
    }

    /// Reads a run.
    pub async fn read(&self, run: RunId) -> eyre::Result<WireRun> {
        Ok(self.client.read_run(run).await?)
    }

    /// Reads a run's history.
    pub async fn history(&self, run: RunId) -> eyre::Result<Vec<Message>> {
        Ok(self.client.history(run).await?)
    }

    /// Ends a run.
    pub async fn end_run(&self, run: RunId) -> eyre::Result<()> {
        self.client.end_run(run).await?;
        Ok(())
    }
}
