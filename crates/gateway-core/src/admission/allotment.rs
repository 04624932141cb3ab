//! A node's share of the places that all nodes see free.

use super::demand::{URGENCY_LEVELS, Waiting};

/// What waits for a service at the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PeerWaiting(pub(super) Waiting);

impl PeerWaiting {
    pub(super) fn is_nothing(&self) -> bool {
        self.0.total() == 0
    }
}

/// How many of `free` places are this node's.
///
/// The floor's part goes by all that waits where; the rest by urgency, and within one level by
/// what waits where. Every node computes the same division, as far as they have heard each other.
pub(super) fn share_of(free: f64, own: Waiting, elsewhere: PeerWaiting, floor_share: f64) -> f64 {
    let by_urgency = by_urgency(free * (1.0 - floor_share), own, elsewhere);
    by_urgency + free * floor_share * own_part(own.total(), elsewhere.0.total())
}

fn by_urgency(free: f64, own: Waiting, elsewhere: PeerWaiting) -> f64 {
    let mut left = free;
    let mut share = 0.0;
    for level in 0..URGENCY_LEVELS {
        let (here, there) = (own.0[level], elsewhere.0.0[level]);
        let taken = left.min(f64::from(here) + f64::from(there));
        share += taken * own_part(here, there);
        left -= taken;
    }
    share
}

fn own_part(here: u32, there: u32) -> f64 {
    let all = f64::from(here) + f64::from(there);
    if all > 0.0 {
        f64::from(here) / all
    } else {
        0.0
    }
}
