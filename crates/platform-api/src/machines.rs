//! The list of machines: `GET /v1/machines`. It lags behind the truth.

use elderworks_types::{EngineId, ModelName, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It is up.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// A machine that runs `elderworks node`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeMachine {
    /// The node's name.
    pub id: NodeId,
    /// Where it stands.
    pub zone: ZoneId,
    /// `IP:port` for other nodes.
    pub address: String,
    /// Whether it stays.
    pub state: MachineState,
}

/// A machine that runs an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineMachine {
    /// The engine's name.
    pub id: EngineId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Base URL, `http://IP:port`.
    pub url: String,
    /// Models that it can serve.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Whether it stays.
    pub state: MachineState,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Grows with every change.
    #[serde(default)]
    pub version: u64,
    /// Machines for nodes.
    #[serde(default)]
    pub nodes: Vec<NodeMachine>,
    /// Machines for engines.
    #[serde(default)]
    pub engines: Vec<EngineMachine>,
}
