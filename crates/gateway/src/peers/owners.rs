//! Which of the living nodes should act for a partition, and which can remember something for it.

use std::rc::Rc;
use std::time::Instant;

use elderworks_gateway_core::ledger::MOST_WITNESSES;
use elderworks_gateway_core::ownership::{foremost_owner, rank_owners};
use elderworks_protocol::ledger::Witness;
use elderworks_types::{NodeId, PartitionId};

use super::Peers;
use crate::gateway::Gateway;

/// Most nodes that are told as candidates for a partition: the first that answers is enough.
const MOST_CANDIDATES: usize = 4;

impl Peers {
    /// Nodes that should act for a partition, the foremost first, without those that left a
    /// request unanswered a moment ago.
    pub(crate) fn candidates(&self, gateway: &Gateway, partition: PartitionId) -> Vec<NodeId> {
        let avoided = self.avoided.borrow();
        let now = Instant::now();
        let is_avoided = |node: &NodeId| avoided.get(node).is_some_and(|until| *until > now);
        self.ranking(gateway, partition)
            .iter()
            .filter(|node| !is_avoided(node))
            .take(MOST_CANDIDATES)
            .cloned()
            .collect()
    }

    /// Whether this node is the first that should act for a partition, of those that have not left a
    /// request unanswered a moment ago.
    pub(crate) fn is_foremost(&self, gateway: &Gateway, partition: PartitionId) -> bool {
        let avoided = self.avoided.borrow();
        let now = Instant::now();
        let is_avoided = |node: &NodeId| avoided.get(node).is_some_and(|until| *until > now);
        let nodes = gateway.nodes.borrow();
        let capacity = |node: &NodeId| nodes.get(node).map_or(0, |known| known.record.millicores);
        let alive = self.alive.borrow();
        let asked = alive.iter().filter(|node| !is_avoided(node));
        let foremost = foremost_owner(partition, asked.map(|node| (node, capacity(node))));
        foremost == Some(&self.own)
    }

    /// Nodes that can remember something of a partition for this one, the foremost candidates first.
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
        listed
            .filter(|(_, record)| !record.draining)
            .map(|(node, record)| Witness {
                node: node.clone(),
                boot: record.boot,
            })
            .take(MOST_WITNESSES)
            .collect()
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
