//! Detection of failures and network partitions of whole zones.
//!
//! A zone is a failure domain. When several of its workers or nodes fail within a short time and no
//! response comes from the zone, the rest is *suspected* before each of them has failed
//! individually. Suspected workers and nodes are used last but never excluded. One response, or a
//! short time without further failures, ends the suspicion; afterwards the load returns gradually.
//!
//! The workers and the nodes of a zone are suspected separately, since only one of them may be
//! unreachable.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// Number of failing sources for which a zone is suspected; fewer may fail independently.
const SOURCES_TO_SUSPECT: usize = 3;

/// Minimum time since the latest response before a zone is suspected. Responses of a busy zone
/// arrive much more often.
const SILENCE_BEFORE_SUSPICION: Duration = Duration::from_millis(250);

/// Time after which a failure expires; bounds the duration of a wrong suspicion.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);

/// Time over which the load returns to a zone that was suspected.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Maximum number of zones with recorded state.
const MAX_ZONES: usize = 256;

/// Maximum number of failing sources that are recorded per zone.
const MAX_SOURCES: usize = 64;

/// The workers or the nodes of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ZonePart {
    /// The workers, which run requests.
    Workers,
    /// The gateway nodes.
    Nodes,
}

impl ZonePart {
    /// All values.
    pub const ALL: [Self; 2] = [Self::Workers, Self::Nodes];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Nodes => "nodes",
        }
    }
}

/// A worker or node whose failures are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FailureSource(ZonePart, u64);

impl FailureSource {
    /// Creates the source for the worker with that id.
    pub fn worker(id: &str) -> Self {
        Self(ZonePart::Workers, xxh3_64(id.as_bytes()))
    }

    /// Creates the source for a node.
    pub fn node(node: &NodeId) -> Self {
        Self(ZonePart::Nodes, xxh3_64(node.as_str().as_bytes()))
    }
}

/// Health of the workers or nodes of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneStatus {
    /// The part isn't suspected.
    Healthy,
    /// The part is suspected to have failed and is used last.
    Suspected,
    /// The part was suspected until recently and gets this fraction of its load, from 0 to 1.
    Recovering(f64),
}

/// The start or end of a suspicion, for logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// Name of the zone.
    pub zone: String,
    /// The affected part of the zone.
    pub part: ZonePart,
    /// Whether the suspicion started; otherwise it ended.
    pub is_suspected: bool,
    /// Number of failing sources.
    pub failing: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct PartState {
    /// Time of the latest response.
    answered: Option<Timestamp>,
    /// Whether the part was suspected at the last call of [`ZoneHealth::changes`].
    was_suspected: bool,
    /// When the latest suspicion ended.
    cleared: Option<Timestamp>,
}

#[derive(Clone, Debug, Default)]
struct ZoneState {
    failures: BTreeMap<FailureSource, Timestamp>,
    workers: PartState,
    nodes: PartState,
}

impl ZoneState {
    fn part(&self, part: ZonePart) -> &PartState {
        match part {
            ZonePart::Workers => &self.workers,
            ZonePart::Nodes => &self.nodes,
        }
    }

    fn part_mut(&mut self, part: ZonePart) -> &mut PartState {
        match part {
            ZonePart::Workers => &mut self.workers,
            ZonePart::Nodes => &mut self.nodes,
        }
    }

    /// Returns the number of sources that failed recently and after the part's latest response.
    fn failing(&self, part: ZonePart, now: Timestamp) -> usize {
        let answered = self.part(part).answered;
        let counts = |at: Timestamp| {
            now.since(at) < FAILURE_LIFETIME && answered.is_none_or(|answered| at > answered)
        };
        self.failures.values().filter(|at| counts(**at)).count()
    }

    fn is_suspected(&self, part: ZonePart, now: Timestamp) -> bool {
        let is_quiet = |answered: Timestamp| now.since(answered) >= SILENCE_BEFORE_SUSPICION;
        self.failures.len() >= SOURCES_TO_SUSPECT
            && self.part(part).answered.is_none_or(is_quiet)
            && self.failing(part, now) >= SOURCES_TO_SUSPECT
    }
}

/// Health of the other zones as observed by this node.
#[derive(Clone, Debug, Default)]
pub struct ZoneHealth {
    /// This node's zone, which is never suspected.
    own: String,
    zones: BTreeMap<String, ZoneState>,
}

