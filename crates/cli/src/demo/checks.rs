//! Checks of the demo's results.

use elderworks_types::{Role, RunPhase};
use eyre::eyre;
use serde::Deserialize;

use super::caller::Caller;
use super::programs::CompletedProgram;

/// Result of one check.
pub struct CheckResult {
    /// Expectation, as printed in the summary.
    pub expectation: String,
    /// Whether the expectation was met.
    pub passed: bool,
}

/// Checks and their results so far.
pub struct Checks {
    tool_url: String,
    results: Vec<CheckResult>,
}

/// List of invocations as the tool stand-in returns it.
#[derive(Deserialize)]
struct Executions {
    executions: Vec<Execution>,
}

/// One invocation of a tool.
#[derive(Deserialize)]
struct Execution {
    tool: String,
}

impl Checks {
    /// Creates an empty list of checks; `tool_url` is the base URL of the tool stand-in.
    pub fn new(tool_url: String) -> Self {
        Self {
            tool_url,
            results: Vec::new(),
        }
    }

    /// Checks the calls, phase, budget and history of a run, and that its sub-agents have ended.
    pub async fn check_run(
        &mut self,
        caller: &Caller,
        completed: &CompletedProgram,
    ) -> eyre::Result<()> {
        let state = caller.read(completed.run).await?;
        let program = completed.program;
        self.record(
            format!("{program}: every call completed"),
            state.calls.iter().all(|call| call.state == "completed"),
        );
        self.record(
            format!("{program}: the run has ended"),
            state.phase == RunPhase::Ended,
        );
        self.record(
            format!("{program}: spent within its budget, nothing left reserved"),
            state.spent <= state.budget && state.reserved.0 == 0,
        );
        let history = caller.history(completed.run).await?;
        let answers: Vec<&str> = history
            .iter()
            .filter(|message| matches!(message.role, Role::Assistant | Role::Tool))
            .map(|message| message.content.as_str())
            .collect();
        self.record(
            format!("{program}: the history holds every answer in order"),
            answers == completed.answers,
        );
        for child in &completed.children {
            let state = caller.read(*child).await?;
            self.record(
                format!("{child}: the run has ended"),
                state.phase == RunPhase::Ended,
            );
        }
        Ok(())
    }

    /// Checks that a tool ran exactly once, according to the tool stand-in.
    pub async fn check_ran_once(&mut self, tool: &str) -> eyre::Result<()> {
        let url = format!("{}/v1/invocations", self.tool_url);
        let mut response = awc::Client::default()
            .get(url)
            .send()
            .await
            .map_err(|error| eyre!("cannot list the invocations of the tool: {error}"))?;
        let body = response.body().await?;
        let executions: Executions = serde_json::from_slice(&body)?;
        let count = executions
            .executions
            .iter()
            .filter(|execution| execution.tool == tool)
            .count();
        self.record(format!("{tool}: ran exactly once"), count == 1);
        Ok(())
    }

    fn record(&mut self, expectation: String, passed: bool) {
        self.results.push(CheckResult {
            expectation,
            passed,
        });
    }

    /// Returns the results in the order of the checks.
    pub fn results(&self) -> &[CheckResult] {
        &self.results
    }

    /// Returns whether every check passed.
    pub fn all_passed(&self) -> bool {
        self.results.iter().all(|result| result.passed)
    }
}
