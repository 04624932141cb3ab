//! Prompt prefixes in one engine's memory, tracked from its events and listings.

use std::collections::BTreeMap;

use crate::engines::{MemoryEvent, MemoryEvents, MemoryListing};
use crate::placement::demand::PrefixKey;

/// Maximum number of tracked prefixes of one engine; the shortest are dropped first. Engines cache
/// fewer, at one prefix per conversation.
const MAX_PREFIXES: usize = 1_024;

/// The effect of an engine's response on the tracked state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogChange {
    /// The response, if any, was applied without a gap.
    Applied,
    /// The engine has restarted, and the earlier state was discarded.
    Restarted,
    /// Events are missing, so prefixes that aren't tracked may be cached.
    Gap,
}

/// A reader's view of one engine's memory.
#[derive(Clone, Debug, Default)]
pub struct EngineLog {
    epoch: Option<u64>,
    next: u64,
    /// Cached tokens by prefix.
    prefixes: BTreeMap<PrefixKey, u64>,
    /// Whether prefixes that aren't tracked are known not to be cached.
    is_complete: bool,
}

impl EngineLog {
    /// Returns the number of the event after which the next call continues.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Applies the response to a call for the events after [`Self::next`].
    pub fn apply_events(&mut self, answer: &MemoryEvents) -> LogChange {
        let has_restarted = self.epoch.is_some_and(|epoch| epoch != answer.epoch);
        if has_restarted {
            // The response may not start at the requested number, since numbers restart too.
            *self = Self {
                epoch: Some(answer.epoch),
                ..Self::default()
            };
            return LogChange::Restarted;
        }
        let is_from_start = self.next == 0;
        self.epoch = Some(answer.epoch);
        self.next = answer.next;
        if answer.has_gap {
            // Any of the tracked prefixes may have been evicted in the gap.
            self.prefixes.clear();
            self.is_complete = false;
        } else if is_from_start {
            self.is_complete = true;
        }
        self.apply(&answer.events);
        match answer.has_gap {
            true => LogChange::Gap,
            false => LogChange::Applied,
        }
    }

    /// Applies a complete listing.
    pub fn apply_listing(&mut self, listing: &MemoryListing) -> LogChange {
        let has_restarted = self.epoch.is_some_and(|epoch| epoch != listing.epoch);
        *self = Self {
            epoch: Some(listing.epoch),
            next: listing.next,
            prefixes: BTreeMap::new(),
            is_complete: true,
        };
        self.apply(&listing.parts);
        match has_restarted {
            true => LogChange::Restarted,
            false => LogChange::Applied,
        }
    }

    fn apply(&mut self, events: &[MemoryEvent]) {
        for event in events {
            let prefix = PrefixKey::of(&event.part);
            match event.tokens {
                0 => self.prefixes.remove(&prefix),
                tokens => self.prefixes.insert(prefix, tokens),
            };
        }
        while self.prefixes.len() > MAX_PREFIXES {
            let shortest = self.prefixes.iter().min_by_key(|(_, tokens)| **tokens);
            let Some((&prefix, _)) = shortest else { break };
            self.prefixes.remove(&prefix);
            self.is_complete = false;
        }
    }

    /// Returns the number of cached tokens of a prefix, or `None` if it isn't known.
    pub fn held(&self, prefix: PrefixKey) -> Option<u64> {
        let known = self.prefixes.get(&prefix).copied();
        known.or_else(|| (self.is_complete && self.epoch.is_some()).then_some(0))
    }

    /// Returns the number of prefixes known to be cached.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether no prefix is known to be cached.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }
}
