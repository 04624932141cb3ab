//! Placement of turns at engines by the homes of their prompts' prefixes.

mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose, is_at_home};
use elderworks_gateway_core::peer_loads::RoundRobin;
use elderworks_gateway_core::placement::demand::{EngineTurn, PrefixDemand, PrefixKey};
use elderworks_gateway_core::placement::homes::{
    PrefixLoad, home_count, home_fractions, rendezvous_rank,
};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::stream_versions::VersionRule;
use elderworks_gateway_core::workers::{WorkerDirectory, WorkerInstance, WorkerRecord};
use elderworks_types::{NodeId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);
const PREFIX_TOKENS: u64 = 12_600;
const SUFFIX_TOKENS: u64 = 2_000;
const MEMORY_TOKENS: u64 = 240_000;
const SLOTS: u32 = 8;
const ENGINES: usize = 56;
const PREFIXES: u64 = 16;

fn turn(prefix: u64) -> EngineTurn {
    EngineTurn {
        prefix: PrefixKey::of(&format!("part-{prefix}")),
        prefix_tokens: PREFIX_TOKENS,
        suffix_tokens: SUFFIX_TOKENS,
        max_output_tokens: 200,
        memory_tokens: MEMORY_TOKENS,
        slots: SLOTS,
    }
}

fn record(engine: usize) -> WorkerRecord {
    WorkerRecord {
        slots: SLOTS,
        ..common::engine(&format!("engine-{engine}"), ["a", "b", "c"][engine % 3])
    }
}

fn all_engines(policy: Policy) -> WorkerDirectory {
    let mut workers = WorkerDirectory::new(policy);
    for engine in 0..ENGINES {
        workers.upsert(record(engine), START);
    }
    workers
}

fn chosen(
    workers: &WorkerDirectory,
    program: &str,
    turn: EngineTurn,
    now: Timestamp,
) -> Option<String> {
    let query = PlacementQuery {
        service: "engines",
        key: Some(program),
        zone: "a",
        repeatable: false,
        tried: &[],
        versions: VersionRule::Any,
        turn: Some(turn),
        seed: 1,
        is_connected: &|_| false,
    };
    choose(workers, &query, now).map(|worker| worker.record.id.clone())
}

/// Returns the prefix of the turn with that number; low prefixes are the most frequent.
fn skewed_prefix(number: u64) -> u64 {
    let hash = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
    let unit = hash as f64 / (1u64 << 24) as f64;
    (unit * unit * PREFIXES as f64) as u64
}

#[test]
fn homes_fit_in_memory_and_are_proportional_to_demand() {
    let weights = [100.0, 50.0, 10.0, 10.0, 10.0, 1.0, 0.1];
    for (room_prefixes, engines) in [(1.5, 56), (3.0, 56), (6.0, 122), (2.0, 8)] {
        let prefixes = weights.map(|weight| PrefixLoad {
            tokens: PREFIX_TOKENS as f64,
            weight,
        });
        let fractions = home_fractions(&prefixes, room_prefixes * PREFIX_TOKENS as f64, engines);
        let sum: f64 = fractions.iter().sum();
        let min_fraction = 2.0 / engines as f64;
        let forced = min_fraction * weights.len() as f64;
        assert!(
            sum <= room_prefixes.max(forced) + 1e-3,
            "{room_prefixes}: {sum}"
        );
        assert!(fractions.is_sorted_by(|first, next| first >= next));
        assert!(
            fractions
                .iter()
                .all(|fraction| (min_fraction..=1.0).contains(fraction))
        );
    }
}

#[test]
fn all_engines_are_home_to_prefixes_that_fit() {
    let prefix = PrefixLoad {
        tokens: PREFIX_TOKENS as f64,
        weight: 1.0,
    };
    let fractions = home_fractions(&[prefix, prefix], 3.0 * PREFIX_TOKENS as f64, 10);
    assert_eq!(fractions, [1.0, 1.0]);
}

