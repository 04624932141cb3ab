//! Progress of this node on the control stream, compared with its peers.

use std::time::Duration;

use elderworks_types::{Offset, Timestamp};

use crate::settings::CONTROL_FETCH_INTERVAL;

/// Tracks the control offset applied by this node and the highest one reported by a peer.
#[derive(Debug, Default)]
pub struct ControlProgress {
    applied: Offset,
    highest: Offset,
    /// Time since which a peer has been ahead without this node applying any record.
    behind_since: Option<Timestamp>,
    /// Offset and time of the latest fetch from a peer.
    last_request: Option<(Offset, Timestamp)>,
}

impl ControlProgress {
    /// Returns the next offset that this node will apply.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Returns the highest next offset of this node and all peers.
    pub fn highest(&self) -> Offset {
        self.highest
    }

    /// Records that this node has applied all records before `next`.
    pub fn record_applied(&mut self, now: Timestamp, next: Offset) {
        if next <= self.applied {
            return;
        }
        self.applied = next;
        self.highest = self.highest.max(next);
        // Any progress restarts the timer, so that working through a long backlog does not make the
        // node switch to another source.
        self.behind_since = (self.applied < self.highest).then_some(now);
    }

    /// Records a peer's next offset and returns whether to fetch from that peer now.
    pub fn record_peer(&mut self, now: Timestamp, next: Offset) -> bool {
        if next <= self.applied {
            return false;
        }
        self.highest = self.highest.max(next);
        self.behind_since.get_or_insert(now);
        let requested_recently = self.last_request.is_some_and(|(requested_next, at)| {
            requested_next >= next && now.since(at) < CONTROL_FETCH_INTERVAL
        });
        if !requested_recently {
            self.last_request = Some((next, now));
        }
        !requested_recently
    }

    /// Returns how long this node has been behind its peers without applying any record.
    pub fn behind_for(&self, now: Timestamp) -> Duration {
        self.behind_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}
