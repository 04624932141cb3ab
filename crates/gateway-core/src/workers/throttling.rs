//! Workers that get no or fewer requests: those of closed zones, and cold ones.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_types::Timestamp;

use super::{Worker, WorkerDirectory};
use crate::cold_workers::ColdSenders;
use crate::config::ServingConfig;

/// How long workers of a reopened zone count as cold unless their records say otherwise. They may
/// have become cold while the zone was closed, and a record takes about a second to arrive.
const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(2);

impl WorkerDirectory {
    /// Sets the zones whose workers get no new requests. Workers of reopened zones count as cold for
    /// `COLD_AFTER_EVACUATION` or until their records say otherwise.
    pub fn close_zones<'a>(&mut self, zones: impl Iterator<Item = &'a str>, now: Timestamp) {
        let closed: BTreeSet<String> = zones.map(str::to_owned).collect();
        let previously_closed = std::mem::replace(&mut self.closed_zones, closed);
        let reopened: Vec<&String> = previously_closed.difference(&self.closed_zones).collect();
        for worker in self.workers.values_mut() {
            if reopened.contains(&&worker.record.zone) {
                worker.cold_until = worker.cold_until.max(now + COLD_AFTER_EVACUATION);
            }
        }
    }

    /// Sets the request rates of cold workers from a configuration.
    pub fn set_cold_rates(&mut self, config: &ServingConfig) {
        let services = config.services.iter();
        let rates = services.filter_map(|(name, service)| Some((name.clone(), service.cold_rate?)));
        self.cold_senders.set_rates(rates.collect());
    }

    /// Returns the state that decides which nodes send requests to cold workers.
    pub fn cold_senders(&mut self) -> &mut ColdSenders {
        &mut self.cold_senders
    }

    /// Returns whether a worker is cold and must get no request from this node now.
    pub fn is_throttled(&self, worker: &Worker, now: Timestamp) -> bool {
        if !worker.is_cold(now) {
            return false;
        }
        let record = &worker.record;
        let may_send = self
            .cold_senders
            .pause(&record.service, &record.id)
            .is_some();
        !may_send || now < worker.next_cold_request
    }
}
