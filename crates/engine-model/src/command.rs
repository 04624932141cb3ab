//! Fenced commands and the weight store that limits how fast models load.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_types::{ModelName, Timestamp};

/// What an engine does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRole {
    /// Takes requests.
    Serving,
    /// Takes none; finishes those it has.
    Draining,
}

/// A command that changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FencedAction {
    /// Load a model, an adapter or another version of one, each under its own name.
    Load {
        /// Its name.
        model: ModelName,
    },
    /// Unload it.
    Unload {
        /// Its name.
        model: ModelName,
    },
    /// Change role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// A command with a fencing token; one below the largest seen is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedCommand {
    /// Larger for a newer holder of authority.
    pub token: u64,
    /// What to do.
    pub action: FencedAction,
}

/// Why a command was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// A command with a larger token was accepted before.
    Fenced {
        /// That token.
        highest: u64,
    },
}

/// Weights leave the store at a limited rate, one load after the other.
#[derive(Clone, Debug)]
pub struct WeightStore {
    bytes_per_second: u64,
    free_at: Timestamp,
}

impl WeightStore {
    /// A store that serves `bytes_per_second` in all.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            free_at: Timestamp(0),
        }
    }

    /// Queues a read of `bytes` and returns when it will be done.
    pub fn reserve(&mut self, now: Timestamp, bytes: u64) -> Timestamp {
        let start = self.free_at.max(now);
        let seconds = bytes as f64 / self.bytes_per_second as f64;
        self.free_at = start + Duration::from_secs_f64(seconds);
        self.free_at
    }
}

/// Models, role and pending commands of one engine.
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

    /// Carries out what is due and returns the tokens of the commands.
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
