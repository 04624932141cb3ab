//! A queue of request keys ordered by due time.

use std::collections::BTreeSet;

use elderworks_types::Timestamp;

use crate::request::RequestKey;

/// A set of requests ordered by due time.
///
/// There is no index from requests to their times; callers pass a request's current time to
/// reschedule it.
#[derive(Debug, Default)]
pub struct DueQueue {
    entries: BTreeSet<(Timestamp, RequestKey)>,
}

impl DueQueue {
    /// Moves a request from one due time to another; `None` means that it is not in the queue.
    pub fn reschedule(&mut self, key: RequestKey, from: Option<Timestamp>, to: Option<Timestamp>) {
        if from == to {
            return;
        }
        if let Some(time) = from {
            self.entries.remove(&(time, key));
        }
        if let Some(time) = to {
            self.entries.insert((time, key));
        }
    }

    /// Returns the requests due at `now` in key order, without visiting those due later.
    pub fn due(&self, now: Timestamp) -> Vec<RequestKey> {
        let mut due: Vec<RequestKey> = self
            .entries
            .iter()
            .take_while(|(time, _)| *time <= now)
            .map(|(_, key)| *key)
            .collect();
        due.sort_unstable();
        due
    }
}
