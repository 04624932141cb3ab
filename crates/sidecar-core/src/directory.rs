//! Which node owns which partition, as far as this sidecar has been told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::{PartitionId, RunId, Timestamp};
use rand::Rng;

use crate::backoff;

/// How long an asked node has to say who owns a partition before another is asked.
pub const LOCATE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Search {
    next_question: Timestamp,
    failures: u32,
}

/// Owners of partitions and searches for them.
#[derive(Debug, Default)]
pub struct Directory {
    partition_count: Option<u32>,
    owners: BTreeMap<PartitionId, SocketAddr>,
    searches: BTreeMap<PartitionId, Search>,
}

/// Where a run's requests go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To this node.
    Owner(SocketAddr),
    /// Somebody has to be asked about this partition first.
    Unknown(PartitionId),
}

impl Directory {
    /// Where requests of `run` go. Before the number of partitions is known, any partition can be
    /// asked about, since every answer tells it.
    pub fn route(&self, run: RunId) -> Route {
        let Some(partition) = self.partition(run) else {
            return Route::Unknown(PartitionId(0));
        };
        match self.owners.get(&partition) {
            Some(owner) => Route::Owner(*owner),
            None => Route::Unknown(partition),
        }
    }

    /// The run's partition, once their number is known.
    pub fn partition(&self, run: RunId) -> Option<PartitionId> {
        self.partition_count.map(|count| run.partition(count))
    }

    /// Whether the partition's owner should be asked for now; if so, the question counts as asked.
    pub fn begin_question(&mut self, now: Timestamp, partition: PartitionId) -> bool {
        let search = self.searches.entry(partition).or_default();
        if now < search.next_question {
            return false;
        }
        search.next_question = now + LOCATE_TIMEOUT;
        true
    }

    /// Takes a node's answer.
    pub fn located(
        &mut self,
        now: Timestamp,
        partition: PartitionId,
        owner: Option<SocketAddr>,
        partition_count: u32,
        random: &mut impl Rng,
    ) {
        if self.partition_count != Some(partition_count) {
            self.partition_count = Some(partition_count);
            self.owners.clear();
        }
        match owner {
            Some(owner) => self.set_owner(partition, owner),
            None => self.search_failed(now, partition, random),
        }
    }

    /// Notes a partition's owner.
    pub fn set_owner(&mut self, partition: PartitionId, owner: SocketAddr) {
        self.owners.insert(partition, owner);
        self.searches.remove(&partition);
    }

    /// Forgets an owner that turned out wrong or unreachable; the next question waits a little.
    pub fn forget_owner(&mut self, now: Timestamp, partition: PartitionId, random: &mut impl Rng) {
        self.owners.remove(&partition);
        self.search_failed(now, partition, random);
    }

    /// Forgets everything that a node owned, because it is gone or leaving.
    pub fn forget_node(&mut self, address: SocketAddr) {
        self.owners.retain(|_, owner| *owner != address);
    }

    fn search_failed(&mut self, now: Timestamp, partition: PartitionId, random: &mut impl Rng) {
        let search = self.searches.entry(partition).or_default();
        search.failures += 1;
        search.next_question = now + backoff::delay(search.failures, random);
    }
}
