//! The platform's model of a tool, with hangs that last until an instant.

use std::time::Duration;

use elderworks_platform_api::tool::InvocationStatus;
use elderworks_platform_model::{
    ExecutionId, ExecutionOutcome, Invocation, ToolModel, ToolSettings,
};
use elderworks_types::{Timestamp, ToolName};
use serde_json::Value;

use crate::kernel::{Instant, Random};

/// Every answer to an invocation.
const ALL_PER_MILLE: u16 = 1_000;

/// One tool.
pub struct Tool {
    /// Its name.
    pub name: ToolName,
    model: ToolModel,
    hung_until: Instant,
}

/// What became of an invocation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToolAnswer {
    /// It ran now, with this result.
    Ran(String),
    /// It ran earlier, with this result.
    Repeated(String),
    /// It was not run.
    NotRun,
}

impl Tool {
    /// An idle tool, which remembers idempotency keys if it `keeps_keys`. Its executions end at once:
    /// the time that an answer takes is drawn by the world.
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

    /// Begins a hang that lasts until `until`: what the tool is given runs, but nothing is answered.
    pub fn hang(&mut self, until: Instant) {
        self.hung_until = self.hung_until.max(until);
    }

    /// Whether the tool answers nothing.
    pub fn is_hung(&self, now: Instant) -> bool {
        self.hung_until > now
    }

    /// Takes an invocation with arguments in JSON.
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

    /// Whether the answer of the invocation that was just taken is lost.
    pub fn loses_answer(&mut self, now: Instant, random: &mut Random) -> bool {
        let share = if self.is_hung(now) { ALL_PER_MILLE } else { 0 };
        self.model.faults.lose_answers_per_mille = share;
        self.model.loses_answer(random.generator())
    }

    /// The result of an earlier invocation, if the tool knows its key.
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
