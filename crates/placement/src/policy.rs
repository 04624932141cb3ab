//! The placement policy.

use elderworks_types::{Timestamp, ZoneId};

use crate::{Effect, Event};

/// Limits and weights of placement.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// The zone of the node that decides.
    pub zone: ZoneId,
    /// Seed of its random choices.
    pub seed: u64,
}

impl PlacementSettings {
    /// Default limits and weights.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self { zone, seed }
    }
}

/// Decides for the calls of one node.
pub struct Placement {
    _settings: PlacementSettings,
}

impl Placement {
    /// Knows no engine yet.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            _settings: settings,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        Vec::new()
    }
}
