//! Zones that the operator has ordered to be evacuated: their workers get no new requests.
//!
//! Orders are read from the log or received from other nodes, and are compared by their offset on
//! the log, so that an old order that arrives late doesn't override a newer one.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_types::Offset;

/// Maximum number of zones with an order, to bound the memory. Beyond it, an order for a further
/// zone replaces one for a zone that is no longer evacuated.
const MAX_ZONES: usize = 256;

/// The operator's latest order for one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Offset of the order's record on the log.
    pub offset: Offset,
    /// Whether the zone is evacuated.
    pub is_on: bool,
}

/// The latest order for each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    orders: BTreeMap<String, EvacuationOrder>,
}

impl Evacuations {
    /// Applies an order unless a newer one is known; returns whether it changed the zone's state.
    pub fn note(&mut self, zone: &str, order: EvacuationOrder) -> bool {
        let known = self.orders.get(zone).copied();
        if known.is_some_and(|known| known.offset >= order.offset) {
            return false;
        }
        if known.is_none() && self.orders.len() >= MAX_ZONES && !self.drop_lifted() {
            return false;
        }
        self.orders.insert(zone.to_owned(), order);
        known.is_some_and(|known| known.is_on) != order.is_on
    }

    /// Applies the result of reading all records up to `end`: ends the evacuation of zones that are
    /// not `listed` and whose order is older; returns these zones.
    pub fn lift_unlisted(&mut self, listed: &BTreeSet<&str>, end: Offset) -> Vec<String> {
        let mut lifted = Vec::new();
        for (zone, order) in &mut self.orders {
            let is_over = order.is_on && order.offset < end && !listed.contains(zone.as_str());
            if is_over {
                *order = EvacuationOrder {
                    offset: end,
                    is_on: false,
                };
                lifted.push(zone.clone());
            }
        }
        lifted
    }

    /// Returns whether a zone is evacuated.
    pub fn is_on(&self, zone: &str) -> bool {
        self.orders.get(zone).is_some_and(|order| order.is_on)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        let orders = self.orders.iter();
        orders
            .filter(|(_, order)| order.is_on)
            .map(|(zone, _)| zone.as_str())
    }

    /// Returns all orders, including those that ended an evacuation, for reports to other nodes.
    pub fn orders(&self) -> impl Iterator<Item = (&str, EvacuationOrder)> {
        let orders = self.orders.iter();
        orders.map(|(zone, order)| (zone.as_str(), *order))
    }

    fn drop_lifted(&mut self) -> bool {
        let mut lifted = self.orders.iter().filter(|(_, order)| !order.is_on);
        let Some(zone) = lifted.next().map(|(zone, _)| zone.clone()) else {
            return false;
        };
        self.orders.remove(&zone);
        true
    }
}
