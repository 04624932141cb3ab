//! Cache of the nodes that own partitions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::{PartitionId, RunId, Timestamp};
use rand::Rng;

use crate::backoff;

/// Time that a node has to report a partition's owner before another node is asked.
pub const LOCATE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Lookup {
    next_lookup: Timestamp,
    failures: u32,
}

/// Known owners of partitions, and the lookups of unknown ones.
#[derive(Debug, Default)]
pub struct Directory {
    partition_count: Option<u32>,
    owners: BTreeMap<PartitionId, SocketAddr>,
    lookups: BTreeMap<PartitionId, Lookup>,
}

/// The destination of a run's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The node that owns the run's partition.
    Owner(SocketAddr),
    /// No owner is known; it has to be looked up for this partition first.
    Unknown(PartitionId),
}

impl Directory {
    /// Returns the destination of requests for `run`. Until the number of partitions is known, this
    /// is a lookup of partition 0, since every answer to a lookup reports the number.
    pub fn route(&self, run: RunId) -> Route {
        let Some(partition) = self.partition(run) else {
            return Route::Unknown(PartitionId(0));
        };
        match self.owners.get(&partition) {
            Some(owner) => Route::Owner(*owner),
            None => Route::Unknown(partition),
        }
    }

    /// Returns the run's partition, or `None` until the number of partitions is known.
    pub fn partition(&self, run: RunId) -> Option<PartitionId> {
        self.partition_count.map(|count| run.partition(count))
    }

    /// Returns whether a lookup of the partition's owner may be sent now, and if so records it.
    pub fn try_start_lookup(&mut self, now: Timestamp, partition: PartitionId) -> bool {
        let lookup = self.lookups.entry(partition).or_default();
        if now < lookup.next_lookup {
            return false;
        }
        lookup.next_lookup = now + LOCATE_TIMEOUT;
        true
    }

    /// Handles a node's answer to a lookup.
    pub fn handle_located(
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
            None => self.lookup_failed(now, partition, random),
        }
    }

    /// Records a partition's owner and ends its lookup.
    pub fn set_owner(&mut self, partition: PartitionId, owner: SocketAddr) {
        self.owners.insert(partition, owner);
        self.lookups.remove(&partition);
    }

    /// Removes an owner that proved wrong or unreachable; the next lookup is delayed by a backoff.
    pub fn forget_owner(&mut self, now: Timestamp, partition: PartitionId, random: &mut impl Rng) {
        self.owners.remove(&partition);
        self.lookup_failed(now, partition, random);
    }

    /// Removes all partitions of a node that is draining or disconnected.
    pub fn forget_node(&mut self, address: SocketAddr) {
        self.owners.retain(|_, owner| *owner != address);
    }

    fn lookup_failed(&mut self, now: Timestamp, partition: PartitionId, random: &mut impl Rng) {
        let lookup = self.lookups.entry(partition).or_default();
        lookup.failures += 1;
        lookup.next_lookup = now + backoff::delay(lookup.failures, random);
    }
}
