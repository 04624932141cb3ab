//! The composition.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_execution::ExecutionSettings;
use elderworks_types::{NodeId, Timestamp, ZoneId};

use crate::{Effect, Event};

/// How often a driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What a node is given at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it takes gossip.
    pub gossip_address: SocketAddr,
    /// Where it takes connections from sidecars and peers.
    pub address: SocketAddr,
    /// Gossip addresses to ask at the start.
    pub seeds: Vec<SocketAddr>,
    /// Number of partitions; the same on every process of the system.
    pub partition_count: u32,
    /// Seed of this process's random choices.
    pub seed: u64,
    /// Limits of execution.
    pub execution: ExecutionSettings,
}

/// One node.
pub struct NodeCore {
    _settings: NodeSettings,
}

impl NodeCore {
    /// A node with empty memory.
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            _settings: settings,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        Vec::new()
    }
}
