//! Detects nodes that have been absent for so long that their entries should be removed.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{Incarnation, NodeId, Timestamp};

/// Absence after which the entry of a node is removed. A node that is restarted later writes a new
/// entry.
pub const DEPARTED_AFTER: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Absence {
    incarnation: Incarnation,
    since: Timestamp,
}

/// The listed nodes that are absent, and since when.
#[derive(Debug, Default)]
pub struct Departures {
    absent: BTreeMap<NodeId, Absence>,
}

impl Departures {
    /// Sets the listed nodes that are not alive, with the incarnations of their entries; returns
    /// those that have been absent for [`DEPARTED_AFTER`] with the same incarnation.
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
