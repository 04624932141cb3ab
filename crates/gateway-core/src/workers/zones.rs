//! Avoidance of workers in zones that are suspected to have failed as a whole.

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Worker, WorkerDirectory};
use crate::zone_health::{FailureSource, ZoneHealth, ZonePart, ZoneStatus};

impl WorkerDirectory {
    /// Sets this node's zone, which is never suspected.
    pub fn with_own_zone(mut self, zone: &str) -> Self {
        self.zone_health = ZoneHealth::new(zone);
        self
    }

    /// Returns the health of the zones.
    pub fn zone_health(&self) -> &ZoneHealth {
        &self.zone_health
    }

    /// Returns the health of the zones, to record responses and failures of nodes.
    pub fn zone_health_mut(&mut self) -> &mut ZoneHealth {
        &mut self.zone_health
    }

    /// Records that a worker has sent data, as a sign of life of its zone.
    pub fn note_response(&mut self, id: &str, now: Timestamp) {
        if !self.policy.zone_suspicion {
            return;
        }
        if let Some(worker) = self.workers.get(id) {
            let zone = &worker.record.zone;
            self.zone_health.note_answer(now, zone, ZonePart::Workers);
        }
    }

    /// Records a worker's failure as a failure in its zone.
    pub(super) fn note_zone_failure(&mut self, id: &str, now: Timestamp) {
        if !self.policy.zone_suspicion {
            return;
        }
        if let Some(worker) = self.workers.get(id) {
            let source = FailureSource::worker(id);
            self.zone_health
                .note_failure(now, &worker.record.zone, source);
        }
    }

    /// Returns whether a request should use a worker only if there is no other, because its zone is
    /// suspected or is recovering and receives only a fraction of its requests. `seed` is a
    /// uniformly distributed number that selects the requests of that fraction.
    pub fn is_zone_avoided(&self, worker: &Worker, seed: u64, now: Timestamp) -> bool {
        let zone = worker.record.zone.as_str();
        match self.zone_health.status(now, zone, ZonePart::Workers) {
            ZoneStatus::Healthy => false,
            ZoneStatus::Suspected => true,
            ZoneStatus::Recovering(fraction) => unit_fraction(zone, seed) >= fraction,
        }
    }
}

/// Hashes a zone and a seed to a uniformly distributed number from 0 to 1.
fn unit_fraction(zone: &str, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(zone.as_bytes(), seed);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
