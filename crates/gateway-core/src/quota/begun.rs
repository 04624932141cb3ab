//! Programs of which a request was sent on lately.

use std::collections::HashSet;
use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

/// A program is remembered for this long at least after its last request.
const REMEMBERED: Duration = Duration::from_secs(30);

/// Most programs remembered of one such time; beyond, the oldest go early.
const MOST_REMEMBERED: usize = 20_000;

/// Programs that have begun, as far as this node has seen.
#[derive(Clone, Debug, Default)]
pub struct StartedPrograms {
    since: Timestamp,
    newer: HashSet<u64>,
    older: HashSet<u64>,
}

impl StartedPrograms {
    /// Notes that a request of a program is sent on.
    pub fn note(&mut self, now: Timestamp, program: &str) {
        let is_over = now.since(self.since) >= REMEMBERED;
        if is_over || self.newer.len() >= MOST_REMEMBERED {
            self.older = std::mem::take(&mut self.newer);
            self.since = now;
        }
        self.newer.insert(key_of(program));
    }

    /// Whether a request of a program was sent on.
    pub fn contains(&self, program: &str) -> bool {
        let key = key_of(program);
        self.newer.contains(&key) || self.older.contains(&key)
    }
}

fn key_of(program: &str) -> u64 {
    xxh3_64(program.as_bytes())
}
