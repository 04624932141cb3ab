//! Queue of updates to piggyback on outgoing datagrams, each sent a bounded number of times.

use std::collections::BTreeMap;

use elderworks_protocol::encode;
use serde::Serialize;

/// Items of type `V` waiting to be sent, at most one per key.
#[derive(Debug)]
pub struct Dissemination<K, V> {
    entries: BTreeMap<K, Entry<V>>,
}

#[derive(Debug)]
struct Entry<V> {
    item: V,
    /// Encoded size, in bytes.
    bytes: usize,
    /// Number of times sent so far.
    sent: u32,
}

impl<K: Ord + Clone, V: Clone + Serialize> Dissemination<K, V> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
        }
    }

    /// Queues an item, replacing any earlier one with the same key.
    pub fn push(&mut self, key: K, item: V) {
        let bytes = encoded_bytes(&item);
        let entry = Entry {
            item,
            bytes,
            sent: 0,
        };
        self.entries.insert(key, entry);
    }

    /// Returns as many items as fit into `budget` bytes, those sent the fewest times first. Removes
    /// each item once it has been sent `limit` times.
    pub fn fill(&mut self, budget: usize, limit: u32) -> Vec<V> {
        let mut order: Vec<(u32, K)> = self
            .entries
            .iter()
            .map(|(key, entry)| (entry.sent, key.clone()))
            .collect();
        order.sort();
        let mut left = budget;
        let mut taken = Vec::new();
        for (_, key) in order {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if entry.bytes > left {
                continue;
            }
            left -= entry.bytes;
            entry.sent += 1;
            taken.push(entry.item.clone());
            if entry.sent >= limit {
                self.entries.remove(&key);
            }
        }
        taken
    }
}

/// Returns the size of a value within a datagram, in bytes. The count includes the version byte of a
/// separate message, which compensates for growth of the enclosing list's length prefix.
pub fn encoded_bytes<V: Serialize>(value: &V) -> usize {
    encode(value).len()
}
