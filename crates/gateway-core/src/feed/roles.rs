//! Which nodes read the log's streams themselves.
//!
//! In each zone the first few nodes of an order that everybody works out alike are readers: large
//! machines before small ones, those listed longest before others, so that a node that comes moves
//! nobody. Readers tell the nodes of their zone at a steady pace what they have read and when; whoever
//! stands behind them takes over if they fall silent or cannot read.
//!
//! Everything that a listener learns is late by the whole chain, so each time is a share of the
//! shortest time within which news must be acted on:
//!
//! | step | share | meanwhile |
//! |---|---|---|
//! | all readers of a zone are lost | 0.2 | their last news counts |
//! | the next in the order waits | 0.2 | another one may come back |
//! | each further place in the order | 0.02 | not all step in at once |
//! | its first read | 0.2 | as long as one answer may take |
//! | its heartbeat reaches the others | 0.05 | |
//!
//! Three fifths to four fifths in all, if the next two or three in the order live. A reader whose
//! reads fail says so, and one whose reads hang says how old its news is.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

use crate::nodes::{KnownNode, NodeDirectory};

/// Readers of each zone, so that one's loss leaves another.
pub const FEWEST_READERS: usize = 2;

/// Pairs of node and worker up to which every node reads the streams itself: a worker's entry of some
/// 250 bytes each 1.2 s makes 12.5 MB a second for all of them, a fortieth of what a log of 4 Gbit/s
/// sends.
pub const MOST_PAIRS: usize = 60_000;

/// What a node knows of the fleet's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Nodes listed.
    pub nodes: usize,
    /// Their zones.
    pub zones: usize,
    /// How many workers there are; `None` while nobody has said.
    pub workers: Option<usize>,
    /// Whether the fleet [seemed small](seems_small) when this node started.
    pub seemed_small: bool,
}

impl FleetSize {
    /// How many nodes of each zone read the streams, if no more than so many pairs of node and worker
    /// may be read; [`usize::MAX`] for all.
    pub fn readers_wanted(&self, pairs: usize) -> usize {
        let Some(workers) = self.workers else {
            return match self.seemed_small {
                true => usize::MAX,
                false => FEWEST_READERS,
            };
        };
        if self.nodes.saturating_mul(workers) <= pairs {
            return usize::MAX;
        }
        (pairs / workers.max(1) / self.zones.max(1)).max(FEWEST_READERS)
    }
}

/// Nodes listed when a node starts up to which it reads the streams at once, in place of waiting for
/// a reader's heartbeat: so many may read a first page of each without harm to the log, and the readers
/// are among them.
const EARLY_NODES: u64 = 300;

/// Whether the fleet seems small to a node that has just written its entry: so many were listed before,
/// and so many were written since.
pub fn seems_small(listed: u64, written: u64) -> bool {
    listed.saturating_add(written) <= EARLY_NODES
}

/// Times of the chain from a reader to its listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedTimes {
    /// Pause between two heartbeats of a reader.
    pub heartbeat_interval: Duration,
    /// A reader that has said nothing for this long is taken for lost.
    pub lifetime: Duration,
    /// Oldest news of a reader that counts as working.
    pub oldest: Duration,
    /// How long too few readers are borne before the next one steps in.
    pub patience: Duration,
    /// The same for each further place in the order.
    pub step: Duration,
}

impl FeedTimes {
    /// Times for news that must be acted on within `deadline`.
    pub fn within(deadline: Duration) -> Self {
        let share = |share, longest_ms| {
            let longest = Duration::from_millis(longest_ms);
            deadline.mul_f64(share).min(longest)
        };
        Self {
            heartbeat_interval: share(0.05, 250),
            lifetime: share(0.2, 1_000),
            // A read that waits for news proves what held when it was sent: at rest news is up to two
            // waits of three tenths old.
            oldest: deadline.mul_f64(0.8),
            patience: share(0.2, 1_000),
            step: share(0.02, 100),
        }
    }
}

/// Places behind the readers that step in quickly; those behind them take so many steps for each
/// place, so that a log that serves nobody is not asked by everybody.
const QUICK_PLACES: u32 = 6;

/// Steps of each place behind those.
const SLOW_STEPS: u32 = 20;

/// A node that hears of no reader at all steps in after so many times the usual patience, whatever its
/// place, and half a step for each place.
const ALONE_PATIENCE: u32 = 3;

/// A node that has stepped in for lost readers keeps reading for so many times the patience after
/// enough others read again: they may be lost once more.
const STEP_DOWN_PATIENCE: u32 = 2;

/// A node that only began to read at its start keeps reading for so many steps after enough others are
/// heard: at the start of a fleet every entry of its workers is news, and hundreds would read it.
const STEP_DOWN_STEPS: u32 = 2;

/// The nodes of a zone in the order in which they should read: large machines first, those listed
/// longest first among them. Nodes that are leaving, and those that `is_gone`, are left out.
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

/// What a node does about the streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It has not found out yet.
    #[default]
    Undecided,
    /// It reads them.
    Reader,
    /// It hears of news from readers.
    Listener,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Timestamp,
    /// Age of the reader's news then.
    age: Duration,
    /// Whether its reads are answered.
    reads: bool,
}

