//! Messages between nodes, and the outer message types of a connection to a node. Nodes and sidecars
//! connect to the same listener.

use elderworks_types::{Credits, Offset, PartitionId, Sequence, TenantId};
use serde::{Deserialize, Serialize};

use crate::sidecar::{NodeMessage, SidecarMessage};

/// The first message on a connection. It identifies the client and determines which messages may
/// follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hello {
    /// The client is a sidecar: it sends [`SidecarMessage`]s and receives [`NodeMessage`]s.
    Sidecar {
        /// Random id that the sidecar process keeps for its lifetime.
        sidecar: u64,
    },
    /// The client is a node: both sides send [`PeerMessage`]s.
    Peer {
        /// The connecting node.
        node: elderworks_types::NodeId,
    },
}

/// A message to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToNode {
    /// Identifies the client.
    Hello(Hello),
    /// A message from a sidecar.
    Sidecar(SidecarMessage),
    /// A message from another node.
    Peer(PeerMessage),
}

/// A message from a node to its client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromNode {
    /// A message to a sidecar.
    Node(NodeMessage),
    /// A message to another node.
    Peer(PeerMessage),
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests control records from a peer, either because the log is unreachable or to reduce the
    /// number of its readers.
    ControlFetch {
        /// First requested offset.
        from: Offset,
    },
    /// Control records in offset order, in reply to [`Self::ControlFetch`].
    ControlRecords {
        /// Offsets and encoded batches.
        records: Vec<(Offset, Vec<u8>)>,
        /// The highest offset that the sender has applied, plus one.
        next: Offset,
    },
    /// Requests an allotment from the owner of a tenant's budget.
    AllotmentRequest {
        /// The tenant.
        tenant: TenantId,
        /// The requesting partition.
        partition: PartitionId,
        /// Number of the request among the partition's requests for this tenant.
        request: Sequence,
        /// The requested amount.
        amount: Credits,
    },
    /// Grants an allotment, which may be smaller than requested or zero.
    AllotmentGrant {
        /// The tenant.
        tenant: TenantId,
        /// The receiving partition.
        partition: PartitionId,
        /// Number of the request.
        request: Sequence,
        /// The granted amount.
        amount: Credits,
    },
}
