//! Chooses the worker that runs a request.
//!
//! Rendezvous hashing sends the requests of one program to the same worker from every node of a
//! zone, so that the worker has the prompt's prefix in memory. Workers of the node's own zone are
//! preferred, for lower latency and fewer connections. Workers that are overloaded, failing or
//! already tried for the request are skipped, and those of suspected zones are used last.

use std::cmp::Reverse;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::demand::{EngineTurn, PrefixKey};
use crate::placement::homes::{home_count, rendezvous_rank};
use crate::stream_versions::VersionRule;
use crate::workers::{Worker, WorkerDirectory};

/// The properties of a request that the choice of its worker depends on.
#[derive(Clone)]
pub struct PlacementQuery<'a> {
    /// The service that runs the request.
    pub service: &'a str,
    /// Affinity key: requests with the same key should run at the same worker.
    pub key: Option<&'a str>,
    /// Zone of this node.
    pub zone: &'a str,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Ids of the workers that were already tried for this request.
    pub tried: &'a [String],
    /// Which workers may run the request, by their software version.
    pub versions: VersionRule,
    /// Set for turns that run at a model engine.
    pub turn: Option<EngineTurn>,
    /// A number that differs between requests; distributes those without a key.
    pub seed: u64,
    /// Returns whether this node has an idle connection to the worker with that id.
    pub is_connected: &'a dyn Fn(&str) -> bool,
}

/// Returns the worker to use, or `None` if no worker of the service accepts requests.
///
/// Workers that were already tried are used only if there is no other.
pub fn choose<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> Option<&'a Worker> {
    let chosen = choose_by_rule(workers, query, now);
    if chosen.is_some() || query.versions != VersionRule::Settled {
        return chosen;
    }
    let any_version = PlacementQuery {
        versions: VersionRule::Any,
        ..query.clone()
    };
    choose_by_rule(workers, &any_version, now)
}

fn choose_by_rule<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> Option<&'a Worker> {
    choose_balanced(workers, query, now)
        .or_else(|| {
            candidates(workers, query, now)
                .filter(|worker| !workers.is_throttled(worker, now))
                .min_by_key(|worker| fallback_rank(workers, worker, query, now))
        })
        .or_else(|| {
            workers
                .last_resort(query.service, now)
                .filter(|worker| workers.follows(query.versions, worker, now))
                .filter(|worker| !workers.is_throttled(worker, now))
                .min_by_key(|worker| fallback_rank(workers, worker, query, now))
        })
        .or_else(|| choose_leaving(workers, query, now))
}

/// Returns a worker that is leaving, for a stream that no other worker may continue.
fn choose_leaving<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> Option<&'a Worker> {
    let VersionRule::Only(version) = query.versions else {
        return None;
    };
    workers
        .leaving(query.service, version, now)
        .min_by_key(|worker| fallback_rank(workers, worker, query, now))
}

/// Returns the workers that accept requests and whose software version may run this one.
fn candidates<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> impl Iterator<Item = &'a Worker> {
    let versions = query.versions;
    workers
        .accepting(query.service)
        .filter(move |worker| workers.follows(versions, worker, now))
}

/// Returns whether a worker is home to the prefix of the turn's prompt, or `None` if the request
/// has no homes.
pub fn is_at_home(
    workers: &WorkerDirectory,
    query: &PlacementQuery<'_>,
    worker: &Worker,
    now: Timestamp,
) -> Option<bool> {
    let homes = Homes::of(workers, query, now);
    let has_homes = homes != Homes::NotApplicable;
    has_homes.then(|| homes.contains(worker))
}

/// Returns the preferred worker among the healthy ones that are not overloaded, in the node's own
/// zone first while that has capacity.
///
/// A worker is overloaded if its load exceeds
/// [`Policy::load_bound`](crate::policy::Policy::load_bound) times the mean and
/// [`Policy::calm_share`](crate::policy::Policy::calm_share) of its slots (after Mirrokni, Thorup
/// and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016).
fn choose_balanced<'a>(
    workers: &'a WorkerDirectory,
    query: &PlacementQuery<'a>,
    now: Timestamp,
) -> Option<&'a Worker> {
    let is_in_own_zone = |worker: &&Worker| worker.record.zone == query.zone;
    let is_eligible = |worker: &&'a Worker| {
        !query.tried.contains(&worker.record.id)
            && !worker.should_avoid(now, query.repeatable)
            && !worker.is_full(now)
            && !workers.is_throttled(worker, now)
            && !workers.is_zone_avoided(worker, seed_of(query), now)
    };
    let homes = Homes::of(workers, query, now);
    if prefers_own_zone(workers, query, &homes, now) {
        let near = candidates(workers, query, now).filter(is_in_own_zone);
        if let Some(worker) = first_within_bound(workers, query, &homes, near.filter(is_eligible)) {
            return Some(worker);
        }
    }
    let all = candidates(workers, query, now).filter(is_eligible);
    first_within_bound(workers, query, &homes, all)
}

