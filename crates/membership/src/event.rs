//! Inputs and outputs of the failure detector.

use std::net::SocketAddr;

use elderworks_protocol::gossip::{CellState, Datagram, MemberState, MemberUpdate};
use elderworks_types::{CellId, NodeId, Offset, Timestamp};

/// One node's view of a member of its cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Latest update received about the member.
    pub update: MemberUpdate,
    /// Time at which this node last saw the member's state change.
    pub since: Timestamp,
}

/// An input of [`crate::Membership::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A datagram was received.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The received datagram.
        datagram: Datagram,
    },
    /// The platform published a machine list. It may lag behind the actual state.
    MachineList {
        /// Nodes of machines listed as live.
        live: Vec<NodeId>,
        /// Nodes of machines listed as leaving.
        leaving: Vec<NodeId>,
    },
    /// This node applied control records.
    ControlApplied {
        /// Next offset to apply.
        next: Offset,
    },
    /// The load of this node changed. It is reported to other cells in the cell's digest.
    Load {
        /// Load in percent.
        percent: u8,
    },
    /// This node is shutting down gracefully.
    Drain,
    /// Time passed. Must occur at least once per [`crate::MembershipSettings::probe_interval`].
    Tick,
}

/// An output of [`crate::Membership::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The datagram to send.
        datagram: Datagram,
    },
    /// A member was added or its state changed.
    MemberChanged {
        /// The member.
        node: NodeId,
        /// New state.
        state: MemberState,
    },
    /// Another cell was added or its state changed.
    CellChanged {
        /// The cell.
        cell: CellId,
        /// New state.
        state: CellState,
    },
    /// A peer has applied control records that this node lacks and should fetch from it.
    ControlBehind {
        /// The peer.
        peer: NodeId,
        /// Address at which the peer accepts connections.
        address: SocketAddr,
        /// The peer's next offset.
        next: Offset,
    },
}
