//! Placement across zones: when turns leave the node's own zone, and suspected zones.

mod common;

use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::placement::demand::{EngineTurn, PrefixKey};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::stream_versions::VersionRule;
use elderworks_gateway_core::workers::{WorkerDirectory, WorkerInstance, WorkerRecord};
use elderworks_types::Timestamp;

const START: Timestamp = Timestamp(1_000_000);
const SLOTS: u32 = 8;
const PREFIX_TOKENS: u64 = 12_600;

/// Capacity of an engine's memory: six prefixes fit beside running turns, sixteen don't.
const MEMORY_TOKENS: u64 = 300_000;
const FEW_PREFIXES: u64 = 6;
const MANY_PREFIXES: u64 = 16;

fn turn(prefix: u64) -> EngineTurn {
    EngineTurn {
        prefix: PrefixKey::of(&format!("part-{prefix}")),
        prefix_tokens: PREFIX_TOKENS,
        suffix_tokens: 2_000,
        max_output_tokens: 200,
        memory_tokens: MEMORY_TOKENS,
        slots: SLOTS,
    }
}

/// Returns a directory with the given number of engines in zones `a` to `d`, of a node in zone `a`.
fn workers_in_zones(policy: Policy, sizes: &[usize]) -> WorkerDirectory {
    let mut workers = WorkerDirectory::new(policy).with_own_zone("a");
    for (zone, size) in ["a", "b", "c", "d"].into_iter().zip(sizes) {
        for number in 0..*size {
            let id = format!("{zone}-{number}");
            let record = WorkerRecord {
                slots: SLOTS,
                ..common::engine(&id, zone)
            };
            workers.upsert(record, START);
        }
    }
    workers
}

fn chosen(workers: &WorkerDirectory, program: &str, prefix: u64, now: Timestamp) -> String {
    let query = PlacementQuery {
        service: "engines",
        key: Some(program),
        zone: "a",
        repeatable: false,
        tried: &[],
        versions: VersionRule::Any,
        turn: Some(turn(prefix)),
        seed: 1,
        is_connected: &|_| false,
    };
    let worker = choose(workers, &query, now).expect("an engine");
    worker.record.id.clone()
}

/// The result of a simulated load.
#[derive(Debug)]
struct Outcome {
    /// Number of turns that were placed in another zone.
    placed_elsewhere: usize,
    /// Maximum number of concurrent turns at one engine.
    busiest: u32,
}

/// Places concurrent turns of different programs, evenly distributed over the prefixes.
fn simulate(policy: Policy, sizes: &[usize], prefixes: u64, turns: u64) -> Outcome {
    let mut workers = workers_in_zones(policy, sizes);
    let mut running: Vec<WorkerInstance> = Vec::new();
    for number in 0..turns {
        let prefix = number % prefixes;
        workers.note_turn("engines", &turn(prefix), START);
        let engine = chosen(&workers, &format!("program-{number}"), prefix, START);
        running.push(workers.note_start(&engine, START));
    }
    let load = |instance: &WorkerInstance| {
        workers
            .get(&instance.id)
            .map_or(0, |worker| worker.in_flight)
    };
    Outcome {
        placed_elsewhere: running
            .iter()
            .filter(|instance| !instance.id.starts_with('a'))
            .count(),
        busiest: running.iter().map(load).max().unwrap_or(0),
    }
}

fn near_homes(near_homes: bool) -> Policy {
    Policy {
        near_homes,
        ..Policy::default()
    }
}

#[test]
fn turns_cross_zones_only_for_capacity_or_cached_prefixes() {
    // Zone sizes, prefixes, turns, and whether many turns cross zones with and without `near_homes`.
    for (sizes, prefixes, turns, crosses_with, crosses_without) in [
        ([11, 11, 11, 12], FEW_PREFIXES, 20, false, true),
        // The own zone's engines don't have memory for all prefixes.
        ([11, 11, 11, 12], MANY_PREFIXES, 20, true, true),
        // The own zone has too few engines.
        ([2, 15, 14, 14], FEW_PREFIXES, 60, true, true),
    ] {
        let with = simulate(near_homes(true), &sizes, prefixes, turns);
        let without = simulate(near_homes(false), &sizes, prefixes, turns);
        let many = usize::try_from(turns / 4).expect("few turns");
        assert_eq!(
            with.placed_elsewhere > many,
            crosses_with,
            "{sizes:?} {prefixes}: {with:?}"
        );
        assert_eq!(
            without.placed_elsewhere > many,
            crosses_without,
            "{sizes:?} {prefixes}: {without:?}"
        );
    }
}

#[test]
fn a_zone_with_capacity_keeps_its_turns_and_a_small_one_is_not_overloaded() {
    let lightly_loaded = simulate(near_homes(true), &[11, 11, 11, 12], FEW_PREFIXES, 20);
    assert_eq!(lightly_loaded.placed_elsewhere, 0, "{lightly_loaded:?}");
    let small = simulate(near_homes(true), &[2, 15, 14, 14], FEW_PREFIXES, 60);
    // Each placement is based on the load before it, so the bound may be exceeded by one turn.
    let policy = Policy::default();
    let max = policy.calm_share * f64::from(SLOTS) + 1.0;
    assert!(f64::from(small.busiest) <= max, "{small:?}");
}

/// Returns the fraction of programs whose turns are placed in zone `b`.
fn fraction_in_b(workers: &WorkerDirectory, now: Timestamp) -> f64 {
    const PROGRAMS: u32 = 400;
    let to_b = (0..PROGRAMS)
        .filter(|number| chosen(workers, &format!("program-{number}"), 0, now).starts_with('b'));
    to_b.count() as f64 / f64::from(PROGRAMS)
}

#[test]
fn a_suspected_zone_gets_no_turns_and_then_gradually_its_fraction() {
    // Without a preferred zone, all zones get turns of this node.
    let policy = Policy {
        near_workers: false,
        ..Policy::default()
    };
    let mut workers = workers_in_zones(policy, &[10, 10, 10]);
    let before = fraction_in_b(&workers, START);
    assert!((0.2..0.5).contains(&before), "{before}");

    for number in 0..3 {
        workers.note_failure(&format!("b-{number}"), START);
    }
    assert_eq!(
        fraction_in_b(&workers, START),
        0.0,
        "no worker is ejected, but the zone is suspected"
    );

    let back = START + Duration::from_millis(700);
    workers.note_response("b-9", back);
    let after = |ms| fraction_in_b(&workers, back + Duration::from_millis(ms));
    let fractions = [0, 500, 1_000, 1_500, 2_000].map(after);
    assert!(fractions.is_sorted(), "{fractions:?}");
    assert!(
        fractions[0] < 0.02 && fractions[2] < before * 0.8,
        "{fractions:?}"
    );
    assert!((fractions[4] - before).abs() < 0.02, "{fractions:?}");
}

#[test]
fn engines_of_a_suspected_zone_are_used_if_there_is_no_other() {
    let mut workers = workers_in_zones(Policy::default(), &[0, 4]);
    for number in 0..3 {
        workers.note_failure(&format!("b-{number}"), START);
    }
    let engine = chosen(&workers, "program", 0, START);
    assert!(engine.starts_with('b'));
}
