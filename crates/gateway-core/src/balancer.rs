//! Chooses the worker of a request.
//!
//! Requests of one program meet the same worker through rendezvous hashing, on whichever node of
//! its zone they arrive, so that a prompt's prefix is found in that worker's memory. Workers of the
//! node's own zone come first: they are nearer, and fewer pairs of node and worker need
//! connections. A worker that is crowded, failing or already tried gives way to the next.

use std::cmp::Reverse;

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
    /// Nodes of this zone that take requests, this one included.
    pub nodes_in_zone: u32,
    /// Whether the request may be repeated.
    pub repeatable: bool,
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
    choose_nearby(workers, query, now)
        .or_else(|| {
            workers
                .accepting(query.service)
                .min_by_key(|worker| rank(worker, query, now))
        })
        .or_else(|| {
            workers
                .last_resort(query.service, now)
                .min_by_key(|worker| rank(worker, query, now))
        })
}

/// Share of the zone's slots up to which its nodes keep to its workers. Beyond that, programs are
/// spread over all zones, which evens out the load without knowing it.
const CALM_SHARE: f64 = 0.5;

/// A worker of the own zone against which nothing speaks, while the zone's workers have ample room
/// for the zone's requests.
fn choose_nearby<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> Option<&'a Worker> {
    let slots: u32 = workers
        .accepting(query.service)
        .filter(|worker| worker.record.zone == query.zone)
        .map(|worker| worker.record.slots)
        .sum();
    let demand = workers.demand(query.service, now) * f64::from(query.nodes_in_zone.max(1));
    if demand >= f64::from(slots) * CALM_SHARE {
        return None;
    }
    workers
        .accepting(query.service)
        .filter(|worker| worker.record.zone == query.zone)
        .filter(|worker| !query.tried.contains(&worker.record.id))
        .filter(|worker| !worker.is_unfit(now, query.repeatable) && !worker.is_full(now))
        .filter(|worker| !is_crowded(worker, query.nodes_in_zone))
        .min_by_key(|worker| (load(worker, query), order(worker, query)))
}

/// Order of preference among all zones; the least is best. What this node has under way at a worker
/// says little of its whole load, so this falls back on spreading programs evenly.
type Rank = (bool, bool, bool, bool, u32, u32, Reverse<u64>);

fn rank(worker: &Worker, query: &PlacementQuery<'_>, now: Timestamp) -> Rank {
    let tried = query.tried.contains(&worker.record.id);
    let rounds = worker.in_flight / worker.record.slots.max(1);
    (
        tried,
        worker.is_ejected(now),
        worker.is_unfit(now, query.repeatable),
        worker.is_full(now),
        rounds,
        load(worker, query),
        order(worker, query),
    )
}

/// Requests without a key go to the worker with the least under way; those with one keep to their
/// order.
fn load(worker: &Worker, query: &PlacementQuery<'_>) -> u32 {
    match query.key {
        Some(_) => 0,
        None => worker.in_flight,
    }
}

/// Rendezvous hashing: the order of the workers for one key.
fn order(worker: &Worker, query: &PlacementQuery<'_>) -> Reverse<u64> {
    let seed = match query.key {
        Some(key) => xxh3_64_with_seed(key.as_bytes(), 0),
        None => query.spread,
    };
    Reverse(xxh3_64_with_seed(worker.record.id.as_bytes(), seed))
}

/// Whether three quarters of a worker's slots would be taken if every node of the zone had as many
/// requests there as this one.
fn is_crowded(worker: &Worker, nodes_in_zone: u32) -> bool {
    let expected = worker.in_flight * nodes_in_zone.max(1);
    expected * 4 >= worker.record.slots.max(1) * 3
}
