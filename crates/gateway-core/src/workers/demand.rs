//! Demand for prompt prefixes by service.

use elderworks_types::{NodeId, Timestamp};

use super::WorkerDirectory;
use crate::placement::demand::{EngineTurn, PrefixDemand, PrefixKey, PrefixUsage};

impl WorkerDirectory {
    /// Records the demand of a turn for its prompt's prefix.
    pub fn note_turn(&mut self, service: &str, turn: &EngineTurn, now: Timestamp) {
        let engines = self.accepting(service).count();
        if !self.prefix_demand.contains_key(service) {
            self.prefix_demand
                .insert(service.to_owned(), PrefixDemand::default());
        }
        if let Some(prefix_demand) = self.prefix_demand.get_mut(service) {
            prefix_demand.note_turn(turn, engines, now);
        }
    }

    /// Returns this node's demand for prefixes by service, for reports to other nodes.
    pub fn own_demand(&self) -> impl Iterator<Item = (&str, Vec<(PrefixKey, PrefixUsage)>)> {
        let prefix_demand = self.prefix_demand.iter();
        prefix_demand.map(|(service, demand)| (service.as_str(), demand.own_demand()))
    }

    /// Replaces another node's report of its demand; ignores services without workers, to bound the
    /// memory.
    pub fn apply_peer_demand(
        &mut self,
        now: Timestamp,
        node: NodeId,
        service: &str,
        usages: Vec<(PrefixKey, PrefixUsage)>,
    ) {
        if self.accepting(service).next().is_none() {
            return;
        }
        let prefix_demand = self.prefix_demand.entry(service.to_owned()).or_default();
        prefix_demand.apply_peer_demand(now, node, usages);
    }

    /// Returns the fraction of a service's engines that are home to the prefix of a turn's prompt.
    pub fn home_fraction(&self, service: &str, turn: &EngineTurn) -> f64 {
        let prefix_demand = self.prefix_demand.get(service);
        prefix_demand.map_or(1.0, |prefix_demand| {
            prefix_demand.home_fraction(turn.prefix)
        })
    }
}
