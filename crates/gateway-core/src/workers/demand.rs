//! What turns ask of engines for the first parts of their prompts, by service.

use elderworks_types::{NodeId, Timestamp};

use super::WorkerDirectory;
use crate::placement::demand::{EngineTurn, PartDemand, PrefixKey, PrefixUsage};

impl WorkerDirectory {
    /// Counts the demand of a turn for the first part of its prompt.
    pub fn note_turn(&mut self, service: &str, turn: &EngineTurn, now: Timestamp) {
        let engines = self.accepting(service).count();
        if !self.parts.contains_key(service) {
            self.parts.insert(service.to_owned(), PartDemand::default());
        }
        if let Some(parts) = self.parts.get_mut(service) {
            parts.note_turn(turn, engines, now);
        }
    }

    /// Demand for first parts that other nodes are told of, by service.
    pub fn own_demand(&self) -> impl Iterator<Item = (&str, Vec<(PrefixKey, PrefixUsage)>)> {
        let parts = self.parts.iter();
        parts.map(|(service, demand)| (service.as_str(), demand.own_demand()))
    }

    /// Takes what another node tells of its demand; of no more services than have workers here.
    pub fn apply_peer_demand(
        &mut self,
        now: Timestamp,
        node: NodeId,
        service: &str,
        uses: Vec<(PrefixKey, PrefixUsage)>,
    ) {
        if self.accepting(service).next().is_none() {
            return;
        }
        let parts = self.parts.entry(service.to_owned()).or_default();
        parts.take_told(now, node, uses);
    }

    /// Share of a service's engines that is home to the first part of a turn's prompt.
    pub fn home_share(&self, service: &str, turn: &EngineTurn) -> f64 {
        let parts = self.parts.get(service);
        parts.map_or(1.0, |parts| parts.share(turn.prefix))
    }
}
