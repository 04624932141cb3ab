//! Divides a service's free places between the nodes.

use super::demand::{URGENCY_LEVELS, Waiting};

/// Turns that wait for a service at the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PeerWaiting(pub(super) Waiting);

impl PeerWaiting {
    pub(super) fn is_nothing(&self) -> bool {
        self.0.total() == 0
    }
}

/// Returns how many of `free` places this node may use.
///
/// The fraction reserved for less urgent turns is divided in proportion to all turns that wait at
/// each node. The rest serves the urgency levels in order, each in proportion to the turns of that
/// level at each node. Nodes with the same reports compute the same division.
pub(super) fn node_share(
    free: f64,
    own: Waiting,
    elsewhere: PeerWaiting,
    floor_fraction: f64,
) -> f64 {
    let by_urgency = by_urgency(free * (1.0 - floor_fraction), own, elsewhere);
    by_urgency + free * floor_fraction * own_fraction(own.total(), elsewhere.0.total())
}

fn by_urgency(free: f64, own: Waiting, elsewhere: PeerWaiting) -> f64 {
    let mut left = free;
    let mut share = 0.0;
    for level in 0..URGENCY_LEVELS {
        let (here, there) = (own.0[level], elsewhere.0.0[level]);
        let taken = left.min(f64::from(here) + f64::from(there));
        share += taken * own_fraction(here, there);
        left -= taken;
    }
    share
}

fn own_fraction(here: u32, there: u32) -> f64 {
    let all = f64::from(here) + f64::from(there);
    if all > 0.0 {
        f64::from(here) / all
    } else {
        0.0
    }
}
