//! Chooses the worker of a request.
//!
//! Requests of one program meet the same worker through rendezvous hashing, on whichever node of
//! its zone they arrive, so that a prompt's prefix is found in that worker's memory. Workers of the
//! node's own zone come first: they are nearer, and fewer pairs of node and worker need
//! connections. A worker that has more than its share of the load, is failing or was already tried
//! gives way to the next, and those of a zone that seems lost come last.

use std::cmp::Reverse;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::demand::{EngineTurn, PrefixKey};
use crate::placement::homes::{home_count, place};
use crate::workers::{Worker, WorkerDirectory};

/// What is asked of a worker.
#[derive(Clone)]
pub struct PlacementQuery<'a> {
    /// Service of the route.
    pub service: &'a str,
    /// What requests have in common that are best run by the same worker.
    pub key: Option<&'a str>,
    /// Zone of this node.
    pub zone: &'a str,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Ids of workers that were tried for this request.
    pub tried: &'a [String],
    /// Set for turns of which an engine reads a prompt that begins with a shared part.
    pub turn: Option<EngineTurn>,
    /// A number that differs between requests, to spread those without a key.
    pub seed: u64,
    /// Whether this node has a connection at rest to the worker of that id.
    pub is_connected: &'a dyn Fn(&str) -> bool,
}

/// The worker to take; `None` if the service has none left that takes work.
///
/// Workers that were tried are avoided unless there is no other.
pub fn choose<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> Option<&'a Worker> {
    choose_balanced(workers, query, now)
        .or_else(|| {
            workers
                .accepting(query.service)
                .filter(|worker| !workers.is_throttled(worker, now))
                .min_by_key(|worker| rank(workers, worker, query, now))
        })
        .or_else(|| {
            workers
                .last_resort(query.service, now)
                .filter(|worker| !workers.is_throttled(worker, now))
                .min_by_key(|worker| rank(workers, worker, query, now))
        })
}

/// Whether a worker is home to the first part of the turn's prompt; `None` if no homes are chosen.
pub fn is_at_home(
    workers: &WorkerDirectory,
    query: &PlacementQuery<'_>,
    worker: &Worker,
) -> Option<bool> {
    let homes = Homes::of(workers, query);
    let is_turn = homes != Homes::Unasked;
    is_turn.then(|| homes.include(worker))
}

/// A worker against which nothing speaks and that has its share of the load or less: one of the own
/// zone while that has room.
///
/// A worker is taken for the programs that it is the first choice of while its load is at most
/// [`Policy::load_bound`](crate::policy::Policy::load_bound) times the mean (after Mirrokni, Thorup
/// and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016), or so small that it slows
/// nobody.
fn choose_balanced<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> Option<&'a Worker> {
    let is_near = |worker: &&Worker| worker.record.zone == query.zone;
    let is_good = |worker: &&'a Worker| {
        !query.tried.contains(&worker.record.id)
            && !worker.should_avoid(now, query.repeatable)
            && !worker.is_full(now)
            && !workers.is_throttled(worker, now)
            && !workers.is_doubtful(worker, spread_of(query), now)
    };
    let homes = Homes::of(workers, query);
    if keeps_zone(workers, query, &homes) {
        let near = workers.accepting(query.service).filter(is_near);
        if let Some(worker) = within_bound(workers, query, &homes, near.filter(is_good)) {
            return Some(worker);
        }
    }
    let all = workers.accepting(query.service).filter(is_good);
    within_bound(workers, query, &homes, all)
}

/// Whether to look for a worker in the own zone before all others: it is calm, and no prompt has to
/// be read there that would be in memory elsewhere.
fn keeps_zone(workers: &WorkerDirectory, query: &PlacementQuery<'_>, homes: &Homes) -> bool {
    let policy = workers.policy();
    if !policy.near_workers {
        return false;
    }
    let all = || workers.accepting(query.service);
    let near = all().filter(|worker| worker.record.zone == query.zone);
    let use_of_near = utilization(workers, near);
    if use_of_near >= policy.calm_share {
        return false;
    }
    match homes {
        Homes::Unasked => true,
        Homes::Some { .. } => false,
        // Each turn slows the others at its engine a little, so load is kept even.
        Homes::Everywhere => {
            policy.near_homes && use_of_near <= utilization(workers, all()) + policy.zone_slack
        }
    }
}

