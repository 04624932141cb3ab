//! Whether a whole zone seems lost or cut off, from machines and workers there that fall silent
//! together.
//!
//! A zone is one domain of failure: when several of its sources fail within a short time and nothing
//! else is heard from there, the rest is *suspected* at once, long before each of them has failed by
//! itself. What is suspected is used last, never left out. One answer ends the suspicion, and so does
//! a short time without further failures. Afterwards work moves back gradually.
//!
//! Workers and nodes of a zone are suspected apart: the way to one kind may be cut alone.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// Sources that fail together if a zone is lost: fewer may well fail by chance.
const SOURCES_TO_SUSPECT: usize = 3;

/// A zone is not suspected within this time of an answer: at a busy zone, answers come far more often.
const QUIET: Duration = Duration::from_millis(250);

/// A failure counts for this long. Bounds a wrong suspicion.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);

/// Work moves back to a zone that was suspected over this time.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Most zones of which anything is kept.
const MOST_ZONES: usize = 256;

/// Most sources of a zone whose failures are kept: more show nothing further.
const MOST_SOURCES: usize = 64;

/// A kind of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ZonePart {
    /// Those that run requests.
    Workers,
    /// The nodes of this system.
    Nodes,
}

impl ZonePart {
    /// Every kind.
    pub const ALL: [Self; 2] = [Self::Workers, Self::Nodes];

    /// For logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Nodes => "nodes",
        }
    }
}

/// A machine or worker that has failed to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FailureSource(ZonePart, u64);

impl FailureSource {
    /// A worker, by its id.
    pub fn worker(id: &str) -> Self {
        Self(ZonePart::Workers, xxh3_64(id.as_bytes()))
    }

    /// A node.
    pub fn node(node: &NodeId) -> Self {
        Self(ZonePart::Nodes, xxh3_64(node.as_str().as_bytes()))
    }
}

/// How one kind of machines of a zone stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneStanding {
    /// Nothing speaks against it.
    Good,
    /// It seems lost, and is used last.
    Suspected,
    /// It was suspected a short while ago: this share of the work goes there, above 0 and below 1.
    Returning(f64),
}

/// A change of what is believed of a zone, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: String,
    /// Which machines there.
    pub part: ZonePart,
    /// Whether they are suspected from now on.
    pub is_suspected: bool,
    /// How many sources fail.
    pub failing: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct PartState {
    answered: Option<Timestamp>,
    /// Whether it was suspected when last looked at.
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

    /// Sources that count against a part: those that failed lately and after its last answer.
    fn failing(&self, part: ZonePart, now: Timestamp) -> usize {
        let answered = self.part(part).answered;
        let counts = |at: Timestamp| {
            now.since(at) < FAILURE_LIFETIME && answered.is_none_or(|answered| at > answered)
        };
        self.failures.values().filter(|at| counts(**at)).count()
    }

    fn is_suspected(&self, part: ZonePart, now: Timestamp) -> bool {
        let is_quiet = |answered: Timestamp| now.since(answered) >= QUIET;
        self.failures.len() >= SOURCES_TO_SUSPECT
            && self.part(part).answered.is_none_or(is_quiet)
            && self.failing(part, now) >= SOURCES_TO_SUSPECT
    }
}

/// What speaks for and against the other zones, in this node's eyes.
#[derive(Clone, Debug, Default)]
pub struct ZoneHealth {
    /// This node's zone, which is never suspected: what is left of it is nearest.
    own: String,
    zones: BTreeMap<String, ZoneState>,
}

impl ZoneHealth {
    /// Suspects no zone; `own` is this node's.
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            ..Self::default()
        }
    }

    /// Notes that a machine or worker of a zone did not answer, or is held to be gone.
    pub fn note_failure(&mut self, now: Timestamp, zone: &str, source: FailureSource) {
        let Some(state) = self.state_of(zone) else {
            return;
        };
        state
            .failures
            .retain(|_, at| now.since(*at) < FAILURE_LIFETIME);
        if state.failures.len() < MOST_SOURCES || state.failures.contains_key(&source) {
            state.failures.insert(source, now);
        }
    }

    /// Notes that something was heard from a kind of machines of a zone.
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
            if self.zones.len() >= MOST_ZONES {
                return None;
            }
            self.zones.insert(zone.to_owned(), ZoneState::default());
        }
        self.zones.get_mut(zone)
    }

    /// Whether a kind of machines of a zone is to be used last.
    pub fn is_suspected(&self, now: Timestamp, zone: &str, part: ZonePart) -> bool {
        let state = self.zones.get(zone);
        state.is_some_and(|state| state.is_suspected(part, now))
    }

    /// How a kind of machines of a zone stands.
    pub fn standing(&self, now: Timestamp, zone: &str, part: ZonePart) -> ZoneStanding {
        let Some(state) = self.zones.get(zone) else {
            return ZoneStanding::Good;
        };
        if state.is_suspected(part, now) {
            return ZoneStanding::Suspected;
        }
        let cleared = state.part(part).cleared.map(|at| now.since(at));
        match cleared.filter(|since| *since < RETURN_TIME) {
            Some(since) => ZoneStanding::Returning(since.as_secs_f64() / RETURN_TIME.as_secs_f64()),
            None => ZoneStanding::Good,
        }
    }

    /// What has changed since the last call, and forgets what is over.
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

    /// Zones of which a kind of machines is to be used last.
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
                known.cleared = known.cleared.filter(|at| now.since(*at) < RETURN_TIME);
                known.answered = known
                    .answered
                    .filter(|at| now.since(*at) < FAILURE_LIFETIME);
            }
        }
        self.zones.retain(|_, state| {
            let is_at_rest = |part: ZonePart| {
                let known = state.part(part);
                !known.was_suspected && known.cleared.is_none() && known.answered.is_none()
            };
            !state.failures.is_empty() || !ZonePart::ALL.into_iter().all(is_at_rest)
        });
    }
}
