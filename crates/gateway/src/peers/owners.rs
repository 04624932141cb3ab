//! Which of the living nodes should act for a partition, and which can remember something for it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use elderworks_gateway_core::ledger::MOST_WITNESSES;
use elderworks_gateway_core::nodes::NodeDirectory;
use elderworks_gateway_core::ownership::{preferred_owner, rank_owners};
use elderworks_gateway_core::zone_health::ZonePart;
use elderworks_gateway_core::zone_spread::{NodeInZone, spread_candidates, spread_witnesses};
use elderworks_protocol::ledger::Witness;
use elderworks_types::{NodeId, PartitionId};

use super::Peers;
use crate::gateway::Gateway;

/// Candidates that are asked before a node acts itself: of these, one is of another zone than the
/// others if there is any.
const ASKED_FIRST: usize = 3;

/// Most nodes that are told as candidates for a partition: the first that answers is enough.
const MOST_CANDIDATES: usize = 4;

impl Peers {
    /// Nodes that should act for a partition, the foremost first, without those that left a
    /// request unanswered a moment ago. Nodes of a zone that seems lost come last.
    pub(crate) fn candidates(&self, gateway: &Gateway, partition: PartitionId) -> Vec<NodeId> {
        let avoided = self.avoided.borrow();
        let now = Instant::now();
        let is_avoided = |node: &NodeId| avoided.get(node).is_some_and(|until| *until > now);
        let ranking = self.ranking(gateway, partition);
        let asked = ranking.iter().filter(|node| !is_avoided(node));
        let nodes = gateway.nodes.borrow();
        let mut placed: Vec<NodeInZone<'_>> =
            asked.map(|node| (node, zone_of(&nodes, node))).collect();
        let suspected = suspected_zones(gateway);
        if !suspected.is_empty() {
            placed.sort_by_key(|(_, zone)| suspected.contains(*zone));
        }
        let placed = placed.into_iter();
        let candidates = match gateway.settings.policy.zone_spread {
            true => spread_candidates(placed, ASKED_FIRST, MOST_CANDIDATES),
            false => placed.map(|(node, _)| node).take(MOST_CANDIDATES).collect(),
        };
        candidates.into_iter().cloned().collect()
    }

    /// Whether this node is the first that should act for a partition, of those that have not left a
    /// request unanswered a moment ago and whose zones do not seem lost.
    pub(crate) fn is_foremost(&self, gateway: &Gateway, partition: PartitionId) -> bool {
        let avoided = self.avoided.borrow();
        let now = Instant::now();
        let is_avoided = |node: &NodeId| avoided.get(node).is_some_and(|until| *until > now);
        let nodes = gateway.nodes.borrow();
        let capacity = |node: &NodeId| nodes.get(node).map_or(0, |known| known.record.millicores);
        let suspected = suspected_zones(gateway);
        let is_lost =
            |node: &NodeId| !suspected.is_empty() && suspected.contains(zone_of(&nodes, node));
        let alive = self.alive.borrow();
        let asked = alive
            .iter()
            .filter(|node| !is_avoided(node) && !is_lost(node));
        let foremost = preferred_owner(partition, asked.map(|node| (node, capacity(node))));
        foremost == Some(&self.own)
    }

    /// Nodes that can remember something of a partition for this one, the foremost candidates first as
    /// far as zones allow.
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
        let staying = listed.filter(|(_, record)| !record.draining);
        let placed = staying.map(|(node, record)| (node, record.zone.as_str()));
        let own_zone = gateway.settings.zone.as_str();
        let chosen = match gateway.settings.policy.zone_spread {
            true => spread_witnesses(&placed.collect::<Vec<_>>(), own_zone, MOST_WITNESSES),
            false => placed.map(|(node, _)| node).take(MOST_WITNESSES).collect(),
        };
        let known = chosen.into_iter().filter_map(|node| {
            let boot = nodes.get(node)?.record.boot;
            let node = node.clone();
            Some(Witness { node, boot })
        });
        known.collect()
    }

    /// The living nodes in the order in which they should act for a partition.
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

/// Zones whose nodes seem lost together.
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