/// Which workers are home to the first part of a turn's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Homes {
    /// The request is no turn with such a part.
    Unasked,
    /// All engines: each has memory for every part that is asked for.
    Everywhere,
    /// The first ones in the part's order.
    Some {
        /// The part.
        part: PrefixKey,
        /// Place of the last home.
        last: u64,
    },
}

impl Homes {
    fn of(workers: &WorkerDirectory, query: &PlacementQuery<'_>) -> Self {
        let turn = query.turn.filter(|_| workers.policy().part_homes);
        let Some(turn) = turn else {
            return Self::Unasked;
        };
        let accepting = workers.accepting(query.service);
        let mut places: Vec<u64> = accepting
            .map(|worker| place(turn.prefix, &worker.record.id))
            .collect();
        places.sort_unstable();
        let homes = home_count(workers.home_share(query.service, &turn), places.len());
        if homes == places.len() {
            return Self::Everywhere;
        }
        let last = homes.checked_sub(1).and_then(|index| places.get(index));
        Self::Some {
            part: turn.prefix,
            last: last.copied().unwrap_or(u64::MAX),
        }
    }

    fn include(&self, worker: &Worker) -> bool {
        match self {
            Self::Unasked | Self::Everywhere => true,
            Self::Some { part, last } => place(*part, &worker.record.id) <= *last,
        }
    }
}

/// Requests under way per slot; more than any worker has if there are no slots.
fn utilization<'a>(workers: &WorkerDirectory, some: impl Iterator<Item = &'a Worker>) -> f64 {
    let (load, slots) = some.fold((0.0, 0.0), |(load, slots), worker| {
        let own_slots = f64::from(worker.record.slots.max(1));
        (load + f64::from(workers.load(worker)), slots + own_slots)
    });
    if slots > 0.0 {
        load / slots
    } else {
        f64::INFINITY
    }
}

/// The first in the order of preference whose load is within its bound; one always is.
fn within_bound<'a>(
    workers: &WorkerDirectory,
    query: &PlacementQuery<'_>,
    homes: &Homes,
    some: impl Iterator<Item = &'a Worker>,
) -> Option<&'a Worker> {
    let candidates: Vec<&Worker> = some.collect();
    if query.key.is_none() {
        let rank = |worker: &Worker| {
            let needs_connection = !(query.is_connected)(&worker.record.id);
            (worker.in_flight, needs_connection, order(worker, query))
        };
        return candidates.into_iter().min_by_key(|worker| rank(worker));
    }
    let mean = utilization(workers, candidates.iter().copied());
    let policy = workers.policy();
    let bound = (mean * policy.load_bound).max(policy.calm_share);
    let is_within = |worker: &Worker| {
        let slots = f64::from(worker.record.slots.max(1));
        f64::from(workers.load(worker)) <= bound * slots
    };
    candidates
        .into_iter()
        .filter(|worker| is_within(worker))
        .min_by_key(|worker| (!homes.include(worker), order(worker, query)))
}

/// Order of preference if something speaks against every worker; the least is best.
type Rank = (bool, bool, bool, bool, bool, u32, u32, Reverse<u64>);

fn rank(
    workers: &WorkerDirectory,
    worker: &Worker,
    query: &PlacementQuery<'_>,
    now: Timestamp,
) -> Rank {
    let tried = query.tried.contains(&worker.record.id);
    let rounds = worker.in_flight / worker.record.slots.max(1);
    (
        tried,
        workers.is_doubtful(worker, spread_of(query), now),
        worker.is_ejected(now),
        worker.should_avoid(now, query.repeatable),
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
    let seed = spread_of(query);
    Reverse(xxh3_64_with_seed(worker.record.id.as_bytes(), seed))
}

/// The same number for all requests of one key, else one that differs between requests.
fn spread_of(query: &PlacementQuery<'_>) -> u64 {
    match query.key {
        Some(key) => xxh3_64_with_seed(key.as_bytes(), 0),
        None => query.seed,
    }
}