impl ZoneHealth {
    /// Creates the state of a node in zone `own`, without suspicions.
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            ..Self::default()
        }
    }

    /// Records that a worker or node of a zone didn't respond or is considered dead.
    pub fn note_failure(&mut self, now: Timestamp, zone: &str, source: FailureSource) {
        let Some(state) = self.state_of(zone) else {
            return;
        };
        state
            .failures
            .retain(|_, at| now.since(*at) < FAILURE_LIFETIME);
        if state.failures.len() < MAX_SOURCES || state.failures.contains_key(&source) {
            state.failures.insert(source, now);
        }
    }

    /// Records a response from a part of a zone.
    pub fn note_answer(&mut self, now: Timestamp, zone: &str, part: ZonePart) {
        let Some(state) = self.state_of(zone) else {
            return;
        };
        if state.is_suspected(part, now) {
            state.part_mut(part).cleared = Some(now);
        }
        state.part_mut(part).answered = Some(now);
    }

    fn state_of(&mut self, zone: &str) -> Option<&mut ZoneState> {
        if zone == self.own || zone.is_empty() {
            return None;
        }
        if !self.zones.contains_key(zone) {
            if self.zones.len() >= MAX_ZONES {
                return None;
            }
            self.zones.insert(zone.to_owned(), ZoneState::default());
        }
        self.zones.get_mut(zone)
    }

    /// Returns whether a part of a zone is suspected.
    pub fn is_suspected(&self, now: Timestamp, zone: &str, part: ZonePart) -> bool {
        let state = self.zones.get(zone);
        state.is_some_and(|state| state.is_suspected(part, now))
    }

    /// Returns the health of a part of a zone.
    pub fn status(&self, now: Timestamp, zone: &str, part: ZonePart) -> ZoneStatus {
        let Some(state) = self.zones.get(zone) else {
            return ZoneStatus::Healthy;
        };
        if state.is_suspected(part, now) {
            return ZoneStatus::Suspected;
        }
        let cleared = state.part(part).cleared.map(|at| now.since(at));
        match cleared.filter(|since| *since < RECOVERY_TIME) {
            Some(since) => {
                ZoneStatus::Recovering(since.as_secs_f64() / RECOVERY_TIME.as_secs_f64())
            }
            None => ZoneStatus::Healthy,
        }
    }

    /// Returns the suspicions that started or ended since the last call, and drops expired state.
    pub fn changes(&mut self, now: Timestamp) -> Vec<ZoneChange> {
        let mut changes = Vec::new();
        for (zone, state) in &mut self.zones {
            for part in ZonePart::ALL {
                let is_suspected = state.is_suspected(part, now);
                let failing = state.failing(part, now);
                let known = state.part_mut(part);
                if known.was_suspected == is_suspected {
                    continue;
                }
                known.was_suspected = is_suspected;
                match is_suspected {
                    true => known.cleared = None,
                    false => {
                        known.cleared.get_or_insert(now);
                    }
                }
                changes.push(ZoneChange {
                    zone: zone.clone(),
                    part,
                    is_suspected,
                    failing,
                });
            }
        }
        self.forget_old(now);
        changes
    }

    /// Returns the zones of which a part is suspected.
    pub fn suspected(&self, now: Timestamp, part: ZonePart) -> impl Iterator<Item = &str> {
        let zones = self.zones.iter();
        let suspected = zones.filter(move |(_, state)| state.is_suspected(part, now));
        suspected.map(|(zone, _)| zone.as_str())
    }

    fn forget_old(&mut self, now: Timestamp) {
        for state in self.zones.values_mut() {
            state
                .failures
                .retain(|_, at| now.since(*at) < FAILURE_LIFETIME);
            for part in ZonePart::ALL {
                let known = state.part_mut(part);
                known.cleared = known.cleared.filter(|at| now.since(*at) < RECOVERY_TIME);
                known.answered = known
                    .answered
                    .filter(|at| now.since(*at) < FAILURE_LIFETIME);
            }
        }
        self.zones.retain(|_, state| {
            let is_idle = |part: ZonePart| {
                let known = state.part(part);
                !known.was_suspected && known.cleared.is_none() && known.answered.is_none()
            };
            !state.failures.is_empty() || !ZonePart::ALL.into_iter().all(is_idle)
        });
    }
}
