//! What one engine keeps, as far as its events and lists tell.

use std::collections::BTreeMap;

use crate::engines::{MemoryEvent, MemoryEvents, MemoryListing};
use crate::placement::demand::PrefixKey;

/// Most parts of one engine that are told apart; the shortest are forgotten first. An engine keeps
/// fewer: each conversation of its memory has one part of its own.
const MOST_PARTS: usize = 1_024;

/// What an answer of an engine has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogChange {
    /// Nothing beyond what its events say.
    Applied,
    /// The engine has started again: nothing of what was known holds.
    Restarted,
    /// Events are missing: what is not known to be kept may be.
    Gap,
}

/// What a reader knows of one engine's memory.
#[derive(Clone, Debug, Default)]
pub struct EngineLog {
    epoch: Option<u64>,
    next: u64,
    parts: BTreeMap<PrefixKey, u64>,
    /// Whether a part that is not known is not kept.
    is_whole: bool,
}

impl EngineLog {
    /// Behind which event the next call goes on.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes an answer to a call for the events behind [`Self::next`].
    pub fn take_events(&mut self, answer: &MemoryEvents) -> LogChange {
        let has_restarted = self.epoch.is_some_and(|epoch| epoch != answer.epoch);
        if has_restarted {
            // The answer's numbers may not be those that were asked for.
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
            // What was dropped meanwhile is not known.
            self.parts.clear();
            self.is_whole = false;
        } else if is_from_start {
            self.is_whole = true;
        }
        self.take(&answer.events);
        match answer.has_gap {
            true => LogChange::Gap,
            false => LogChange::Applied,
        }
    }

    /// Takes the list of everything that is kept.
    pub fn take_listing(&mut self, listing: &MemoryListing) -> LogChange {
        let has_restarted = self.epoch.is_some_and(|epoch| epoch != listing.epoch);
        *self = Self {
            epoch: Some(listing.epoch),
            next: listing.next,
            parts: BTreeMap::new(),
            is_whole: true,
        };
        self.take(&listing.parts);
        match has_restarted {
            true => LogChange::Restarted,
            false => LogChange::Applied,
        }
    }

    fn take(&mut self, events: &[MemoryEvent]) {
        for event in events {
            let part = PrefixKey::of(&event.part);
            match event.tokens {
                0 => self.parts.remove(&part),
                tokens => self.parts.insert(part, tokens),
            };
        }
        while self.parts.len() > MOST_PARTS {
            let shortest = self.parts.iter().min_by_key(|(_, tokens)| **tokens);
            let Some((&part, _)) = shortest else { break };
            self.parts.remove(&part);
            self.is_whole = false;
        }
    }

    /// Tokens of a part that the engine keeps; `None` if that is not known.
    pub fn held(&self, part: PrefixKey) -> Option<u64> {
        let known = self.parts.get(&part).copied();
        known.or_else(|| (self.is_whole && self.epoch.is_some()).then_some(0))
    }

    /// Parts that are known to be kept.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is known to be kept.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