#[test]
fn the_loss_of_an_engine_moves_only_its_own_prefixes() {
    let engines: Vec<String> = (0..ENGINES)
        .map(|engine| format!("engine-{engine}"))
        .collect();
    let homes = |prefix: PrefixKey, engines: &[String]| -> BTreeSet<String> {
        let mut order: Vec<&String> = engines.iter().collect();
        order.sort_by_key(|engine| rendezvous_rank(prefix, engine));
        let count = home_count(0.3, engines.len());
        order.into_iter().take(count).cloned().collect()
    };
    let gone = &engines[7];
    let left: Vec<String> = engines.iter().filter(|id| *id != gone).cloned().collect();
    for number in 0..PREFIXES {
        let prefix = PrefixKey::of(&format!("part-{number}"));
        let before = homes(prefix, &engines);
        let after = homes(prefix, &left);
        let moved = after.difference(&before).count();
        assert_eq!(moved, usize::from(before.contains(gone)), "prefix {number}");
    }
}

#[test]
fn nodes_with_the_same_demand_compute_the_same_homes() {
    let mut first = PrefixDemand::default();
    let mut second = PrefixDemand::default();
    for number in 0..400 {
        let turn = turn(skewed_prefix(number));
        match number % 2 {
            0 => first.note_turn(&turn, ENGINES, START),
            _ => second.note_turn(&turn, ENGINES, START),
        }
    }
    let reports = [first.own_demand(), second.own_demand()];
    let [of_first, of_second] = reports;
    first.apply_peer_demand(START, NodeId::new("other"), of_second);
    second.apply_peer_demand(START, NodeId::new("one"), of_first);
    let later = START + Duration::from_secs(1);
    first.note_turn(&turn(0), ENGINES, later);
    second.note_turn(&turn(0), ENGINES, later);
    for prefix in 0..PREFIXES {
        let key = turn(prefix).prefix;
        let (first, second) = (first.home_fraction(key), second.home_fraction(key));
        assert!(
            (first - second).abs() < 1.0 / ENGINES as f64,
            "prefix {prefix}: {first} {second}"
        );
    }
}

#[test]
fn reported_demand_expires_and_prefixes_without_demand_are_dropped() {
    let mut demand = PrefixDemand::default();
    let mut peer = PrefixDemand::default();
    for _ in 0..100 {
        peer.note_turn(&turn(1), ENGINES, START);
        demand.note_turn(&turn(0), ENGINES, START);
    }
    demand.apply_peer_demand(START, NodeId::new("peer"), peer.own_demand());
    demand.note_turn(&turn(0), ENGINES, START + Duration::from_secs(1));
    assert_eq!(demand.len(), 2);
    demand.note_turn(&turn(0), ENGINES, START + Duration::from_secs(7));
    assert_eq!(demand.len(), 1);
    demand.note_turn(&turn(2), ENGINES, START + Duration::from_secs(600));
    assert_eq!(demand.len(), 1);
}

#[test]
fn the_number_of_prefixes_is_bounded() {
    let mut demand = PrefixDemand::default();
    for number in 0..5_000 {
        let now = START + Duration::from_millis(number);
        demand.note_turn(&turn(number), ENGINES, now);
    }
    assert!(demand.len() <= 1_024, "{}", demand.len());
}

#[test]
fn a_failing_or_draining_home_is_replaced() {
    let mut workers = all_engines(Policy::default());
    for number in 0..200 {
        workers.note_turn("engines", &turn(skewed_prefix(number)), START);
    }
    let first = chosen(&workers, "program", turn(12), START).expect("an engine");
    for _ in 0..3 {
        workers.note_failure(&first, START);
    }
    let second = chosen(&workers, "program", turn(12), START).expect("an engine");
    assert_ne!(first, second);
    let index = (0..ENGINES).find(|engine| record(*engine).id == second);
    workers.upsert(
        WorkerRecord {
            draining: true,
            ..record(index.expect("a known engine"))
        },
        START,
    );
    let third = chosen(&workers, "program", turn(12), START).expect("an engine");
    assert!(third != first && third != second);
}

/// An LRU cache of prefixes at an engine, the most recently used last.
#[derive(Default)]
struct Cache(VecDeque<PrefixKey>);

