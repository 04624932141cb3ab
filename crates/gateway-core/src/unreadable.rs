//! Entries of the platform's streams that cannot be read, each told once.

use std::collections::BTreeSet;

/// Most keys that are remembered: whoever writes such entries may write many.
const MOST_KEYS: usize = 1_000;

/// Keys whose entries could not be read.
#[derive(Clone, Debug, Default)]
pub struct UnreadableKeys {
    keys: BTreeSet<String>,
}

impl UnreadableKeys {
    /// Notes a key; tells whether it is to be logged. Beyond a number of keys further ones are only
    /// counted.
    pub fn note(&mut self, key: &str) -> bool {
        self.keys.len() < MOST_KEYS && self.keys.insert(key.to_owned())
    }
}
