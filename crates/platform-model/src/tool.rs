//! Model of a tool service that records all executions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use elderworks_platform_api::tool::InvocationStatus;
use elderworks_types::{Timestamp, ToolName};
use rand::{Rng, RngCore};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Denominator of `lose_answers_per_mille`.
const PER_MILLE: u16 = 1_000;

/// Settings of a tool without faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolSettings {
    /// Whether the tool remembers idempotency keys and returns the first result for a repeated key. If
    /// not, it runs every request and reports the status of every invocation as unknown.
    pub keeps_keys: bool,
    /// Duration of one execution.
    pub latency: Duration,
    /// Maximum number of concurrent executions; further invocations are rejected.
    pub max_running: usize,
    /// Maximum number of completed executions kept; the oldest are dropped first.
    pub max_remembered: usize,
}

impl Default for ToolSettings {
    fn default() -> Self {
        Self {
            keeps_keys: true,
            latency: Duration::from_millis(20),
            max_running: 1_024,
            max_remembered: 100_000,
        }
    }
}

/// Faults of a tool. By default there are none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ToolFaults {
    /// Requests get no answer and are not run.
    pub down: bool,
    /// New executions never complete.
    pub hang: bool,
    /// New executions fail.
    pub fail: bool,
    /// New invocations are rejected without running.
    pub busy: bool,
    /// Number of following invocations that run but get no answer.
    pub lose_next_answers: u32,
    /// Probability, per mille, that an invocation runs but gets no answer.
    pub lose_answers_per_mille: u16,
}

/// Id of an execution. Ids start at 1 and increase in order of start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ExecutionId(pub u64);

/// The outcome of an execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// The execution completed with a result.
    Completed(Value),
    /// The execution failed with an error message.
    Failed(String),
}

/// A recorded execution, for use by checkers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Id of the execution.
    pub id: ExecutionId,
    /// The invoked tool.
    pub tool: ToolName,
    /// Idempotency key of the request that started the execution.
    pub key: String,
    /// Arguments of the invocation.
    pub arguments: Value,
    /// Start time.
    pub started: Timestamp,
    /// The outcome; `None` while the execution runs or hangs.
    pub outcome: Option<ExecutionOutcome>,
}

/// The response of a tool to an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// A new execution started; poll for its outcome.
    Started(ExecutionId),
    /// An execution with the same key exists already; poll for its outcome.
    Existing(ExecutionId),
    /// The invocation was rejected without running.
    Rejected,
    /// The invocation was not run, and the client receives no answer.
    Down,
}

impl Invocation {
    /// Returns the execution whose outcome answers the invocation, if there is one.
    pub fn execution(self) -> Option<ExecutionId> {
        match self {
            Invocation::Started(id) | Invocation::Existing(id) => Some(id),
            Invocation::Rejected | Invocation::Down => None,
        }
    }
}

struct Running {
    /// Completion time; `None` if the execution hangs.
    due: Option<Timestamp>,
    outcome: ExecutionOutcome,
}

/// A tool service, which can host several tools.
pub struct ToolModel {
    /// The active faults.
    pub faults: ToolFaults,
    settings: ToolSettings,
    started: u64,
    executions: BTreeMap<ExecutionId, Execution>,
    running: BTreeMap<ExecutionId, Running>,
    completed: VecDeque<ExecutionId>,
    by_key: BTreeMap<String, ExecutionId>,
}

impl ToolModel {
    /// Creates a tool service without executions.
    pub fn new(settings: ToolSettings) -> Self {
        Self {
            faults: ToolFaults::default(),
            settings,
            started: 0,
            executions: BTreeMap::new(),
            running: BTreeMap::new(),
            completed: VecDeque::new(),
            by_key: BTreeMap::new(),
        }
    }

    /// Handles an invocation.
    pub fn invoke(
        &mut self,
        now: Timestamp,
        tool: &ToolName,
        key: &str,
        arguments: Value,
    ) -> Invocation {
        self.advance(now);
        if self.faults.down {
            return Invocation::Down;
        }
        if let Some(id) = self.find_by_key(key) {
            return Invocation::Existing(id);
        }
        if self.faults.busy || self.running.len() >= self.settings.max_running {
            return Invocation::Rejected;
        }
        Invocation::Started(self.start(now, tool, key, arguments))
    }

