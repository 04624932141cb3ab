//! Ranks the living nodes as candidates for a partition and chooses its witnesses.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use elderworks_gateway_core::ledger::MAX_WITNESSES;
use elderworks_gateway_core::nodes::NodeDirectory;
use elderworks_gateway_core::ownership::{preferred_owner, rank_owners};
use elderworks_gateway_core::zone_health::ZonePart;
use elderworks_gateway_core::zone_spread::{NodeInZone, spread_candidates, spread_witnesses};
use elderworks_protocol::ledger::Witness;
use elderworks_types::{NodeId, PartitionId};

use super::Peers;
use crate::gateway::Gateway;

/// Number of leading candidates that must span more than one zone, if possible. A node asks this many
/// before it acts for a partition itself.
const SPREAD_CANDIDATES: usize = 3;

/// Maximum number of candidates for a partition; the first one that answers is enough.
const MAX_CANDIDATES: usize = 4;

impl Peers {
    /// Returns the nodes that should act for a partition, in order of preference. Avoided nodes are left
    /// out, and nodes of suspected zones come last.
    pub(crate) fn candidates(&self, gateway: &Gateway, partition: PartitionId) -> Vec<NodeId> {
        let avoided = self.avoided.borrow();
        let now = Instant::now();
        let is_avoided = |node: &NodeId| avoided.get(node).is_some_and(|until| *until > now);
        let ranking = self.ranking(gateway, partition);
        let available = ranking.iter().filter(|node| !is_avoided(node));
        let nodes = gateway.nodes.borrow();
        let mut placed: Vec<NodeInZone<'_>> = available
            .map(|node| (node, zone_of(&nodes, node)))
            .collect();
        let suspected = suspected_zones(gateway);
        if !suspected.is_empty() {
            placed.sort_by_key(|(_, zone)| suspected.contains(*zone));
        }
        let placed = placed.into_iter();
        let candidates = match gateway.settings.policy.zone_spread {
            true => spread_candidates(placed, SPREAD_CANDIDATES, MAX_CANDIDATES),
            false => placed.map(|(node, _)| node).take(MAX_CANDIDATES).collect(),
        };
        candidates.into_iter().cloned().collect()
    }

    /// Returns whether this node is the preferred owner of a partition among the nodes that are neither
    /// avoided nor in a suspected zone.
    pub(crate) fn is_first_candidate(&self, gateway: &Gateway, partition: PartitionId) -> bool {
        let avoided = self.avoided.borrow();
        let now = Instant::now();
        let is_avoided = |node: &NodeId| avoided.get(node).is_some_and(|until| *until > now);
        let nodes = gateway.nodes.borrow();
        let capacity = |node: &NodeId| nodes.get(node).map_or(0, |known| known.record.millicores);
        let suspected = suspected_zones(gateway);
        let is_suspected =
            |node: &NodeId| !suspected.is_empty() && suspected.contains(zone_of(&nodes, node));
        let alive = self.alive.borrow();
        let available = alive
            .iter()
            .filter(|node| !is_avoided(node) && !is_suspected(node));
        let first = preferred_owner(partition, available.map(|node| (node, capacity(node))));
        first == Some(&self.own)
    }

    /// Returns the witnesses for a partition owned by this node: the best-ranked other nodes, spread
    /// across zones.
    pub(crate) fn witnesses(&self, gateway: &Gateway, partition: PartitionId) -> Rc<[Witness]> {
        if let Some(known) = self.witnesses.borrow().get(&partition) {
            return known.clone();
        }
        let witnesses = self.choose_witnesses(gateway, partition);
        self.witnesses
            .borrow_mut()
            .insert(partition, witnesses.clone());
        witnesses
    }

    fn choose_witnesses(&self, gateway: &Gateway, partition: PartitionId) -> Rc<[Witness]> {
        let ranking = self.ranking(gateway, partition);
        let nodes = gateway.nodes.borrow();
        let others = ranking.iter().filter(|node| **node != self.own);
        let listed = others.filter_map(|node| Some((node, &nodes.get(node)?.record)));
        let remaining = listed.filter(|(_, record)| !record.draining);
        let placed = remaining.map(|(node, record)| (node, record.zone.as_str()));
        let own_zone = gateway.settings.zone.as_str();
        let chosen = match gateway.settings.policy.zone_spread {
            true => spread_witnesses(&placed.collect::<Vec<_>>(), own_zone, MAX_WITNESSES),
            false => placed.map(|(node, _)| node).take(MAX_WITNESSES).collect(),
        };
        let known = chosen.into_iter().filter_map(|node| {
            let boot = nodes.get(node)?.record.boot;
            let node = node.clone();
            Some(Witness { node, boot })
        });
        known.collect()
    }

    /// Returns the living nodes in the order in which they should act for a partition.
    fn ranking(&self, gateway: &Gateway, partition: PartitionId) -> Rc<[NodeId]> {
        if let Some(known) = self.rankings.borrow().get(&partition) {
            return known.clone();
        }
        let nodes = gateway.nodes.borrow();
        let alive = self.alive.borrow();
        let capacity = |node: &NodeId| nodes.get(node).map_or(0, |known| known.record.millicores);
        let ranked = rank_owners(partition, alive.iter().map(|node| (node, capacity(node))));
        let ranking: Rc<[NodeId]> = ranked.into_iter().cloned().collect();
        self.rankings
            .borrow_mut()
            .insert(partition, ranking.clone());
        ranking
    }
}

/// Returns the zones whose nodes are suspected as a group.
fn suspected_zones(gateway: &Gateway) -> BTreeSet<String> {
    let workers = gateway.workers.borrow();
    let zones = workers.zone_health();
    let suspected = zones.suspected(gateway.now(), ZonePart::Nodes);
    suspected.map(str::to_owned).collect()
}

fn zone_of<'a>(nodes: &'a NodeDirectory, node: &NodeId) -> &'a str {
    let known = nodes.get(node);
    known.map_or("", |known| known.record.zone.as_str())
}
