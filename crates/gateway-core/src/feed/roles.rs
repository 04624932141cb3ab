//! Selection of the nodes that read the log's streams for their zone.
//!
//! All nodes of a zone compute the same ranking: large machines before small ones, then the longest
//! listed first, so that a new node does not displace a reader. The first few nodes are readers and
//! send heartbeats with the state and age of their reads. If they become silent or cannot read, the
//! next nodes in the ranking take over.
//!
//! Failover must complete within the shortest deadline for acting on an update, so all times are
//! fractions of that deadline:
//!
//! | step | fraction | purpose |
//! |---|---|---|
//! | detecting the loss of all readers | 0.2 | their last updates still count |
//! | delay of the next node in the ranking | 0.2 | a reader may recover |
//! | additional delay for each further rank | 0.02 | avoids simultaneous takeover |
//! | first read of the new reader | 0.2 | maximum duration of one response |
//! | heartbeat of the new reader | 0.05 | |
//!
//! The total is 0.6 to 0.8 of the deadline if one of the next two or three nodes is alive. A reader
//! reports failing reads, and the age of its last read reveals reads that hang.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

use crate::nodes::{KnownNode, NodeDirectory};

/// Minimum number of readers per zone, so that the loss of one leaves another.
pub const MIN_READERS: usize = 2;

/// Maximum number of nodes times workers for which every node reads the streams itself. With
/// entries of about 250 bytes every 1.2 s this is 12.5 MB/s, a fortieth of a 4 Gbit/s link of the
/// log.
pub const MAX_NODE_WORKER_PAIRS: usize = 60_000;

/// Size of the fleet as known to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of listed nodes.
    pub nodes: usize,
    /// Number of zones with listed nodes.
    pub zones: usize,
    /// Number of workers, or `None` while it is unknown.
    pub workers: Option<usize>,
    /// Whether the fleet [seemed small](seems_small) when this node started.
    pub seemed_small: bool,
}

impl FleetSize {
    /// Returns the number of readers per zone that keeps reading nodes times workers within
    /// `pairs`, or [`usize::MAX`] if every node may read.
    pub fn readers_wanted(&self, pairs: usize) -> usize {
        let Some(workers) = self.workers else {
            return match self.seemed_small {
                true => usize::MAX,
                false => MIN_READERS,
            };
        };
        if self.nodes.saturating_mul(workers) <= pairs {
            return usize::MAX;
        }
        (pairs / workers.max(1) / self.zones.max(1)).max(MIN_READERS)
    }
}

/// Maximum number of listed nodes for which a starting node reads the streams immediately instead
/// of waiting for a reader's heartbeat. The log can serve the first page of each stream to this
/// many nodes, and the eventual readers are among them.
const MAX_EARLY_READERS: u64 = 300;

/// Returns whether the fleet seems small to a node that has just written its entry, given the
/// number of entries listed before and written since.
pub fn seems_small(listed: u64, written: u64) -> bool {
    listed.saturating_add(written) <= MAX_EARLY_READERS
}

/// Intervals and timeouts of heartbeats and failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedTimes {
    /// Interval between two heartbeats of a reader.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a reader counts as lost.
    pub silence_timeout: Duration,
    /// Maximum age of the last read of a working reader.
    pub max_age: Duration,
    /// Time with too few readers after which the next node in the ranking takes over.
    pub takeover_delay: Duration,
    /// Additional time for each further rank.
    pub delay_per_rank: Duration,
}

impl FeedTimes {
    /// Returns the times for updates that must be acted on within `deadline`.
    pub fn within(deadline: Duration) -> Self {
        let fraction = |fraction, max_ms| {
            let max = Duration::from_millis(max_ms);
            deadline.mul_f64(fraction).min(max)
        };
        Self {
            heartbeat_interval: fraction(0.05, 250),
            silence_timeout: fraction(0.2, 1_000),
            // A long-polling read reflects the state at the time when it was sent. On an idle
            // stream, the state is therefore up to two waits of 0.3 of the deadline old.
            max_age: deadline.mul_f64(0.8),
            takeover_delay: fraction(0.2, 1_000),
            delay_per_rank: fraction(0.02, 100),
        }
    }
}

