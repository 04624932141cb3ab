//! Whether everything was as expected.

use elderworks_types::{Role, RunPhase};
use eyre::eyre;
use serde::Deserialize;

use super::caller::Caller;
use super::programs::Played;

/// One checked expectation.
pub struct CheckResult {
    /// What was expected.
    pub expectation: String,
    /// Whether it held.
    pub held: bool,
}

/// Expectations checked so far.
pub struct Checks {
    tool_url: String,
    results: Vec<CheckResult>,
}

#[derive(Deserialize)]
struct Executions {
    executions: Vec<Execution>,
}

#[derive(Deserialize)]
struct Execution {
    tool: String,
}

impl Checks {
    /// Nothing checked yet.
    pub fn new(tool_url: String) -> Self {
        Self {
            tool_url,
            results: Vec::new(),
        }
    }

    /// Checks a run's end, history and budget.
    pub async fn run(&mut self, caller: &Caller, played: &Played) -> eyre::Result<()> {
        let state = caller.read(played.run).await?;
        let program = played.program;
        self.expect(
            format!("{program}: every call completed"),
            state.calls.iter().all(|call| call.state == "completed"),
        );
        self.expect(
            format!("{program}: the run has ended"),
            state.phase == RunPhase::Ended,
        );
        self.expect(
            format!("{program}: spent within its budget, nothing left reserved"),
            state.spent <= state.budget && state.reserved.0 == 0,
        );
        let history = caller.history(played.run).await?;
        let answers: Vec<&str> = history
            .iter()
            .filter(|message| matches!(message.role, Role::Assistant | Role::Tool))
            .map(|message| message.content.as_str())
            .collect();
        self.expect(
            format!("{program}: the history holds every answer in order"),
            answers == played.answers,
        );
        for child in &played.children {
            let state = caller.read(*child).await?;
            self.expect(
                format!("{child}: the run has ended"),
                state.phase == RunPhase::Ended,
            );
        }
        Ok(())
    }

    /// Checks with the tool itself that a submission ran exactly once.
    pub async fn ran_once(&mut self, tool: &str) -> eyre::Result<()> {
        let url = format!("{}/v1/invocations", self.tool_url);
        let mut response = awc::Client::default()
            .get(url)
            .send()
            .await
            .map_err(|error| eyre!("the tool does not answer: {error}"))?;
        let body = response.body().await?;
        let executions: Executions = serde_json::from_slice(&body)?;
        let count = executions
            .executions
            .iter()
            .filter(|execution| execution.tool == tool)
            .count();
        self.expect(format!("{tool}: ran exactly once"), count == 1);
        Ok(())
    }

    fn expect(&mut self, expectation: String, held: bool) {
        self.results.push(CheckResult { expectation, held });
    }

    /// Every expectation in order.
    pub fn results(&self) -> &[CheckResult] {
        &self.results
    }

    /// Whether all held.
    pub fn all_passed(&self) -> bool {
        self.results.iter().all(|result| result.held)
    }
}
