//! Placement across zones: what keeps a turn near, what sends it away, and a zone that is lost.

mod common;

use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::placement::demand::{EngineTurn, PrefixKey};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::workers::{WorkerDirectory, WorkerInstance, WorkerRecord};
use elderworks_types::Timestamp;

const START: Timestamp = Timestamp(1_000_000);
const SLOTS: u32 = 8;
const PART_TOKENS: u64 = 12_600;

/// Six parts fit beside running turns in each engine's memory, sixteen do not.
const MEMORY_TOKENS: u64 = 300_000;
const FEW_PARTS: u64 = 6;
const MANY_PARTS: u64 = 16;

fn turn(part: u64) -> EngineTurn {
    EngineTurn {
        prefix: PrefixKey::of(&format!("part-{part}")),
        prefix_tokens: PART_TOKENS,
        suffix_tokens: 2_000,
        max_output_tokens: 200,
        memory_tokens: MEMORY_TOKENS,
        slots: SLOTS,
    }
}

/// So many engines in each zone, which are named by letters; the node is in zone `a`.
fn fleet(policy: Policy, sizes: &[usize]) -> WorkerDirectory {
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

fn chosen(workers: &WorkerDirectory, program: &str, part: u64, now: Timestamp) -> String {
    let query = PlacementQuery {
        service: "engines",
        key: Some(program),
        zone: "a",
        repeatable: false,
        tried: &[],
        turn: Some(turn(part)),
        seed: 1,
        is_connected: &|_| false,
    };
    let worker = choose(workers, &query, now).expect("an engine");
    worker.record.id.clone()
}

/// What a load of turns at one node comes to.
#[derive(Debug)]
struct Replay {
    /// Turns that went to another zone.
    crossed: usize,
    /// Most turns that ran at one engine at once.
    busiest: u32,
}

/// So many turns that all run at once, of programs that ask for each part alike.
fn replay(policy: Policy, sizes: &[usize], parts: u64, turns: u64) -> Replay {
    let mut workers = fleet(policy, sizes);
    let mut running: Vec<WorkerInstance> = Vec::new();
    for number in 0..turns {
        let part = number % parts;
        workers.note_turn("engines", &turn(part), START);
        let engine = chosen(&workers, &format!("program-{number}"), part, START);
        running.push(workers.note_start(&engine, START));
    }
    let load = |life: &WorkerInstance| workers.get(&life.id).map_or(0, |worker| worker.in_flight);
    Replay {
        crossed: running
            .iter()
            .filter(|life| !life.id.starts_with('a'))
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
fn turns_cross_zones_for_room_and_for_memory_alone() {
    // Sizes of zones, parts, turns at once; whether many of them cross with and without the mechanism.
    for (sizes, parts, turns, crosses_with, crosses_without) in [
        ([11, 11, 11, 12], FEW_PARTS, 20, false, true),
        // Half of the parts would have to be read again near by.
        ([11, 11, 11, 12], MANY_PARTS, 20, true, true),
        // The own zone is small: most go where there is room.
        ([2, 15, 14, 14], FEW_PARTS, 60, true, true),
    ] {
        let with = replay(near_homes(true), &sizes, parts, turns);
        let without = replay(near_homes(false), &sizes, parts, turns);
        let many = usize::try_from(turns / 4).expect("few turns");
        assert_eq!(
            with.crossed > many,
            crosses_with,
            "{sizes:?} {parts}: {with:?}"
        );
        assert_eq!(
            without.crossed > many,
            crosses_without,
            "{sizes:?} {parts}: {without:?}"
        );
    }
}

#[test]
fn a_calm_zone_keeps_all_its_turns_and_a_small_one_is_not_crowded() {
    let calm = replay(near_homes(true), &[11, 11, 11, 12], FEW_PARTS, 20);
    assert_eq!(calm.crossed, 0, "{calm:?}");
    let small = replay(near_homes(true), &[2, 15, 14, 14], FEW_PARTS, 60);
    // Its engines take a quarter of their slots more than the mean, each turn decided on the load
    // before it, and those of the bound on one engine's load above that.
    let policy = Policy::default();
    let most = policy.calm_share * f64::from(SLOTS) + 1.0;
    assert!(f64::from(small.busiest) <= most, "{small:?}");
}

/// Part of programs whose turns go to zone `b`.
fn share_of_b(workers: &WorkerDirectory, now: Timestamp) -> f64 {
    const PROGRAMS: u32 = 400;
    let to_b = (0..PROGRAMS)
        .filter(|number| chosen(workers, &format!("program-{number}"), 0, now).starts_with('b'));
    to_b.count() as f64 / f64::from(PROGRAMS)
}

#[test]
fn a_zone_whose_engines_fall_silent_together_gets_nothing_and_then_its_share_by_degrees() {
    // No zone goes before the others, so that all see turns of this node.
    let policy = Policy {
        near_workers: false,
        ..Policy::default()
    };
    let mut workers = fleet(policy, &[10, 10, 10]);
    let before = share_of_b(&workers, START);
    assert!((0.2..0.5).contains(&before), "{before}");

    for number in 0..3 {
        workers.note_failure(&format!("b-{number}"), START);
    }
    assert_eq!(
        share_of_b(&workers, START),
        0.0,
        "one failure each does not eject"
    );

    let back = START + Duration::from_millis(700);
    workers.note_response("b-9", back);
    let after = |ms| share_of_b(&workers, back + Duration::from_millis(ms));
    let shares = [0, 500, 1_000, 1_500, 2_000].map(after);
    assert!(shares.is_sorted(), "{shares:?}");
    assert!(shares[0] < 0.02 && shares[2] < before * 0.8, "{shares:?}");
    assert!((shares[4] - before).abs() < 0.02, "{shares:?}");
}

#[test]
fn engines_of_a_suspected_zone_are_used_when_there_is_no_other() {
    let mut workers = fleet(Policy::default(), &[0, 4]);
    for number in 0..3 {
        workers.note_failure(&format!("b-{number}"), START);
    }
    let engine = chosen(&workers, "program", 0, START);
    assert!(engine.starts_with('b'));
}