/// Number of ranks behind the readers that are delayed by one [`FeedTimes::delay_per_rank`] each.
/// Later ranks are delayed by [`SLOW_RANK_STEPS`] times as much, so that an outage of the log does
/// not make every node read.
const QUICK_RANKS: u32 = 6;

/// Multiple of [`FeedTimes::delay_per_rank`] for each rank after the first [`QUICK_RANKS`].
const SLOW_RANK_STEPS: u32 = 20;

/// Multiple of the takeover delay after which a node that receives no heartbeats starts to read,
/// plus half of [`FeedTimes::delay_per_rank`] per rank.
const ISOLATED_DELAY_FACTOR: u32 = 3;

/// Multiple of the takeover delay for which a node that took over continues to read after enough
/// other readers work again, since these may fail again.
const STEP_DOWN_DELAY_FACTOR: u32 = 2;

/// Multiple of [`FeedTimes::delay_per_rank`] for which a node that has read only since its start
/// continues to read once enough other readers work. Short, since hundreds of nodes would otherwise
/// read every worker's entry while a fleet starts.
const STEP_DOWN_STEPS: u32 = 2;

/// Returns the nodes of a zone in the order in which they should read: large machines first, then
/// the longest listed first. Draining nodes and those for which `is_gone` holds are excluded.
pub fn ranking(
    nodes: &NodeDirectory,
    zone: &str,
    is_gone: impl Fn(&NodeId) -> bool,
) -> Vec<NodeId> {
    let of_zone = |(node, known): &(&NodeId, &KnownNode)| {
        known.record.zone == zone && !known.record.draining && !is_gone(node)
    };
    let mut listed: Vec<(&NodeId, &KnownNode)> = nodes.iter().filter(of_zone).collect();
    let largest = listed
        .iter()
        .map(|(_, known)| known.record.millicores)
        .max();
    let is_small = |known: &KnownNode| known.record.millicores < largest.unwrap_or(0) / 2;
    listed.sort_by_key(|(_, known)| (is_small(known), known.incarnation));
    listed.into_iter().map(|(node, _)| node.clone()).collect()
}

/// Role of a node in reading the streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Not decided yet.
    #[default]
    Undecided,
    /// Reads the streams from the log.
    Reader,
    /// Receives updates from readers.
    Listener,
}

/// Last heartbeat of a reader.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    at: Timestamp,
    /// Age of the reader's last read at that time.
    age: Duration,
    /// Whether its reads succeed.
    reads: bool,
}

/// Decides this node's role from the heartbeats of other nodes.
#[derive(Clone, Debug)]
pub struct Roles {
    times: FeedTimes,
    role: Role,
    /// Whether this node has taken over from other readers.
    has_taken_over: bool,
    heartbeats: BTreeMap<NodeId, Heartbeat>,
    /// Start of the current shortage of working readers.
    short_since: Option<Timestamp>,
    /// Time since which enough readers ranked before this node have worked.
    enough_since: Option<Timestamp>,
    /// Whether any reader has worked so far.
    has_had_reader: bool,
    /// Whether no reader works although one has before.
    is_outage: bool,
    /// Time of the last heartbeat from any node, or the time of the first decision if there was
    /// none.
    last_heartbeat: Option<Timestamp>,
}

