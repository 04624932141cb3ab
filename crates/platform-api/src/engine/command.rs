//! Fenced commands and an engine's state.

use elderworks_types::{EngineId, ModelName, Timestamp};
use serde::{Deserialize, Serialize};

/// What an engine does with requests, as the operators of the platform order it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Takes requests.
    #[default]
    Serving,
    /// Takes none; finishes those it has.
    Draining,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Load a model, or another version of it.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version; the store's newest if none is named.
        #[serde(default)]
        version: Option<String>,
    },
    /// Unload a model.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Load an adapter for a loaded model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Change role.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

/// Body of `POST /v1/commands`. Refused by 409 where an earlier command had a higher fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedCommand {
    /// Fencing token: the authority of the sender grows with it.
    pub fence: u64,
    /// The order.
    pub command: Command,
}

/// Answer to an accepted command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResponse {
    /// The highest fence seen.
    pub fence: u64,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingState {
    /// It does.
    #[default]
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// Answer to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's own name.
    pub engine: EngineId,
    /// Whether it takes new work: not where it is being taken away or was ordered to drain.
    pub state: ServingState,
    /// The role that it was ordered into.
    pub role: EngineRole,
    /// Models loaded.
    pub models: Vec<ModelName>,
    /// The highest fence seen.
    pub fence: u64,
    /// The engine's clock.
    pub now: Timestamp,
}
