//! Selects the engine to which a run is copied.

use elderworks_types::Timestamp;

use crate::stream_versions::SoftwareVersion;
use crate::workers::{Worker, WorkerDirectory};

/// Preferred zone of the target engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePreference {
    /// The zone of the run's engine, since copies between zones take twice as long and incur
    /// transfer costs.
    Same,
    /// Another zone, which does not fail together with that of the run's engine.
    Other,
}

/// Returns the least loaded healthy engine of a service with a free slot, excluding the run's `own`
/// engine and those in `tried`. Only engines of the version `software` can read the run's memory.
/// Engines in the preferred zone come first.
pub fn choose<'a>(
    workers: &'a WorkerDirectory,
    service: &str,
    own: &str,
    software: SoftwareVersion,
    tried: &[String],
    preference: ZonePreference,
    now: Timestamp,
) -> Option<&'a Worker> {
    let own_zone = workers.get(own).map(|worker| worker.record.zone.as_str());
    let is_preferred = |worker: &Worker| {
        let is_same = Some(worker.record.zone.as_str()) == own_zone;
        is_same == (preference == ZonePreference::Same)
    };
    let has_room = |worker: &Worker| {
        worker.record.id != own
            && worker.software == Some(software)
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
        .min_by_key(|worker| {
            (
                !is_preferred(worker),
                workers.load(worker),
                &worker.record.id,
            )
        })
}
