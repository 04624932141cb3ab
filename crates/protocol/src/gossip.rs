//! Datagrams of the failure detector.

use std::net::SocketAddr;

use elderworks_types::{CellId, Incarnation, NodeId, Offset, ZoneId};
use serde::{Deserialize, Serialize};

/// Largest encoded datagram in bytes: fits one Ethernet frame behind any usual encapsulation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Most representatives named in a [`CellDigest`].
pub const MAX_REPRESENTATIVES: usize = 3;

/// What one node says of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Which node.
    pub node: NodeId,
    /// Which start of it; refutations raise `refutation`, not this.
    pub incarnation: Incarnation,
    /// Raised by the node itself to refute a suspicion.
    pub refutation: u32,
    /// Its state as the sender believes.
    pub state: MemberState,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it takes gossip datagrams (UDP) and connections (TCP, same port number or the one
    /// given).
    pub gossip_address: SocketAddr,
    /// Where it takes connections from sidecars and peers.
    pub address: SocketAddr,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Answers probes and is leaving in order: owns nothing new.
    Draining,
    /// Missed a probe; may still refute.
    Suspect,
    /// Gone.
    Dead,
}

/// A node through which a cell can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Representative {
    /// Which node.
    pub node: NodeId,
    /// Where it takes gossip datagrams.
    pub gossip_address: SocketAddr,
    /// Where it takes connections.
    pub address: SocketAddr,
}

/// What nodes of other cells know of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellDigest {
    /// Which cell.
    pub cell: CellId,
    /// Raised by a relay of the cell with each new digest, also to refute a suspicion.
    pub version: u64,
    /// Whether the cell can be reached, as the sender believes.
    pub state: CellState,
    /// Its relays, at most [`MAX_REPRESENTATIVES`].
    pub representatives: Vec<Representative>,
    /// Nodes that may own partitions.
    pub nodes: u16,
    /// How busy it is, in percent.
    pub load_percent: u8,
    /// The highest control revision applied in the cell when the digest was made, plus one.
    pub control_next: Offset,
}

/// Whether a cell can be reached. A later state beats an earlier one of the same digest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CellState {
    /// A representative answers.
    Alive,
    /// No representative answered a probe; the cell may still refute.
    Suspect,
    /// Gone or cut off.
    Dead,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: NodeId,
    /// The sender's cell; a receiver in another cell ignores `updates`.
    pub cell: CellId,
    /// The highest control revision that the sender has applied, plus one.
    pub control_next: Offset,
    /// What it is about.
    pub kind: DatagramKind,
    /// News of members of the sender's cell, piggybacked.
    pub updates: Vec<MemberUpdate>,
    /// News of cells, piggybacked.
    pub digests: Vec<CellDigest>,
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramKind {
    /// Are you there?
    Ping {
        /// Returned in the answer.
        nonce: u64,
    },
    /// Please ask the target on my behalf.
    PingRequest {
        /// Returned in the answer.
        nonce: u64,
        /// Whom to ask.
        target: NodeId,
    },
    /// I am here, or the asked target is.
    Acknowledge {
        /// From the ping.
        nonce: u64,
    },
    /// I am new (or returning): please send what you know. My own entry is in `updates`, and is
    /// read whatever my cell.
    Join,
    /// What I know, in answer to a join or a full exchange; may span several datagrams.
    Members,
}
