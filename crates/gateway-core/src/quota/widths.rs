//! How many nodes there were within a window: those that a node no longer sees may be cut off from
//! it and go on.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_types::Timestamp;

use super::Fleet;

/// Counts of nodes, each smaller than the one before it.
#[derive(Clone, Debug, Default)]
pub(super) struct Widths {
    seen: VecDeque<(Timestamp, u32)>,
}

impl Widths {
    /// Notes how many nodes there are. While this node may be cut off, those that were there before
    /// still count.
    pub(super) fn note(&mut self, now: Timestamp, fleet: Fleet, window: Duration) -> Fleet {
        if fleet.is_cut_off {
            let nodes = self.widest().max(fleet.nodes);
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

    /// Whether no other half of the nodes can have gone on apart within the window.
    pub(super) fn has_most(&self, fleet: Fleet) -> bool {
        fleet.nodes.saturating_mul(2) > self.widest()
    }

    fn widest(&self) -> u32 {
        self.seen.front().map_or(0, |(_, nodes)| *nodes)
    }
}
