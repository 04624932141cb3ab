//! The failure detector.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::gossip::{Datagram, MemberState, MemberUpdate};
use elderworks_types::{CellId, Incarnation, NodeId, Offset, Timestamp, ZoneId};

/// Intervals and sizes of the failure detector.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This node.
    pub node: NodeId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell; the empty name puts every node in one cell.
    pub cell: CellId,
    /// Where it takes gossip.
    pub gossip_address: SocketAddr,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Nodes to ask at the start.
    pub seeds: Vec<SocketAddr>,
    /// One probe goes out every so often.
    pub probe_interval: Duration,
    /// A probe unanswered for this long is sent round by others.
    pub probe_timeout: Duration,
    /// A suspect that has not refuted for this long is dead.
    pub suspicion_timeout: Duration,
    /// Seed of the probe order.
    pub seed: u64,
}

/// One member as this node believes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its latest news.
    pub update: MemberUpdate,
    /// When its state last changed here.
    pub since: Timestamp,
}

/// An input of [`Membership::handle`].
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
    /// This node is leaving in order.
    Drain,
    /// Time passed; sent every [`MembershipSettings::probe_interval`] or more often.
    Tick,
}

/// An output of [`Membership::handle`].
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

/// The failure detector of one node.
pub struct Membership {
    settings: MembershipSettings,
}

impl Membership {
    /// Knows only itself and its seeds.
    pub fn new(settings: MembershipSettings) -> Self {
        Self { settings }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        Vec::new()
    }

    /// Members in order of name, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        [].iter()
    }

    /// Nodes that may own partitions: alive or under suspicion, not draining, not dead.
    pub fn eligible_owners(&self) -> impl Iterator<Item = &NodeId> {
        std::iter::once(&self.settings.node)
    }
}
