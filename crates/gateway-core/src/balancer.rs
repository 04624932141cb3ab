//! Chooses the worker of a request.
//!
//! Requests of one program meet the same worker through rendezvous hashing, on whichever node they
//! arrive, so that a prompt's prefix is found in that worker's memory. A worker that is crowded,
//! failing or already tried gives way to the next in the program's order.

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::workers::{Worker, WorkerDirectory};

/// What is asked of a worker.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    /// Service of the route.
    pub service: &'a str,
    /// What requests have in common that are best run by the same worker.
    pub key: Option<&'a str>,
    /// Zone of this node.
    pub zone: &'a str,
    /// Ids of workers that were tried for this request.
    pub tried: &'a [String],
    /// A number that differs between requests, to spread those without a key.
    pub spread: u64,
}

/// The worker to take; `None` if the service has none left that takes work.
///
/// Workers that were tried are avoided unless there is no other.
pub fn choose<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> Option<&'a Worker> {
    workers
        .accepting(query.service)
        .min_by_key(|worker| rank(worker, query, now))
        .or_else(|| {
            workers
                .last_resort(query.service, now)
                .min_by_key(|worker| rank(worker, query, now))
        })
}

/// Order of preference; the least is best.
type Rank = (bool, bool, bool, u32, bool, std::cmp::Reverse<u64>);

fn rank(worker: &Worker, query: &PlacementQuery<'_>, now: Timestamp) -> Rank {
    let tried = query.tried.contains(&worker.record.id);
    let ejected = worker.is_ejected(now);
    let full = worker.is_full(now);
    let id = worker.record.id.as_bytes();
    match query.key {
        Some(key) => {
            let crowding = crowding(worker);
            let affinity = xxh3_64_with_seed(id, xxh3_64_with_seed(key.as_bytes(), 0));
            (
                tried,
                ejected,
                full,
                crowding,
                false,
                std::cmp::Reverse(affinity),
            )
        }
        None => {
            let elsewhere = worker.record.zone != query.zone;
            let order = xxh3_64_with_seed(id, query.spread);
            let load = worker.in_flight;
            (
                tried,
                ejected,
                full,
                load,
                elsewhere,
                std::cmp::Reverse(order),
            )
        }
    }
}

/// How often the requests of this node alone would fill the worker's slots.
fn crowding(worker: &Worker) -> u32 {
    worker.in_flight / worker.record.slots.max(1)
}
