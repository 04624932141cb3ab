//! The largest number of nodes seen within a window.
//!
//! Nodes that have disappeared may only be partitioned from this one and still admit requests.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_types::Timestamp;

use super::Fleet;

/// Sliding-window maximum of the fleet size: observations in order of time, each smaller than the
/// one before it.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentFleetSizes {
    seen: VecDeque<(Timestamp, u32)>,
}

impl RecentFleetSizes {
    /// Records the current fleet size and returns the fleet to decide with. While this node may be
    /// partitioned, nodes seen earlier still count.
    pub(super) fn note(&mut self, now: Timestamp, fleet: Fleet, window: Duration) -> Fleet {
        if fleet.is_cut_off {
            let nodes = self.max_nodes().max(fleet.nodes);
            return Fleet { nodes, ..fleet };
        }
        while self
            .seen
            .back()
            .is_some_and(|(_, nodes)| *nodes <= fleet.nodes)
        {
            self.seen.pop_back();
        }
        self.seen.push_back((now, fleet.nodes));
        while self.seen.len() > 1 && now.since(self.seen[0].0) >= window {
            self.seen.pop_front();
        }
        fleet
    }

    /// Returns whether the fleet is a strict majority of the largest one within the window, so that
    /// no other partition can be as large.
    pub(super) fn is_majority(&self, fleet: Fleet) -> bool {
        fleet.nodes.saturating_mul(2) > self.max_nodes()
    }

    fn max_nodes(&self) -> u32 {
        self.seen.front().map_or(0, |(_, nodes)| *nodes)
    }
}
