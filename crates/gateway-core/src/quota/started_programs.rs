//! Remembers programs of which a request was recently forwarded to a worker.

use std::collections::HashSet;
use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum time for which a program is remembered after its last request.
const MIN_RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of programs per generation. When it is exceeded, the older generation is dropped
/// early.
const MAX_PER_GENERATION: usize = 20_000;

/// Programs that this node has recently seen start, kept as hashes in two generations.
#[derive(Clone, Debug, Default)]
pub struct StartedPrograms {
    /// Start of the newer generation.
    since: Timestamp,
    newer: HashSet<u64>,
    older: HashSet<u64>,
}

impl StartedPrograms {
    /// Records that a request of a program is forwarded.
    pub fn note(&mut self, now: Timestamp, program: &str) {
        let has_expired = now.since(self.since) >= MIN_RETENTION;
        if has_expired || self.newer.len() >= MAX_PER_GENERATION {
            self.older = std::mem::take(&mut self.newer);
            self.since = now;
        }
        self.newer.insert(hash_of(program));
    }

    /// Returns whether a request of a program was recently forwarded.
    pub fn contains(&self, program: &str) -> bool {
        let key = hash_of(program);
        self.newer.contains(&key) || self.older.contains(&key)
    }
}

fn hash_of(program: &str) -> u64 {
    xxh3_64(program.as_bytes())
}
