//! Zones whose workers are to get nothing more, as the operator wishes.
//!
//! Wishes are ordered by their offsets on the log, whichever way they come here: read from the log
//! or told by another node. A later one is never undone by an earlier one that arrives late.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_types::Offset;

/// Most zones of which wishes are kept: far more than a deployment has, and little memory whatever
/// is written to the log. Beyond it, wishes to empty a further zone are still taken while another one
/// is no longer wanted.
const MOST_ZONES: usize = 256;

/// The operator's latest wish for one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Position of the record that says so.
    pub offset: Offset,
    /// Whether the zone's workers are to get nothing more.
    pub is_on: bool,
}

/// The latest wish for every zone that there was one for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    wishes: BTreeMap<String, EvacuationOrder>,
}

impl Evacuations {
    /// Takes a wish; tells whether it changes what holds for the zone.
    pub fn note(&mut self, zone: &str, wish: EvacuationOrder) -> bool {
        let known = self.wishes.get(zone).copied();
        if known.is_some_and(|known| known.offset >= wish.offset) {
            return false;
        }
        if known.is_none() && self.wishes.len() >= MOST_ZONES && !self.drop_one_lifted() {
            return false;
        }
        self.wishes.insert(zone.to_owned(), wish);
        known.is_some_and(|known| known.is_on) != wish.is_on
    }

    /// Takes what a reading of all records has shown: `listed` are the zones to be emptied, and those
    /// known before `end` that are not among them are lifted. Returns those that are.
    pub fn lift_unlisted(&mut self, listed: &BTreeSet<&str>, end: Offset) -> Vec<String> {
        let mut lifted = Vec::new();
        for (zone, wish) in &mut self.wishes {
            let is_over = wish.is_on && wish.offset < end && !listed.contains(zone.as_str());
            if is_over {
                *wish = EvacuationOrder {
                    offset: end,
                    is_on: false,
                };
                lifted.push(zone.clone());
            }
        }
        lifted
    }

    /// Whether a zone's workers are to get nothing more.
    pub fn is_on(&self, zone: &str) -> bool {
        self.wishes.get(zone).is_some_and(|wish| wish.is_on)
    }

    /// The zones whose workers are to get nothing more.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        let wishes = self.wishes.iter();
        wishes
            .filter(|(_, wish)| wish.is_on)
            .map(|(zone, _)| zone.as_str())
    }

    /// Every wish, also those that are over, for other nodes.
    pub fn orders(&self) -> impl Iterator<Item = (&str, EvacuationOrder)> {
        let wishes = self.wishes.iter();
        wishes.map(|(zone, wish)| (zone.as_str(), *wish))
    }

    fn drop_one_lifted(&mut self) -> bool {
        let mut lifted = self.wishes.iter().filter(|(_, wish)| !wish.is_on);
        let Some(zone) = lifted.next().map(|(zone, _)| zone.clone()) else {
            return false;
        };
        self.wishes.remove(&zone);
        true
    }
}
