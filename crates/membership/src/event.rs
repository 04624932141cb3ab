//! Inputs and outputs of the failure detector.

use std::net::SocketAddr;

use elderworks_protocol::gossip::{CellState, Datagram, MemberState, MemberUpdate};
use elderworks_types::{CellId, NodeId, Offset, Timestamp};

/// One member as this node believes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its latest news.
    pub update: MemberUpdate,
    /// When its state last changed here.
    pub since: Timestamp,
}

/// An input of [`crate::Membership::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A datagram came in.
    Received {
        /// From this address.
        from: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// The platform's machine list, which lags.
    MachineList {
        /// Machines listed as live.
        live: Vec<NodeId>,
        /// Machines listed as leaving.
        leaving: Vec<NodeId>,
    },
    /// This node's applied control revision moved.
    ControlApplied {
        /// The next offset to be applied.
        next: Offset,
    },
    /// This node's own load changed; told to other cells in the cell's digest.
    Load {
        /// In percent.
        percent: u8,
    },
    /// This node is leaving in order.
    Drain,
    /// Time passed; sent every [`crate::MembershipSettings::probe_interval`] or more often.
    Tick,
}

/// An output of [`crate::Membership::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// To this address.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// A member came, went or changed state.
    MemberChanged {
        /// Which.
        node: NodeId,
        /// Its state now.
        state: MemberState,
    },
    /// Another cell came, went or changed state.
    CellChanged {
        /// Which.
        cell: CellId,
        /// Its state now.
        state: CellState,
    },
    /// A peer has applied control records that this node has not.
    ControlBehind {
        /// Which peer.
        peer: NodeId,
        /// Where it takes connections.
        address: SocketAddr,
        /// The peer's next offset.
        next: Offset,
    },
}
