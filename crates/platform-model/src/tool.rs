//! A tool service that records every execution.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use elderworks_platform_api::tool::InvocationStatus;
use elderworks_types::{Timestamp, ToolName};
use rand::{Rng, RngCore};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

const PER_MILLE: u16 = 1_000;

/// How a tool behaves when nothing is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolSettings {
    /// Whether a repeated key gives the first result. A tool that keeps no keys runs every request
    /// and answers every question after an invocation by "unknown".
    pub keeps_keys: bool,
    /// Time of one execution.
    pub latency: Duration,
    /// Most executions under way at once; more are rejected as not run.
    pub max_running: usize,
    /// Most ended executions remembered; the oldest are forgotten first.
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

/// Faults of a tool. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ToolFaults {
    /// Nothing is answered, and nothing is run.
    pub down: bool,
    /// Executions that start now never end.
    pub hang: bool,
    /// Executions that start now end in failure.
    pub fail: bool,
    /// New invocations are rejected as not run.
    pub busy: bool,
    /// The next so many invocations run, but are not answered.
    pub lose_next_answers: u32,
    /// Of a thousand invocations, so many (at random) run, but are not answered.
    pub lose_answers_per_mille: u16,
}

/// Names one execution, from 1 in order of start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ExecutionId(pub u64);

/// How an execution ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// With a result.
    Completed(Value),
    /// With an error.
    Failed(String),
}

/// One execution, as a checker sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Its place in order of start.
    pub id: ExecutionId,
    /// The tool asked for.
    pub tool: ToolName,
    /// The key of the request that started it.
    pub key: String,
    /// Its arguments.
    pub arguments: Value,
    /// When it started.
    pub started: Timestamp,
    /// How it ended; `None` while it runs or hangs.
    pub outcome: Option<ExecutionOutcome>,
}

/// What becomes of an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// It runs; poll for its end.
    Started(ExecutionId),
    /// An execution of the same key runs or has run; poll for its end.
    Existing(ExecutionId),
    /// It was not run.
    Rejected,
    /// It was not run, and the client gets no answer.
    Down,
}

impl Invocation {
    /// The execution that will answer, if any.
    pub fn execution(self) -> Option<ExecutionId> {
        match self {
            Invocation::Started(id) | Invocation::Existing(id) => Some(id),
            Invocation::Rejected | Invocation::Down => None,
        }
    }
}

struct Running {
    /// `None` for one that hangs.
    due: Option<Timestamp>,
    outcome: ExecutionOutcome,
}

/// One tool service; may host tools of several names.
pub struct ToolModel {
    /// Faults in force.
    pub faults: ToolFaults,
    settings: ToolSettings,
    started: u64,
    executions: BTreeMap<ExecutionId, Execution>,
    running: BTreeMap<ExecutionId, Running>,
    ended: VecDeque<ExecutionId>,
    by_key: BTreeMap<String, ExecutionId>,
}

impl ToolModel {
    /// A tool that has run nothing.
    pub fn new(settings: ToolSettings) -> Self {
        Self {
            faults: ToolFaults::default(),
            settings,
            started: 0,
            executions: BTreeMap::new(),
            running: BTreeMap::new(),
            ended: VecDeque::new(),
            by_key: BTreeMap::new(),
        }
    }

    /// Takes an invocation.
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
        if let Some(id) = self.known(key) {
            return Invocation::Existing(id);
        }
        if self.faults.busy || self.running.len() >= self.settings.max_running {
            return Invocation::Rejected;
        }
        Invocation::Started(self.start(now, tool, key, arguments))
    }

    /// Whether the answer of the invocation that was just taken is lost on its way. `rng` decides
    /// where the fault is a probability.
    pub fn loses_answer(&mut self, rng: &mut dyn RngCore) -> bool {
        if self.faults.lose_next_answers > 0 {
            self.faults.lose_next_answers -= 1;
            return true;
        }
        let per_mille = self.faults.lose_answers_per_mille;
        per_mille > 0 && rng.random_range(0..PER_MILLE) < per_mille
    }

    /// How an execution has ended by `now`; `None` while it runs or hangs, or where it is not known
    /// (any more).
    pub fn poll(&mut self, now: Timestamp, id: ExecutionId) -> Option<&ExecutionOutcome> {
        self.advance(now);
        self.executions.get(&id)?.outcome.as_ref()
    }

    /// When the next execution ends.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.running
            .values()
            .filter_map(|running| running.due)
            .min()
    }

    /// When this execution ends, if it runs and does not hang.
    pub fn due(&self, id: ExecutionId) -> Option<Timestamp> {
        self.running.get(&id)?.due
    }

    /// Answers a question after an invocation.
    pub fn status(&mut self, now: Timestamp, key: &str) -> InvocationStatus {
        self.advance(now);
        let Some(execution) = self.known(key).and_then(|id| self.executions.get(&id)) else {
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

    /// Every execution remembered, in order of start.
    pub fn executions(&self) -> impl Iterator<Item = &Execution> {
        self.executions.values()
    }

    /// Executions started in all, remembered or not.
    pub fn started_count(&self) -> u64 {
        self.started
    }

    fn known(&self, key: &str) -> Option<ExecutionId> {
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

    /// Ends what is due.
    fn advance(&mut self, now: Timestamp) {
        let due = |running: &Running| running.due.is_some_and(|due| due <= now);
        let ending: Vec<ExecutionId> = self
            .running
            .iter()
            .filter(|(_, running)| due(running))
            .map(|(id, _)| *id)
            .collect();
        for id in ending {
            self.end(id);
        }
    }

    fn end(&mut self, id: ExecutionId) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if let Some(execution) = self.executions.get_mut(&id) {
            execution.outcome = Some(running.outcome);
        }
        self.ended.push_back(id);
        if self.ended.len() > self.settings.max_remembered {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(execution) = self
            .ended
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

/// What a tool returns: a function of its name and arguments alone, so that repeated executions
/// agree.
pub fn tool_result(tool: &ToolName, arguments: &Value) -> Value {
    json!({ "tool": tool, "arguments": arguments, "accepted": true })
}
