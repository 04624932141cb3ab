//! Which listed nodes have been gone for so long that their entries are to be dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{Incarnation, NodeId, Timestamp};

/// A node that nobody has heard of for this long does not come back under its entry: one that is
/// started again writes a new one.
pub const DEPARTED_AFTER: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Absence {
    incarnation: Incarnation,
    since: Timestamp,
}

/// Since when listed nodes have been absent.
#[derive(Debug, Default)]
pub struct Departures {
    absent: BTreeMap<NodeId, Absence>,
}

impl Departures {
    /// Takes the listed nodes that are not alive, with the incarnations of their entries; returns
    /// those that have been absent for [`DEPARTED_AFTER`] under the same entry.
    pub fn update(&mut self, now: Timestamp, absent: Vec<(NodeId, Incarnation)>) -> Vec<NodeId> {
        let known = std::mem::take(&mut self.absent);
        for (node, incarnation) in absent {
            let since = known
                .get(&node)
                .filter(|absence| absence.incarnation == incarnation)
                .map_or(now, |absence| absence.since);
            self.absent.insert(node, Absence { incarnation, since });
        }
        self.absent
            .iter()
            .filter(|(_, absence)| now.since(absence.since) >= DEPARTED_AFTER)
            .map(|(node, _)| node.clone())
            .collect()
    }
}
