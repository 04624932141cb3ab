//! Requests in order of the time at which something is due.

use std::collections::BTreeSet;

use elderworks_types::Timestamp;

use crate::request::RequestKey;

/// Requests by due time. It does not keep the time of a request a second time: whoever moves a
/// request names the time under which it was entered.
#[derive(Debug, Default)]
pub struct DueQueue {
    entries: BTreeSet<(Timestamp, RequestKey)>,
}

impl DueQueue {
    /// Moves a request from one due time to another; `None` stands for not being in the queue.
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

    /// The requests due at `now`, in order of their keys. Costs nothing for those due later.
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
