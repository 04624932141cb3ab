//! The machine list: `GET /v1/machines`. Changes of machines show up in the list with a delay.

use elderworks_types::{EngineId, ModelName, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine is running.
    Live,
    /// The machine will be removed soon.
    Leaving,
}

/// A machine that runs `elderworks node`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeMachine {
    /// Name of the node.
    pub id: NodeId,
    /// Zone of the machine.
    pub zone: ZoneId,
    /// Address for other nodes, `IP:port`.
    pub address: String,
    /// State of the machine.
    pub state: MachineState,
}

/// A machine that runs an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineMachine {
    /// Id of the engine.
    pub id: EngineId,
    /// Zone of the machine.
    pub zone: ZoneId,
    /// Base URL, `http://IP:port`.
    pub url: String,
    /// Models that the engine can serve.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// State of the machine.
    pub state: MachineState,
}

/// The machine list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Version of the list, larger after each change.
    #[serde(default)]
    pub version: u64,
    /// Machines that run nodes.
    #[serde(default)]
    pub nodes: Vec<NodeMachine>,
    /// Machines that run engines.
    #[serde(default)]
    pub engines: Vec<EngineMachine>,
}
