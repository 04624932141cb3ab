//! Which engine a run goes on at.

use elderworks_types::Timestamp;

use crate::workers::{Worker, WorkerDirectory};

/// Which zone is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePreference {
    /// The engine's own: copies between zones take twice as long, and their bytes cost.
    Same,
    /// Another one, which does not fail with the engine's.
    Other,
}

/// The least loaded engine that has a free slot, is well and is neither the run's own nor among
/// `tried`.
pub fn choose<'a>(
    workers: &'a WorkerDirectory,
    service: &str,
    own: &str,
    tried: &[String],
    wish: ZonePreference,
    now: Timestamp,
) -> Option<&'a Worker> {
    let own_zone = workers.get(own).map(|worker| worker.record.zone.as_str());
    let is_wished = |worker: &Worker| {
        let is_same = Some(worker.record.zone.as_str()) == own_zone;
        is_same == (wish == ZonePreference::Same)
    };
    let has_room = |worker: &Worker| {
        worker.record.id != own
            && !tried.contains(&worker.record.id)
            && workers.load(worker) < worker.record.slots
            && !worker.should_avoid(now, false)
            && !worker.is_full(now)
            && !workers.is_throttled(worker, now)
    };
    workers
        .iter()
        .filter(|worker| worker.record.service == service)
        .filter(|worker| workers.is_accepting(worker) && has_room(worker))
        .min_by_key(|worker| (!is_wished(worker), workers.load(worker), &worker.record.id))
}
