//! The policies under comparison, behind the surface of the product's placement.

use elderworks_placement::{Effect, Event, Placement, PlacementSettings};
use elderworks_types::{Timestamp, ZoneId};

use super::baseline::{
    ConsistentHashing, LeastLoaded, PrefixAffinity, RandomChoice, RoundRobin, Router,
};

/// Decides for the calls of one node.
pub trait Policy {
    /// Takes one event and returns what is to be done.
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect>;
}

impl Policy for Placement {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        Placement::handle(self, now, event)
    }
}

/// Which policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// Any engine, with equal chances.
    Random,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastLoaded,
    /// The engine that holds the longest part of the prompt.
    PrefixAffinity,
    /// The engine that the run hashes to, unless it has more than its share.
    ConsistentHashing,
    /// This project's placement.
    Elderworks,
}

/// In the order of the report.
pub const POLICIES: [PolicyKind; 6] = [
    PolicyKind::Random,
    PolicyKind::RoundRobin,
    PolicyKind::LeastLoaded,
    PolicyKind::PrefixAffinity,
    PolicyKind::ConsistentHashing,
    PolicyKind::Elderworks,
];

impl PolicyKind {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round_robin",
            PolicyKind::LeastLoaded => "least_loaded",
            PolicyKind::PrefixAffinity => "prefix_affinity",
            PolicyKind::ConsistentHashing => "consistent_hashing",
            PolicyKind::Elderworks => "elderworks",
        }
    }

    /// One node's instance.
    pub fn build(self, zone: ZoneId, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyKind::Random => Box::new(Router::new(RandomChoice::new(seed))),
            PolicyKind::RoundRobin => Box::new(Router::new(RoundRobin::new(seed))),
            PolicyKind::LeastLoaded => Box::new(Router::new(LeastLoaded)),
            PolicyKind::PrefixAffinity => Box::new(Router::new(PrefixAffinity::default())),
            PolicyKind::ConsistentHashing => Box::new(Router::new(ConsistentHashing)),
            PolicyKind::Elderworks => Box::new(Placement::new(PlacementSettings::new(zone, seed))),
        }
    }
}
