//! Messages between nodes, over the same listener as sidecars use.

use elderworks_types::{Credits, Offset, PartitionId, Sequence, TenantId};
use serde::{Deserialize, Serialize};

use crate::sidecar::{NodeMessage, SidecarMessage};

/// The first message on a connection says who is speaking; it decides what may follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hello {
    /// A sidecar; [`SidecarMessage`]s follow and [`NodeMessage`]s return.
    Sidecar {
        /// Random, fixed for the life of the sidecar process.
        sidecar: u64,
    },
    /// A peer; [`PeerMessage`]s go both ways.
    Peer {
        /// Which node.
        node: elderworks_types::NodeId,
    },
}

/// Anything that a connection to a node can carry towards it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToNode {
    /// Introduces the speaker.
    Hello(Hello),
    /// From a sidecar.
    Sidecar(SidecarMessage),
    /// From a peer.
    Peer(PeerMessage),
}

/// Anything that a node sends back on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromNode {
    /// To a sidecar.
    Node(NodeMessage),
    /// To a peer.
    Peer(PeerMessage),
}

/// Between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for control records from an offset on, when the log itself cannot be reached or to
    /// spare it readers.
    ControlFetch {
        /// First offset wanted.
        from: Offset,
    },
    /// Control records in offset order.
    ControlRecords {
        /// `(offset, encoded batch)` of each.
        records: Vec<(Offset, Vec<u8>)>,
        /// The highest offset that the sender has applied, plus one.
        next: Offset,
    },
    /// Asks the owner of a tenant's budget for an allotment.
    AllotmentRequest {
        /// Whose budget.
        tenant: TenantId,
        /// For this partition.
        partition: PartitionId,
        /// Number of the request among that partition's for this tenant.
        request: Sequence,
        /// How much is wanted.
        amount: Credits,
    },
    /// Grants an allotment, possibly smaller than asked, possibly nothing.
    AllotmentGrant {
        /// Whose budget.
        tenant: TenantId,
        /// To this partition.
        partition: PartitionId,
        /// Number of the request.
        request: Sequence,
        /// How much.
        amount: Credits,
    },
}
