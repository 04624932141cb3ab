//! Where requests run that may be the cause of an end. They are kept apart, so that the next end shows
//! which of them is, and takes no other along.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_types::Timestamp;

use super::identity::RequestKey;
use crate::peer_loads::WorkerKey;

/// Time after which another node's report of a request at a worker expires, should the report of its
/// end be lost.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Returns how often a node reports that it sends a request to a worker. One that must not meet another
/// end is reported twice, since datagrams can be lost.
pub fn placement_reports(ended: usize) -> usize {
    if ended > 1 { 2 } else { 1 }
}

/// A request that may be the cause of an end, at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerKey,
    /// The try of the request.
    pub attempt: RequestKey,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    /// Number of workers that ended under it.
    ended: usize,
    /// When the report of another node expires; `None` for requests of this node.
    expires: Option<Timestamp>,
}

/// Requests that may be the cause of an end and the workers at which they run, at this and at other
/// nodes.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    placed: BTreeMap<Placement, Suspect>,
}

/// The workers that a request had better not share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedWorkers {
    /// Workers with any other suspect.
    pub any: BTreeSet<WorkerKey>,
    /// Workers with a suspect under which more than one worker ended.
    pub repeated: BTreeSet<WorkerKey>,
}

impl Suspects {
    /// Records that a request of this node is sent to a worker.
    pub fn place(&mut self, placement: Placement, ended: usize) {
        let suspect = Suspect {
            ended,
            expires: None,
        };
        self.placed.insert(placement, suspect);
    }

    /// Records another node's report of a request at a worker.
    pub fn note_told(&mut self, now: Timestamp, placement: Placement, ended: usize) {
        let suspect = Suspect {
            ended,
            expires: Some(now + REPORT_LIFETIME),
        };
        self.placed.insert(placement, suspect);
    }

    /// Records that a request no longer runs at a worker.
    pub fn release(&mut self, placement: Placement) {
        self.placed.remove(&placement);
    }

    /// Returns whether no such request is known to run.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty()
    }

    /// Forgets expired reports.
    pub fn drop_old(&mut self, now: Timestamp) {
        self.placed
            .retain(|_, suspect| suspect.expires.is_none_or(|expires| now < expires));
    }

    /// Returns the workers with other suspects than this one.
    pub fn shared_with(&self, now: Timestamp, attempt: RequestKey) -> SharedWorkers {
        let mut shared = SharedWorkers::default();
        for (placement, suspect) in &self.placed {
            let is_over = suspect.expires.is_some_and(|expires| expires <= now);
            if is_over || placement.attempt == attempt {
                continue;
            }
            shared.any.insert(placement.worker);
            if suspect.ended > 1 {
                shared.repeated.insert(placement.worker);
            }
        }
        shared
    }
}
