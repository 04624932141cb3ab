//! Datagrams between gateways.

use elderworks_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::gossip::Datagram;

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// Of the failure detector.
    Gossip(Datagram),
    /// The sender's load on workers.
    Load(LoadReport),
}

/// What one node has under way at workers. It takes the place of the node's earlier reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The sender.
    pub node: NodeId,
    /// Requests under way by key of the worker; workers without any are left out.
    pub counts: Vec<(u32, u32)>,
}
