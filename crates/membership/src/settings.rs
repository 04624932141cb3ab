//! Settings and limits of the failure detector.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::{CellId, Incarnation, NodeId, ZoneId};

/// Default of [`MembershipSettings::probe_interval`].
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Default of [`MembershipSettings::probe_timeout`].
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Default of [`MembershipSettings::suspicion_timeout`].
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Members asked to probe on this node's behalf when a direct probe goes unanswered.
pub const INDIRECT_PROBES: usize = 3;

/// An update is sent this often times the binary logarithm of the number of its receivers.
pub const RETRANSMIT_FACTOR: u32 = 3;

/// Most members held; further ones are counted and dropped.
pub const MAX_MEMBERS: usize = 4_096;

/// Most cells held; further ones are counted and dropped.
pub const MAX_CELLS: usize = 1_024;

/// Interval of the full exchange with a random member of the cell.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(30);

/// Interval of the attempts to reach dead members again, and seeds while no other cell is known.
pub const RECONNECT_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which one member of a cell tries a seed while other cells are known.
pub const SEED_JOIN_INTERVAL: Duration = Duration::from_secs(60);

/// Interval of the attempts to join while this node knows no living peer.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// A dead member that the platform's list does not name as live is forgotten after this long.
pub const FORGET_AFTER: Duration = Duration::from_secs(10 * 60);

/// A dead member that the platform's list still names as live is forgotten after this long.
pub const FORGET_LISTED_AFTER: Duration = Duration::from_secs(60 * 60);

/// How far the platform's machine list may lag: a younger incarnation than this is not drained on
/// the word of the list, which may still mean the one before.
pub const MACHINE_LIST_LAG: Duration = Duration::from_secs(30);

/// Datagrams sent at most in answer to one join.
pub const MAX_JOIN_DATAGRAMS: usize = 24;

/// Answers to joins per second, at most.
pub const JOIN_ANSWERS_PER_SECOND: u32 = 20;

/// Relays of a cell: they probe other cells and exchange digests.
pub const RELAYS_PER_CELL: usize = 2;

/// Interval at which a relay probes another cell.
pub const CELL_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A cell that has not refuted a suspicion for this long is dead.
pub const CELL_SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// A relay sends a page of its digests to another cell this often.
pub const DIGEST_EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// A cell's digest is renewed at most this often.
pub const DIGEST_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// A dead cell is forgotten after this long.
pub const FORGET_CELL_AFTER: Duration = Duration::from_secs(24 * 60 * 60);

/// Members of a cell that read the control stream from the log; others fetch from peers.
pub const CONTROL_READERS_PER_CELL: usize = 1;

/// A node that has known of a later control revision for this long reads the log itself.
pub const CONTROL_PATIENCE: Duration = Duration::from_secs(4);

/// Shortest time between two [`crate::Effect::ControlBehind`] for the same revision.
pub const CONTROL_FETCH_INTERVAL: Duration = Duration::from_secs(1);

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
