//! The platform's model of a tool, with hangs that end at a given time.

use std::time::Duration;

use elderworks_platform_api::tool::InvocationStatus;
use elderworks_platform_model::{
    ExecutionId, ExecutionOutcome, Invocation, ToolModel, ToolSettings,
};
use elderworks_types::{Timestamp, ToolName};
use serde_json::Value;

use crate::kernel::{Instant, Random};

/// All answers, in per mille.
const ALL_PER_MILLE: u16 = 1_000;

/// Simulated tool.
pub struct Tool {
    /// Name of the tool.
    pub name: ToolName,
    model: ToolModel,
    hung_until: Instant,
}

/// Result of an invocation request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToolAnswer {
    /// The invocation was executed with this result.
    Ran(String),
    /// The invocation was executed earlier with this result.
    Repeated(String),
    /// The invocation was not executed.
    NotRun,
}

impl Tool {
    /// Creates a tool that deduplicates by idempotency key if `keeps_keys` is set. Executions complete
    /// immediately; the world adds the latency of the answer.
    pub fn new(name: ToolName, keeps_keys: bool) -> Self {
        let settings = ToolSettings {
            keeps_keys,
            latency: Duration::ZERO,
            ..ToolSettings::default()
        };
        Self {
            name,
            model: ToolModel::new(settings),
            hung_until: Instant(0),
        }
    }

    /// Starts a hang that lasts until `until`: invocations are executed but not answered.
    pub fn hang(&mut self, until: Instant) {
        self.hung_until = self.hung_until.max(until);
    }

    /// Returns whether the tool does not answer.
    pub fn is_hung(&self, now: Instant) -> bool {
        self.hung_until > now
    }

    /// Executes an invocation with arguments in JSON.
    pub fn invoke(&mut self, now: Instant, key: &str, arguments: &str) -> ToolAnswer {
        let Ok(arguments) = serde_json::from_str::<Value>(arguments) else {
            return ToolAnswer::NotRun;
        };
        let time = Timestamp(now.0);
        let invocation = self.model.invoke(time, &self.name, key, arguments);
        let result = invocation
            .execution()
            .and_then(|execution| self.result(time, execution));
        match (invocation, result) {
            (Invocation::Started(_), Some(result)) => ToolAnswer::Ran(result),
            (Invocation::Existing(_), Some(result)) => ToolAnswer::Repeated(result),
            _ => ToolAnswer::NotRun,
        }
    }

    /// Returns whether the answer to the latest invocation is lost.
    pub fn loses_answer(&mut self, now: Instant, random: &mut Random) -> bool {
        let lost_per_mille = if self.is_hung(now) { ALL_PER_MILLE } else { 0 };
        self.model.faults.lose_answers_per_mille = lost_per_mille;
        self.model.loses_answer(random.generator())
    }

    /// Returns the result of an earlier invocation with this key, or `None` if the tool does not know it.
    pub fn query(&mut self, now: Instant, key: &str) -> Option<String> {
        match self.model.status(Timestamp(now.0), key) {
            InvocationStatus::Completed { result } => Some(result.to_string()),
            _ => None,
        }
    }

    fn result(&mut self, time: Timestamp, execution: ExecutionId) -> Option<String> {
        match self.model.poll(time, execution)? {
            ExecutionOutcome::Completed(result) => Some(result.to_string()),
            ExecutionOutcome::Failed(_) => None,
        }
    }
}
