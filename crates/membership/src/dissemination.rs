//! News waiting to be piggybacked, each sent a bounded number of times.

use std::collections::BTreeMap;

use elderworks_protocol::encode;
use serde::Serialize;

/// News of type `V`, at most one item per key; a newer item replaces an older one.
#[derive(Debug)]
pub struct Dissemination<K, V> {
    entries: BTreeMap<K, Entry<V>>,
}

#[derive(Debug)]
struct Entry<V> {
    news: V,
    bytes: usize,
    sent: u32,
}

impl<K: Ord + Clone, V: Clone + Serialize> Dissemination<K, V> {
    /// Nothing to tell.
    pub fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
        }
    }

    /// Queues an item, in place of an earlier one under the same key.
    pub fn push(&mut self, key: K, news: V) {
        let bytes = encoded_bytes(&news);
        let entry = Entry {
            news,
            bytes,
            sent: 0,
        };
        self.entries.insert(key, entry);
    }

    /// Takes the items sent least so far, as many as fit `budget` bytes; an item that has now been
    /// sent `limit` times is dropped.
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
            taken.push(entry.news.clone());
            if entry.sent >= limit {
                self.entries.remove(&key);
            }
        }
        taken
    }
}

/// Size of a value within a datagram, in bytes; the version byte counted with it makes up for the
/// growth of the length prefix of the list that holds it.
pub fn encoded_bytes<V: Serialize>(value: &V) -> usize {
    encode(value).len()
}