/// Number of prefixes that an engine caches beside its running requests.
const CACHED_PREFIXES: usize = 6;

impl Cache {
    /// Uses a prefix; returns whether it was not cached.
    fn read(&mut self, prefix: PrefixKey) -> bool {
        let position = self.0.iter().position(|known| *known == prefix);
        if let Some(index) = position {
            self.0.remove(index);
        }
        self.0.push_back(prefix);
        if self.0.len() > CACHED_PREFIXES {
            self.0.pop_front();
        }
        position.is_none()
    }
}

/// The result of a simulation.
#[derive(Debug)]
struct Outcome {
    /// Number of prefixes that engines had to read.
    reads: u32,
    /// Maximum number of concurrent turns at one engine.
    busiest: u32,
    /// Mean number of concurrent turns per engine.
    mean: f64,
}

/// Simulates bursts of turns at one node; each burst completes before the next.
fn simulate(policy: Policy) -> Outcome {
    const BURSTS: u64 = 60;
    const BURST: u64 = 250;
    let mut workers = all_engines(policy);
    let mut caches: BTreeMap<String, Cache> = BTreeMap::new();
    let mut outcome = Outcome {
        reads: 0,
        busiest: 0,
        mean: BURST as f64 / ENGINES as f64,
    };
    for burst in 0..BURSTS {
        let now = START + Duration::from_millis(burst * 400);
        let mut running: Vec<WorkerInstance> = Vec::new();
        for number in burst * BURST..(burst + 1) * BURST {
            let turn = turn(skewed_prefix(number));
            workers.note_turn("engines", &turn, now);
            let program = format!("program-{}", number / 4);
            let engine = chosen(&workers, &program, turn, now).expect("an engine");
            running.push(workers.note_start(&engine, now));
            outcome.reads += u32::from(caches.entry(engine).or_default().read(turn.prefix));
        }
        let busiest = running
            .iter()
            .filter_map(|instance| workers.get(&instance.id));
        outcome.busiest = outcome
            .busiest
            .max(busiest.map(|worker| worker.in_flight).max().unwrap_or(0));
        for instance in &running {
            workers.note_completion(instance);
        }
    }
    outcome
}

#[test]
fn homes_reduce_prefix_reads_without_overloading_an_engine() {
    let without_homes = Policy {
        part_homes: false,
        ..Policy::default()
    };
    let before = simulate(without_homes);
    let after = simulate(Policy {
        part_homes: true,
        ..without_homes
    });
    assert!(after.reads * 2 < before.reads, "{after:?} after {before:?}");
    assert!(f64::from(after.busiest) <= 3.0 * after.mean, "{after:?}");
}

#[test]
fn round_robin_reaches_all_in_the_minimum_number_of_rounds() {
    for (all, max) in [(1, 16), (16, 16), (26, 16), (48, 16), (52, 32), (200, 32)] {
        let mut round_robin = RoundRobin::default();
        let turns = usize::div_ceil(all, max);
        for round in 0..5 {
            let picked = (0..turns).flat_map(|_| round_robin.pick((0..all).collect(), max));
            let picked: BTreeSet<usize> = picked.collect();
            assert_eq!(picked.len(), all, "{all} by {max}, round {round}");
        }
    }
}

#[test]
fn requests_without_a_turn_have_no_homes() {
    let mut workers = all_engines(Policy::default());
    for number in 0..200 {
        workers.note_turn("engines", &turn(skewed_prefix(number)), START);
    }
    let query = |turn| PlacementQuery {
        service: "engines",
        key: Some("program"),
        zone: "a",
        repeatable: true,
        tried: &[],
        versions: VersionRule::Any,
        turn,
        seed: 1,
        is_connected: &|_| false,
    };
    let of_turn = choose(&workers, &query(Some(turn(12))), START).expect("an engine");
    assert_eq!(
        is_at_home(&workers, &query(Some(turn(12))), of_turn, START),
        Some(true)
    );
    let plain = choose(&workers, &query(None), START).expect("a worker");
    assert_eq!(is_at_home(&workers, &query(None), plain, START), None);
    assert_eq!(plain.record.zone, "a", "the own zone is preferred");
}
