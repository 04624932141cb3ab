//! Fenced commands to an engine, and its state.

use elderworks_types::{EngineId, ModelName, Timestamp};
use serde::{Deserialize, Serialize};

/// Role of an engine, as assigned by the platform's operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// The engine accepts requests.
    #[default]
    Serving,
    /// The engine accepts no new requests and completes the current ones.
    Draining,
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Loads a model, or replaces it with another version.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version; by default the latest one in the weight store.
        #[serde(default)]
        version: Option<String>,
    },
    /// Unloads a model.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Loads an adapter for a loaded model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Changes the engine's role.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

/// Body of `POST /v1/commands`. Rejected with status 409 if an earlier command had a higher fencing
/// token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedCommand {
    /// Fencing token. Commands of senders with a higher token take precedence.
    pub fence: u64,
    /// The command.
    pub command: Command,
}

/// Response to an accepted command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResponse {
    /// The highest fencing token received.
    pub fence: u64,
}

/// Whether an engine accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingState {
    /// The engine accepts new requests.
    #[default]
    Serving,
    /// The engine only completes its current requests.
    Leaving,
}

/// Response to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Id of the engine.
    pub engine: EngineId,
    /// Whether the engine accepts new requests. It doesn't if its machine is being removed or its role is
    /// [`EngineRole::Draining`].
    pub state: ServingState,
    /// The assigned role.
    pub role: EngineRole,
    /// Loaded models.
    pub models: Vec<ModelName>,
    /// The highest fencing token received.
    pub fence: u64,
    /// Current time by the engine's clock.
    pub now: Timestamp,
}