/// Returns whether workers of the node's own zone are considered first: the zone has capacity, and
/// its engines don't have to read a prefix that engines of other zones have in memory.
fn prefers_own_zone(
    workers: &WorkerDirectory,
    query: &PlacementQuery<'_>,
    homes: &Homes,
    now: Timestamp,
) -> bool {
    let policy = workers.policy();
    if !policy.near_workers {
        return false;
    }
    let all = || candidates(workers, query, now);
    let near = all().filter(|worker| worker.record.zone == query.zone);
    let own_zone_utilization = utilization(workers, near);
    if own_zone_utilization >= policy.calm_share {
        return false;
    }
    match homes {
        Homes::NotApplicable => true,
        Homes::Some { .. } => false,
        // Turns slow each other down at an engine, so the load of the zones is balanced.
        Homes::Everywhere => {
            policy.near_homes
                && own_zone_utilization <= utilization(workers, all()) + policy.zone_slack
        }
    }
}

/// The workers that are home to the prefix of a turn's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Homes {
    /// The request isn't a turn for a model engine.
    NotApplicable,
    /// All engines: each has memory for every prefix in demand.
    Everywhere,
    /// The first engines in the prefix's rendezvous order.
    Some {
        /// The prefix.
        prefix: PrefixKey,
        /// Rank of the last home.
        last: u64,
    },
}

impl Homes {
    fn of(workers: &WorkerDirectory, query: &PlacementQuery<'_>, now: Timestamp) -> Self {
        let turn = query.turn.filter(|_| workers.policy().part_homes);
        let Some(turn) = turn else {
            return Self::NotApplicable;
        };
        let accepting = candidates(workers, query, now);
        let mut ranks: Vec<u64> = accepting
            .map(|worker| rendezvous_rank(turn.prefix, &worker.record.id))
            .collect();
        ranks.sort_unstable();
        let homes = home_count(workers.home_fraction(query.service, &turn), ranks.len());
        if homes == ranks.len() {
            return Self::Everywhere;
        }
        let last = homes.checked_sub(1).and_then(|index| ranks.get(index));
        Self::Some {
            prefix: turn.prefix,
            last: last.copied().unwrap_or(u64::MAX),
        }
    }

    fn contains(&self, worker: &Worker) -> bool {
        match self {
            Self::NotApplicable | Self::Everywhere => true,
            Self::Some { prefix, last } => rendezvous_rank(*prefix, &worker.record.id) <= *last,
        }
    }
}

/// Returns the requests in flight per slot, or infinity if there are no candidates.
fn utilization<'a>(workers: &WorkerDirectory, candidates: impl Iterator<Item = &'a Worker>) -> f64 {
    let (load, slots) = candidates.fold((0.0, 0.0), |(load, slots), worker| {
        let own_slots = f64::from(worker.record.slots.max(1));
        (load + f64::from(workers.load(worker)), slots + own_slots)
    });
    if slots > 0.0 {
        load / slots
    } else {
        f64::INFINITY
    }
}

/// Returns the most preferred candidate whose load is within the bound; at least one candidate is
/// at or below the mean.
fn first_within_bound<'a>(
    workers: &WorkerDirectory,
    query: &PlacementQuery<'_>,
    homes: &Homes,
    candidates: impl Iterator<Item = &'a Worker>,
) -> Option<&'a Worker> {
    let candidates: Vec<&Worker> = candidates.collect();
    if query.key.is_none() {
        let rank = |worker: &Worker| {
            let needs_connection = !(query.is_connected)(&worker.record.id);
            (
                worker.in_flight,
                needs_connection,
                rendezvous_order(worker, query),
            )
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
        .min_by_key(|worker| (!homes.contains(worker), rendezvous_order(worker, query)))
}

/// Sort key of the workers if none is eligible; the lowest is used. See [`fallback_rank`] for the
/// criteria in their order.
type FallbackRank = (bool, bool, bool, bool, bool, u32, u32, Reverse<u64>);

fn fallback_rank(
    workers: &WorkerDirectory,
    worker: &Worker,
    query: &PlacementQuery<'_>,
    now: Timestamp,
) -> FallbackRank {
    let tried = query.tried.contains(&worker.record.id);
    let rounds = worker.in_flight / worker.record.slots.max(1);
    (
        tried,
        workers.is_zone_avoided(worker, seed_of(query), now),
        worker.is_ejected(now),
        worker.should_avoid(now, query.repeatable),
        worker.is_full(now),
        rounds,
        load(worker, query),
        rendezvous_order(worker, query),
    )
}

/// Returns the number of this node's requests at the worker for requests without a key, and 0 for
/// those with one, which follow the rendezvous order.
fn load(worker: &Worker, query: &PlacementQuery<'_>) -> u32 {
    match query.key {
        Some(_) => 0,
        None => worker.in_flight,
    }
}

/// Returns the sort key of a worker in the request's rendezvous order.
fn rendezvous_order(worker: &Worker, query: &PlacementQuery<'_>) -> Reverse<u64> {
    let seed = seed_of(query);
    Reverse(xxh3_64_with_seed(worker.record.id.as_bytes(), seed))
}

/// Returns the hash seed: the same for all requests with the same key, and a different one for each
/// request without a key.
fn seed_of(query: &PlacementQuery<'_>) -> u64 {
    match query.key {
        Some(key) => xxh3_64_with_seed(key.as_bytes(), 0),
        None => query.seed,
    }
}
