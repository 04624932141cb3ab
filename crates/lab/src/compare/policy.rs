//! The compared policies, all with the event interface of `Placement`.

use elderworks_placement::{Effect, Event, Placement, PlacementSettings};
use elderworks_types::{Timestamp, ZoneId};

use super::baseline::{
    ConsistentHashing, LeastLoaded, PrefixAffinity, RandomChoice, RoundRobin, Router,
};

/// A placement policy as run by one node.
pub trait Policy {
    /// Processes an event and returns the resulting effects.
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect>;
}

impl Policy for Placement {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        Placement::handle(self, now, event)
    }
}

/// The available policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// An engine chosen uniformly at random.
    Random,
    /// The engines in rotation.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastLoaded,
    /// The engine that caches the longest prefix of the prompt.
    PrefixAffinity,
    /// The engine that the run hashes to, unless it exceeds its load bound.
    ConsistentHashing,
    /// The placement of elderworks.
    Elderworks,
}

/// All policies, in report order.
pub const POLICIES: [PolicyKind; 6] = [
    PolicyKind::Random,
    PolicyKind::RoundRobin,
    PolicyKind::LeastLoaded,
    PolicyKind::PrefixAffinity,
    PolicyKind::ConsistentHashing,
    PolicyKind::Elderworks,
];

impl PolicyKind {
    /// Returns the name on the command line and in reports.
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

    /// Creates the instance of one node.
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