/// Decides this node's role from the heartbeats of the others.
#[derive(Clone, Debug)]
pub struct Roles {
    times: FeedTimes,
    role: Role,
    /// Whether this node reads since others did not.
    has_stepped_in: bool,
    heard: BTreeMap<NodeId, Heard>,
    /// Since when there have been too few working readers.
    short_since: Option<Timestamp>,
    /// Since when there have been enough before this node, which reads.
    enough_since: Option<Timestamp>,
    /// Whether a reader has worked.
    has_worked: bool,
    /// Whether none works, after one has.
    is_dark: bool,
    /// When anybody was heard last, or else when this node began to listen.
    heard_any: Option<Timestamp>,
}

impl Roles {
    /// Has heard nobody yet.
    pub fn new(times: FeedTimes) -> Self {
        Self {
            times,
            role: Role::default(),
            has_stepped_in: false,
            heard: BTreeMap::new(),
            short_since: None,
            enough_since: None,
            has_worked: false,
            is_dark: false,
            heard_any: None,
        }
    }

    /// The present role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// This node reads from now on, until others are shown to do.
    pub fn read(&mut self) {
        self.role = Role::Reader;
    }

    /// Takes a reader's heartbeat: the age of its news, and whether its reads are answered.
    pub fn record_heartbeat(&mut self, now: Timestamp, node: &NodeId, age: Duration, reads: bool) {
        self.heard_any = Some(now);
        self.heard.insert(
            node.clone(),
            Heard {
                at: now,
                age,
                reads,
            },
        );
        let oldest = self.times.oldest;
        self.heard.retain(|_, heard| now.since(heard.at) < oldest);
    }

    /// Whether a reader's news can be relied on.
    pub fn is_working(&self, now: Timestamp, node: &NodeId) -> bool {
        self.heard.get(node).is_some_and(|heard| {
            let silent = now.since(heard.at);
            heard.reads && silent < self.times.lifetime && heard.age + silent < self.times.oldest
        })
    }

    /// The reader to hear of news from: the foremost one that works.
    pub fn source<'a>(&self, now: Timestamp, ranking: &'a [NodeId]) -> Option<&'a NodeId> {
        let mut working = ranking.iter().filter(|node| self.is_working(now, node));
        working.next()
    }

    /// Takes whether any reader works; tells whether one does again, after a time in which none did: the
    /// log was away.
    pub fn detect_recovery(&mut self, now: Timestamp, ranking: &[NodeId]) -> bool {
        let works = self.source(now, ranking).is_some();
        let is_back = works && self.is_dark;
        self.has_worked |= works;
        self.is_dark = !works && self.has_worked;
        is_back
    }

    /// Works out the role anew. `ranking` is the order of the zone, in which this node may be missing,
    /// and `wanted` the number of readers.
    pub fn decide(
        &mut self,
        now: Timestamp,
        ranking: &[NodeId],
        own: &NodeId,
        wanted: usize,
    ) -> Role {
        let place = ranking.iter().position(|node| node == own);
        let place = place.unwrap_or(ranking.len());
        if place < wanted {
            self.short_since = None;
            self.enough_since = None;
            self.has_stepped_in = false;
            self.role = Role::Reader;
            return self.role;
        }
        let working = |nodes: &[NodeId]| {
            let working = nodes.iter().filter(|node| self.is_working(now, node));
            working.filter(|node| *node != own).count()
        };
        let before = working(&ranking[..place.min(ranking.len())]);
        let is_short = match self.role {
            Role::Reader => before < wanted,
            Role::Undecided | Role::Listener => working(ranking) < wanted,
        };
        self.note_shortage(now, is_short);
        self.role = match self.role {
            Role::Reader if self.may_step_down(now) => Role::Listener,
            Role::Reader => Role::Reader,
            Role::Undecided | Role::Listener if self.must_step_in(now, place - wanted) => {
                self.has_stepped_in = true;
                Role::Reader
            }
            Role::Undecided if is_short => Role::Undecided,
            Role::Undecided | Role::Listener => Role::Listener,
        };
        self.role
    }

    fn note_shortage(&mut self, now: Timestamp, is_short: bool) {
        self.heard_any.get_or_insert(now);
        if is_short {
            self.enough_since = None;
            self.short_since.get_or_insert(now);
        } else {
            self.short_since = None;
            self.enough_since.get_or_insert(now);
        }
    }

    fn may_step_down(&self, now: Timestamp) -> bool {
        let lasting = match self.has_stepped_in {
            true => self.times.patience * STEP_DOWN_PATIENCE,
            false => self.times.step * STEP_DOWN_STEPS,
        };
        self.enough_since
            .is_some_and(|since| now.since(since) >= lasting)
    }

    /// Whether the node that stands so many places behind the wanted readers is to read.
    fn must_step_in(&self, now: Timestamp, places: usize) -> bool {
        let places = u32::try_from(places).unwrap_or(u32::MAX).min(4_096);
        let slow = places.saturating_sub(QUICK_PLACES);
        let steps = places.min(QUICK_PLACES) + slow * SLOW_STEPS;
        let in_turn = self.times.patience + self.times.step * steps;
        let is_turn = self
            .short_since
            .is_some_and(|since| now.since(since) >= in_turn);
        let alone = self.times.patience * ALONE_PATIENCE + self.times.step * places / 2;
        let is_alone = self
            .heard_any
            .is_some_and(|since| now.since(since) >= alone);
        is_turn || is_alone
    }
}
