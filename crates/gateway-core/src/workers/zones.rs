//! Workers of zones that seem lost as a whole.

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Worker, WorkerDirectory};
use crate::zone_health::{FailureSource, ZoneHealth, ZonePart, ZoneStanding};

impl WorkerDirectory {
    /// The same, with this node's zone, which is never taken for lost.
    pub fn with_own_zone(mut self, zone: &str) -> Self {
        self.zone_health = ZoneHealth::new(zone);
        self
    }

    /// What is believed of zones as a whole.
    pub fn zone_health(&self) -> &ZoneHealth {
        &self.zone_health
    }

    /// The same, to take what nodes of a zone show.
    pub fn zone_health_mut(&mut self) -> &mut ZoneHealth {
        &mut self.zone_health
    }

    /// Notes that something was heard from a worker.
    pub fn note_response(&mut self, id: &str, now: Timestamp) {
        if !self.policy.zone_suspicion {
            return;
        }
        if let Some(worker) = self.workers.get(id) {
            let zone = &worker.record.zone;
            self.zone_health.note_answer(now, zone, ZonePart::Workers);
        }
    }

    /// Takes a worker's failure for what it may say of its zone.
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

    /// Whether a request, of which `spread` is a number drawn evenly, is to use a worker only if there
    /// is no other: its zone seems lost, or has just come back and takes part of its work so far.
    pub fn is_doubtful(&self, worker: &Worker, spread: u64, now: Timestamp) -> bool {
        let zone = worker.record.zone.as_str();
        match self.zone_health.standing(now, zone, ZonePart::Workers) {
            ZoneStanding::Good => false,
            ZoneStanding::Suspected => true,
            ZoneStanding::Returning(share) => unit(zone, spread) >= share,
        }
    }
}

/// A number from 0 to 1, evenly distributed, that does not depend on the order of workers.
fn unit(zone: &str, spread: u64) -> f64 {
    let hash = xxh3_64_with_seed(zone.as_bytes(), spread);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