impl Roles {
    /// Creates the state of a node that has received no heartbeat.
    pub fn new(times: FeedTimes) -> Self {
        Self {
            times,
            role: Role::default(),
            has_taken_over: false,
            heartbeats: BTreeMap::new(),
            short_since: None,
            enough_since: None,
            has_had_reader: false,
            is_outage: false,
            last_heartbeat: None,
        }
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Makes this node a reader until enough others are known to work.
    pub fn read(&mut self) {
        self.role = Role::Reader;
    }

    /// Records a reader's heartbeat: the age of its last read, and whether its reads succeed.
    pub fn record_heartbeat(&mut self, now: Timestamp, node: &NodeId, age: Duration, reads: bool) {
        self.last_heartbeat = Some(now);
        self.heartbeats.insert(
            node.clone(),
            Heartbeat {
                at: now,
                age,
                reads,
            },
        );
        let max_age = self.times.max_age;
        self.heartbeats
            .retain(|_, heartbeat| now.since(heartbeat.at) < max_age);
    }

    /// Returns whether a reader's updates can be relied on.
    pub fn is_working(&self, now: Timestamp, node: &NodeId) -> bool {
        self.heartbeats.get(node).is_some_and(|heartbeat| {
            let silent = now.since(heartbeat.at);
            heartbeat.reads
                && silent < self.times.silence_timeout
                && heartbeat.age + silent < self.times.max_age
        })
    }

    /// Returns the reader to receive updates from: the first working one in the ranking.
    pub fn source<'a>(&self, now: Timestamp, ranking: &'a [NodeId]) -> Option<&'a NodeId> {
        let mut working = ranking.iter().filter(|node| self.is_working(now, node));
        working.next()
    }

    /// Updates whether any reader works. Returns whether one works again after none did, which
    /// means that an outage of the log has ended.
    pub fn detect_recovery(&mut self, now: Timestamp, ranking: &[NodeId]) -> bool {
        let works = self.source(now, ranking).is_some();
        let is_back = works && self.is_outage;
        self.has_had_reader |= works;
        self.is_outage = !works && self.has_had_reader;
        is_back
    }

    /// Updates and returns the role. `ranking` is the zone's ranking, which may not contain this
    /// node, and `wanted` is the number of readers.
    pub fn decide(
        &mut self,
        now: Timestamp,
        ranking: &[NodeId],
        own: &NodeId,
        wanted: usize,
    ) -> Role {
        let rank = ranking.iter().position(|node| node == own);
        let rank = rank.unwrap_or(ranking.len());
        if rank < wanted {
            self.short_since = None;
            self.enough_since = None;
            self.has_taken_over = false;
            self.role = Role::Reader;
            return self.role;
        }
        let working = |nodes: &[NodeId]| {
            let working = nodes.iter().filter(|node| self.is_working(now, node));
            working.filter(|node| *node != own).count()
        };
        let working_before = working(&ranking[..rank.min(ranking.len())]);
        let is_short = match self.role {
            Role::Reader => working_before < wanted,
            Role::Undecided | Role::Listener => working(ranking) < wanted,
        };
        self.note_shortage(now, is_short);
        self.role = match self.role {
            Role::Reader if self.may_step_down(now) => Role::Listener,
            Role::Reader => Role::Reader,
            Role::Undecided | Role::Listener if self.must_take_over(now, rank - wanted) => {
                self.has_taken_over = true;
                Role::Reader
            }
            Role::Undecided if is_short => Role::Undecided,
            Role::Undecided | Role::Listener => Role::Listener,
        };
        self.role
    }

    /// Records whether there are too few readers.
    fn note_shortage(&mut self, now: Timestamp, is_short: bool) {
        self.last_heartbeat.get_or_insert(now);
        if is_short {
            self.enough_since = None;
            self.short_since.get_or_insert(now);
        } else {
            self.short_since = None;
            self.enough_since.get_or_insert(now);
        }
    }

    /// Returns whether other readers have worked long enough for this node to stop reading.
    fn may_step_down(&self, now: Timestamp) -> bool {
        let required = match self.has_taken_over {
            true => self.times.takeover_delay * STEP_DOWN_DELAY_FACTOR,
            false => self.times.delay_per_rank * STEP_DOWN_STEPS,
        };
        self.enough_since
            .is_some_and(|since| now.since(since) >= required)
    }

    /// Returns whether this node, `ranks` ranks behind the wanted readers, must start to read.
    fn must_take_over(&self, now: Timestamp, ranks: usize) -> bool {
        let ranks = u32::try_from(ranks).unwrap_or(u32::MAX).min(4_096);
        let slow_ranks = ranks.saturating_sub(QUICK_RANKS);
        let steps = ranks.min(QUICK_RANKS) + slow_ranks * SLOW_RANK_STEPS;
        let own_delay = self.times.takeover_delay + self.times.delay_per_rank * steps;
        let is_due = self
            .short_since
            .is_some_and(|since| now.since(since) >= own_delay);
        let isolated_delay = self.times.takeover_delay * ISOLATED_DELAY_FACTOR
            + self.times.delay_per_rank * ranks / 2;
        let is_isolated = self
            .last_heartbeat
            .is_some_and(|since| now.since(since) >= isolated_delay);
        is_due || is_isolated
    }
}
