//! Where a request is sent under which a worker ended: apart from others of that kind, and away from the
//! zones in which workers ended under it.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_types::Timestamp;

use super::EndCount;
use super::exchanges::WorkerPart;
use super::identity::RequestIdentity;
use super::suspects::Suspects;
use super::table::EndTable;
use crate::peer_loads::WorkerKey;
use crate::workers::WorkerDirectory;

/// Pause before a send that must not meet another end, in which the other nodes' reports of the last
/// one arrive.
const LAST_SEND_PAUSE: Duration = Duration::from_millis(30);

/// Pause between requests that met the same ends, so that each learns where those before it went.
const LAST_SEND_STAGGER: Duration = Duration::from_millis(20);

/// Maximum number of requests for which one waits.
const MAX_STAGGERED: u32 = 8;

/// What a node knows of requests under which workers ended.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge<'a> {
    /// The requests.
    pub table: &'a EndTable,
    /// Where they run.
    pub suspects: &'a Suspects,
    /// The workers.
    pub workers: &'a WorkerDirectory,
}

/// Sets of workers to avoid, the most preferred one first.
pub type AvoidedWorkers = [BTreeSet<WorkerKey>; 4];

/// Returns which workers a request had better avoid: those with requests that ended several, and, if one
/// ended under it, those with any of that kind. A zone in which a worker ended under it comes last, since
/// others of the zone may end next whatever the cause.
pub fn workers_to_avoid(
    knowledge: Knowledge<'_>,
    request: &RequestIdentity,
    service: &str,
    now: Timestamp,
) -> AvoidedWorkers {
    let Knowledge {
        table,
        suspects,
        workers,
    } = knowledge;
    if suspects.is_empty() && !table.count(request).is_suspect() {
        return AvoidedWorkers::default();
    }
    let shared = suspects.shared_with(now, request.attempt);
    if !table.count(request).is_suspect() {
        return [
            shared.repeated,
            BTreeSet::new(),
            BTreeSet::new(),
            BTreeSet::new(),
        ];
    }
    let own_ended = table.ended_under(request);
    let of_service = || workers.known(service);
    let gone: BTreeSet<WorkerKey> = of_service()
        .map(|worker| worker.key())
        .filter(|worker| table.has_ended(*worker))
        .collect();
    let lost_zones: BTreeSet<&str> = of_service()
        .filter(|worker| own_ended.contains(&WorkerPart::of(worker.key())))
        .map(|worker| worker.record.zone.as_str())
        .collect();
    let in_lost_zones: BTreeSet<WorkerKey> = of_service()
        .filter(|worker| lost_zones.contains(worker.record.zone.as_str()))
        .map(|worker| worker.key())
        .collect();
    let apart = &shared.any | &gone;
    let bearable = &shared.repeated | &gone;
    [
        &apart | &in_lost_zones,
        &bearable | &in_lost_zones,
        apart,
        bearable,
    ]
}

/// The outcome of a search for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Search<T> {
    /// The worker to use.
    Found(T),
    /// Every worker runs a request that it must not meet; one may become free.
    NoneApart,
    /// No worker accepts the request.
    NoWorker,
}

/// Searches for a worker. `choose` returns the preferred one, and one to be avoided only if there is no
/// other.
pub fn find_apart<T>(
    avoided: &AvoidedWorkers,
    ends: EndCount,
    mut choose: impl FnMut(&BTreeSet<WorkerKey>) -> Option<(WorkerKey, T)>,
) -> Search<T> {
    let mut last = None;
    for workers in avoided {
        let Some((worker, target)) = choose(workers) else {
            return Search::NoWorker;
        };
        if !workers.contains(&worker) {
            return Search::Found(target);
        }
        last = Some(target);
    }
    match last {
        Some(target) if !ends.is_at_last() => Search::Found(target),
        _ => Search::NoneApart,
    }
}

/// Returns how long a request waits before it is sent, given the ends under it.
pub fn pause_before_send(table: &EndTable, request: &RequestIdentity) -> Duration {
    if !table.count(request).is_at_last() {
        return Duration::ZERO;
    }
    let turn = u32::try_from(table.turn_among_alike(request)).unwrap_or(u32::MAX);
    LAST_SEND_PAUSE + LAST_SEND_STAGGER * turn.min(MAX_STAGGERED)
}
