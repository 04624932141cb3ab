//! How far this node's control state is behind that of its peers.

use std::time::Duration;

use elderworks_types::{Offset, Timestamp};

use crate::settings::CONTROL_FETCH_INTERVAL;

/// Compares the applied control revision with those that peers tell of.
#[derive(Debug, Default)]
pub struct ControlWatch {
    applied: Offset,
    highest: Offset,
    behind_since: Option<Timestamp>,
    asked: Option<(Offset, Timestamp)>,
}

impl ControlWatch {
    /// The next offset that this node will apply.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// The highest next offset told by any peer, or its own.
    pub fn highest(&self) -> Offset {
        self.highest
    }

    /// Notes that this node applied records up to `next`.
    pub fn note_applied(&mut self, now: Timestamp, next: Offset) {
        if next <= self.applied {
            return;
        }
        self.applied = next;
        self.highest = self.highest.max(next);
        // Progress restarts the patience: a long backlog is not a reason to change the source.
        self.behind_since = (self.applied < self.highest).then_some(now);
    }

    /// Notes a peer's next offset; returns whether to fetch from that peer now.
    pub fn note_peer(&mut self, now: Timestamp, next: Offset) -> bool {
        if next <= self.applied {
            return false;
        }
        self.highest = self.highest.max(next);
        self.behind_since.get_or_insert(now);
        let asked_lately = self.asked.is_some_and(|(asked_next, at)| {
            asked_next >= next && now.since(at) < CONTROL_FETCH_INTERVAL
        });
        if !asked_lately {
            self.asked = Some((next, now));
        }
        !asked_lately
    }

    /// For how long this node has known of later records without applying any.
    pub fn behind_for(&self, now: Timestamp) -> Duration {
        self.behind_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}
