//! Datagrams of the failure detector.

use std::net::SocketAddr;

use elderworks_types::{Incarnation, NodeId, Offset, ZoneId};
use serde::{Deserialize, Serialize};

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

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: NodeId,
    /// The highest control revision that the sender has applied, plus one.
    pub control_next: Offset,
    /// What it is about.
    pub kind: DatagramKind,
    /// News, piggybacked.
    pub updates: Vec<MemberUpdate>,
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
    /// I am new (or returning): please send what you know.
    Join,
    /// What I know, in answer to a join or a full exchange; may span several datagrams.
    Members,
}