    /// Returns whether the answer to the current invocation is lost. `rng` decides faults that have a
    /// probability. Must be called at most once per invocation, because it counts down `lose_next_answers`.
    pub fn loses_answer(&mut self, rng: &mut dyn RngCore) -> bool {
        if self.faults.lose_next_answers > 0 {
            self.faults.lose_next_answers -= 1;
            return true;
        }
        let per_mille = self.faults.lose_answers_per_mille;
        per_mille > 0 && rng.random_range(0..PER_MILLE) < per_mille
    }

    /// Returns the outcome of an execution at `now`. Returns `None` while it runs or hangs, and for an
    /// execution that is unknown or was dropped.
    pub fn poll(&mut self, now: Timestamp, id: ExecutionId) -> Option<&ExecutionOutcome> {
        self.advance(now);
        self.executions.get(&id)?.outcome.as_ref()
    }

    /// Returns the time at which the next execution completes.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.running
            .values()
            .filter_map(|running| running.due)
            .min()
    }

    /// Returns the time at which an execution completes, if it runs and does not hang.
    pub fn due(&self, id: ExecutionId) -> Option<Timestamp> {
        self.running.get(&id)?.due
    }

    /// Returns the status of the invocation with an idempotency key.
    pub fn status(&mut self, now: Timestamp, key: &str) -> InvocationStatus {
        self.advance(now);
        let Some(execution) = self
            .find_by_key(key)
            .and_then(|id| self.executions.get(&id))
        else {
            return InvocationStatus::Unknown;
        };
        match &execution.outcome {
            None => InvocationStatus::Running,
            Some(ExecutionOutcome::Completed(result)) => InvocationStatus::Completed {
                result: result.clone(),
            },
            Some(ExecutionOutcome::Failed(message)) => InvocationStatus::Failed {
                message: message.clone(),
            },
        }
    }

    /// Returns all recorded executions in order of start.
    pub fn executions(&self) -> impl Iterator<Item = &Execution> {
        self.executions.values()
    }

    /// Returns the number of executions ever started, including dropped ones.
    pub fn started_count(&self) -> u64 {
        self.started
    }

    fn find_by_key(&self, key: &str) -> Option<ExecutionId> {
        if !self.settings.keeps_keys {
            return None;
        }
        self.by_key.get(key).copied()
    }

    fn start(
        &mut self,
        now: Timestamp,
        tool: &ToolName,
        key: &str,
        arguments: Value,
    ) -> ExecutionId {
        self.started += 1;
        let id = ExecutionId(self.started);
        let due = (!self.faults.hang).then(|| now + self.settings.latency);
        let outcome = if self.faults.fail {
            ExecutionOutcome::Failed("the tool failed".to_owned())
        } else {
            ExecutionOutcome::Completed(tool_result(tool, &arguments))
        };
        self.running.insert(id, Running { due, outcome });
        self.by_key.insert(key.to_owned(), id);
        let execution = Execution {
            id,
            tool: tool.clone(),
            key: key.to_owned(),
            arguments,
            started: now,
            outcome: None,
        };
        self.executions.insert(id, execution);
        id
    }

    /// Completes the executions that are due by `now`.
    fn advance(&mut self, now: Timestamp) {
        let due = |running: &Running| running.due.is_some_and(|due| due <= now);
        let ending: Vec<ExecutionId> = self
            .running
            .iter()
            .filter(|(_, running)| due(running))
            .map(|(id, _)| *id)
            .collect();
        for id in ending {
            self.complete(id);
        }
    }

    fn complete(&mut self, id: ExecutionId) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if let Some(execution) = self.executions.get_mut(&id) {
            execution.outcome = Some(running.outcome);
        }
        self.completed.push_back(id);
        if self.completed.len() > self.settings.max_remembered {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(execution) = self
            .completed
            .pop_front()
            .and_then(|id| self.executions.remove(&id))
        else {
            return;
        };
        if self.by_key.get(&execution.key) == Some(&execution.id) {
            self.by_key.remove(&execution.key);
        }
    }
}

/// Returns the result of a tool. It depends only on the tool's name and arguments, so that repeated
/// executions have the same result.
pub fn tool_result(tool: &ToolName, arguments: &Value) -> Value {
    json!({ "tool": tool, "arguments": arguments, "accepted": true })
}
