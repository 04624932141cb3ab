//! Fenced commands, and the weight store whose bandwidth limits the loading of models.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_types::{ModelName, Timestamp};

/// Whether an engine accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRole {
    /// Accepts requests.
    Serving,
    /// Accepts no new requests and finishes the existing ones.
    Draining,
}

/// A command that changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FencedAction {
    /// Loads a model, an adapter or another version of one; each has its own name.
    Load {
        /// The model to load.
        model: ModelName,
    },
    /// Unloads a model.
    Unload {
        /// The model to unload.
        model: ModelName,
    },
    /// Changes the engine's role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// A command with a fencing token. A command whose token is below the largest accepted one is
/// refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedCommand {
    /// The fencing token; a newer lease holder has a larger one.
    pub token: u64,
    /// The action to take.
    pub action: FencedAction,
}

/// The reason why a command was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// A command with a larger token has been accepted.
    Fenced {
        /// The largest accepted token.
        highest: u64,
    },
}

/// A weight store with limited bandwidth that serves one load after the other.
#[derive(Clone, Debug)]
pub struct WeightStore {
    bytes_per_second: u64,
    free_at: Timestamp,
}

impl WeightStore {
    /// Creates a store with a total bandwidth of `bytes_per_second`.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            free_at: Timestamp(0),
        }
    }

    /// Queues a read of `bytes` and returns the time at which it will complete.
    pub fn reserve(&mut self, now: Timestamp, bytes: u64) -> Timestamp {
        let start = self.free_at.max(now);
        let seconds = bytes as f64 / self.bytes_per_second as f64;
        self.free_at = start + Duration::from_secs_f64(seconds);
        self.free_at
    }
}

/// Loaded models, role and pending commands of one engine.
#[derive(Debug)]
pub(crate) struct ControlState {
    pub(crate) models: BTreeSet<ModelName>,
    pub(crate) role: EngineRole,
    highest_token: u64,
    pending: Vec<(Timestamp, FencedCommand)>,
}

impl ControlState {
    pub(crate) fn new(models: BTreeSet<ModelName>) -> Self {
        Self {
            models,
            role: EngineRole::Serving,
            highest_token: 0,
            pending: Vec::new(),
        }
    }

    pub(crate) fn check(&self, command: &FencedCommand) -> Result<(), CommandError> {
        let highest = self.highest_token;
        if command.token < highest {
            return Err(CommandError::Fenced { highest });
        }
        Ok(())
    }

    pub(crate) fn accept(&mut self, effective_at: Timestamp, command: FencedCommand) {
        self.highest_token = command.token;
        self.pending.push((effective_at, command));
    }

    pub(crate) fn next_at(&self) -> Option<Timestamp> {
        self.pending.iter().map(|(at, _)| *at).min()
    }

    /// Applies the commands that take effect by `now` and returns their tokens.
    pub(crate) fn advance(&mut self, now: Timestamp) -> Vec<u64> {
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.pending = later;
        due.into_iter()
            .map(|(_, command)| {
                self.apply(command.action);
                command.token
            })
            .collect()
    }

    fn apply(&mut self, action: FencedAction) {
        match action {
            FencedAction::Load { model } => {
                self.models.insert(model);
            }
            FencedAction::Unload { model } => {
                self.models.remove(&model);
            }
            FencedAction::SetRole { role } => self.role = role,
        }
    }
}
