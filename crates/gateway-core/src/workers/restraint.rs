//! Workers that get less than they could run: those of zones that are to get nothing, and cold ones.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_types::Timestamp;

use super::{Worker, WorkerDirectory};
use crate::cold::ColdSenders;
use crate::config::ServingConfig;

/// How long workers of a zone that takes work again count as cold unless their entries say otherwise:
/// they may have turned cold shortly before, and an entry takes about a second to come.
const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(2);

impl WorkerDirectory {
    /// Takes the zones whose workers are to get nothing more. Those of a zone that takes work again
    /// count as cold until their entries say otherwise, where cold ones bear less.
    pub fn close_zones<'a>(&mut self, zones: impl Iterator<Item = &'a str>, now: Timestamp) {
        let closed: BTreeSet<String> = zones.map(str::to_owned).collect();
        let before = std::mem::replace(&mut self.closed_zones, closed);
        let reopened: Vec<&String> = before.difference(&self.closed_zones).collect();
        for worker in self.workers.values_mut() {
            if reopened.contains(&&worker.record.zone) {
                worker.cold_until = worker.cold_until.max(now + COLD_AFTER_EVACUATION);
            }
        }
    }

    /// Takes what cold workers bear from a configuration.
    pub fn set_cold_rates(&mut self, config: &ServingConfig) {
        let services = config.services.iter();
        let rates = services.filter_map(|(name, service)| Some((name.clone(), service.cold_rate?)));
        self.cold.set_rates(rates.collect());
    }

    /// Who may send to cold workers.
    pub fn cold_senders(&mut self) -> &mut ColdSenders {
        &mut self.cold
    }

    /// Whether a worker is cold and must get nothing from this node now.
    pub fn is_throttled(&self, worker: &Worker, now: Timestamp) -> bool {
        if !worker.is_cold(now) {
            return false;
        }
        let record = &worker.record;
        let may_send = self.cold.pause(&record.service, &record.id).is_some();
        !may_send || now < worker.next_cold
    }
}
