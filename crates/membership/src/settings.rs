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

/// Number of members asked to probe a target whose direct probe was not answered, and of seeds asked
/// per attempt to join.
pub const INDIRECT_PROBES: usize = 3;

/// Number of times that an update is sent, as a multiple of the binary logarithm of the number of
/// receivers.
pub const RETRANSMIT_FACTOR: u32 = 3;

/// Maximum number of members tracked. Further ones are counted and dropped.
pub const MAX_MEMBERS: usize = 4_096;

/// Maximum number of cells tracked. Further ones are counted and dropped.
pub const MAX_CELLS: usize = 1_024;

/// Interval between full state exchanges with a random member of the cell.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between attempts to rejoin dead members, and seeds while no other cell is known.
pub const RECONNECT_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between attempts of a cell's first relay to join a seed while other cells are known.
pub const SEED_JOIN_INTERVAL: Duration = Duration::from_secs(60);

/// Interval between attempts to join while no other member is reachable, and between joins to unknown
/// representatives of the local cell.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a dead member is removed if the platform's machine list does not report it as
/// live.
pub const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(10 * 60);

/// Time after which a dead member is removed if the platform's machine list still reports it as live.
pub const LISTED_DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(60 * 60);

/// Maximum lag of the platform's machine list. An entry listed as leaving is ignored for a member
/// whose state changed more recently, because it may refer to the previous incarnation.
pub const MAX_MACHINE_LIST_LAG: Duration = Duration::from_secs(30);

/// Maximum number of datagrams sent in answer to one join request.
pub const MAX_JOIN_DATAGRAMS: usize = 24;

/// Maximum number of join requests answered per second.
pub const MAX_JOIN_ANSWERS_PER_SECOND: u32 = 20;

/// Number of relays per cell, which probe other cells and exchange digests.
pub const RELAYS_PER_CELL: usize = 2;

/// Interval between a relay's probes of other cells.
pub const CELL_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a suspect cell that has not refuted the suspicion is declared dead.
pub const CELL_SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a relay sends a datagram of its digests to another cell.
pub const DIGEST_EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum interval between new digests of a cell.
pub const DIGEST_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a dead cell is removed.
pub const DEAD_CELL_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Number of members per cell that read the control stream from the log. The others fetch it from
/// peers.
pub const CONTROL_READERS_PER_CELL: usize = 1;

/// Time without progress after which a node that is behind its peers reads the control stream from
/// the log.
pub const CONTROL_LAG_TIMEOUT: Duration = Duration::from_secs(4);

/// Minimum time between two [`crate::Effect::ControlBehind`] for the same offset.
pub const CONTROL_FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of one node's failure detector.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Incarnation of this node, which increases with every start.
    pub incarnation: Incarnation,
    /// Zone of this node.
    pub zone: ZoneId,
    /// Cell of this node. The empty name denotes one cell for all nodes.
    pub cell: CellId,
    /// Address at which this node receives gossip datagrams.
    pub gossip_address: SocketAddr,
    /// Address at which this node accepts connections.
    pub address: SocketAddr,
    /// Gossip addresses through which this node joins.
    pub seeds: Vec<SocketAddr>,
    /// Interval between probes of members.
    pub probe_interval: Duration,
    /// Time after which an unanswered probe is repeated through other members.
    pub probe_timeout: Duration,
    /// Time after which a suspect member that has not refuted the suspicion is declared dead.
    pub suspicion_timeout: Duration,
    /// Seed of the random number generator, which determines the order of probes.
    pub seed: u64,
}
