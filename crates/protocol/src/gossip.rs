//! Datagrams of the gossip-based failure detector.

use std::net::SocketAddr;

use elderworks_types::{CellId, Incarnation, NodeId, Offset, ZoneId};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded datagram, in bytes. Fits into one Ethernet frame with common tunnel
/// headers, so datagrams aren't fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum number of representatives in a [`CellDigest`].
pub const MAX_REPRESENTATIVES: usize = 3;

/// One node's view of a member of its cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The node.
    pub node: NodeId,
    /// The node's process start. Refuting a suspicion increments `refutation`, not this.
    pub incarnation: Incarnation,
    /// Counter that the node itself increments to refute a suspicion.
    pub refutation: u32,
    /// The node's state in the sender's view.
    pub state: MemberState,
    /// The node's zone.
    pub zone: ZoneId,
    /// UDP address for gossip datagrams.
    pub gossip_address: SocketAddr,
    /// TCP address for connections from sidecars and other nodes. Gateways use the same address and
    /// port number for both.
    pub address: SocketAddr,
}

/// State of a member. Among updates of the same incarnation and refutation, the greater state in the
/// order of the variants takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The node replies to probes.
    Alive,
    /// The node replies to probes and is shutting down gracefully; it acquires no partitions.
    Draining,
    /// The node missed a probe and may still refute the suspicion.
    Suspect,
    /// The node has failed or left.
    Dead,
}

/// A node through which a cell can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Representative {
    /// The node.
    pub node: NodeId,
    /// UDP address for gossip datagrams.
    pub gossip_address: SocketAddr,
    /// TCP address for connections.
    pub address: SocketAddr,
}

/// Summary of a cell for nodes of other cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellDigest {
    /// The cell.
    pub cell: CellId,
    /// Version, incremented by a relay of the cell with each new digest and to refute a suspicion.
    pub version: u64,
    /// Reachability of the cell in the sender's view.
    pub state: CellState,
    /// The cell's relays, at most [`MAX_REPRESENTATIVES`].
    pub representatives: Vec<Representative>,
    /// Number of nodes that may own partitions.
    pub nodes: u16,
    /// The cell's load, in percent.
    pub load_percent: u8,
    /// The highest control revision applied in the cell when the digest was created, plus one.
    pub control_next: Offset,
}

/// Reachability of a cell. Among digests of the same version, the greater state in the order of the
/// variants takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CellState {
    /// A representative replies to probes.
    Alive,
    /// No representative replied to a probe; the cell may still refute the suspicion.
    Suspect,
    /// The cell has failed or is unreachable.
    Dead,
}

/// A gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: NodeId,
    /// The sender's cell; a receiver in another cell ignores `updates`.
    pub cell: CellId,
    /// The highest control revision that the sender has applied, plus one.
    pub control_next: Offset,
    /// The kind of the datagram.
    pub kind: DatagramKind,
    /// Piggybacked updates about members of the sender's cell.
    pub updates: Vec<MemberUpdate>,
    /// Piggybacked digests of cells.
    pub digests: Vec<CellDigest>,
}

/// Kind of a gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramKind {
    /// Probes the receiver.
    Ping {
        /// Number repeated in the acknowledgement.
        nonce: u64,
    },
    /// Asks the receiver to probe the target on the sender's behalf.
    PingRequest {
        /// Number repeated in the acknowledgement.
        nonce: u64,
        /// The node to probe.
        target: NodeId,
    },
    /// Confirms that the sender, or the target of a [`Self::PingRequest`], is alive.
    Acknowledge {
        /// Number from the ping or ping request.
        nonce: u64,
    },
    /// Requests the receiver's member list on joining or rejoining. The sender's own entry is in
    /// `updates` and is processed even if the sender is in another cell.
    Join,
    /// The sender's member list, in reply to a join or a full exchange; may span several datagrams.
    Members,
}
