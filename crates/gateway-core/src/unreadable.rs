//! Tracks unreadable entries of the platform's streams, so that each is logged once.

use std::collections::BTreeSet;

/// Maximum number of keys that are remembered, since a faulty writer may produce any number of
/// them.
const MAX_KEYS: usize = 1_000;

/// Keys whose entries could not be decoded.
#[derive(Clone, Debug, Default)]
pub struct UnreadableKeys {
    keys: BTreeSet<String>,
}

impl UnreadableKeys {
    /// Records a key and returns whether to log it. At most `MAX_KEYS` keys are logged.
    pub fn note(&mut self, key: &str) -> bool {
        self.keys.len() < MAX_KEYS && self.keys.insert(key.to_owned())
    }
}
