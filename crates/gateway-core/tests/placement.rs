//! Placement of turns at engines: homes of the prompts' first parts, and a replay of their load.

mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose, is_at_home};
use elderworks_gateway_core::peer_loads::Rota;
use elderworks_gateway_core::placement::demand::{EngineTurn, PartDemand, PrefixKey};
use elderworks_gateway_core::placement::homes::{PartLoad, home_count, home_shares, place};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::workers::{WorkerDirectory, WorkerInstance, WorkerRecord};
use elderworks_types::{NodeId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);
const PART_TOKENS: u64 = 12_600;
const PRIVATE_TOKENS: u64 = 2_000;
const MEMORY_TOKENS: u64 = 240_000;
const SLOTS: u32 = 8;
const ENGINES: usize = 56;
const PARTS: u64 = 16;

fn turn(part: u64) -> EngineTurn {
    EngineTurn {
        prefix: PrefixKey::of(&format!("part-{part}")),
        prefix_tokens: PART_TOKENS,
        suffix_tokens: PRIVATE_TOKENS,
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

fn fleet(policy: Policy) -> WorkerDirectory {
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
        turn: Some(turn),
        seed: 1,
        is_connected: &|_| false,
    };
    choose(workers, &query, now).map(|worker| worker.record.id.clone())
}

/// Part of the number-th turn: the first parts are asked for most, as in a few large routes.
fn skewed_part(number: u64) -> u64 {
    let spread = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
    let unit = spread as f64 / (1u64 << 24) as f64;
    (unit * unit * PARTS as f64) as u64
}

#[test]
fn homes_fit_in_memory_and_follow_demand() {
    let weights = [100.0, 50.0, 10.0, 10.0, 10.0, 1.0, 0.1];
    for (room_parts, engines) in [(1.5, 56), (3.0, 56), (6.0, 122), (2.0, 8)] {
        let parts = weights.map(|weight| PartLoad {
            tokens: PART_TOKENS as f64,
            weight,
        });
        let shares = home_shares(&parts, room_parts * PART_TOKENS as f64, engines);
        let sum: f64 = shares.iter().sum();
        let fewest = 2.0 / engines as f64;
        let forced = fewest * weights.len() as f64;
        assert!(sum <= room_parts.max(forced) + 1e-3, "{room_parts}: {sum}");
        assert!(shares.is_sorted_by(|one, next| one >= next));
        assert!(shares.iter().all(|share| (fewest..=1.0).contains(share)));
    }
}

#[test]
fn parts_that_all_fit_are_at_home_everywhere() {
    let part = PartLoad {
        tokens: PART_TOKENS as f64,
        weight: 1.0,
    };
    let shares = home_shares(&[part, part], 3.0 * PART_TOKENS as f64, 10);
    assert_eq!(shares, [1.0, 1.0]);
}

#[test]
fn an_engine_that_goes_moves_only_its_own_parts() {
    let engines: Vec<String> = (0..ENGINES)
        .map(|engine| format!("engine-{engine}"))
        .collect();
    let homes = |part: PrefixKey, engines: &[String]| -> BTreeSet<String> {
        let mut order: Vec<&String> = engines.iter().collect();
        order.sort_by_key(|engine| place(part, engine));
        let count = home_count(0.3, engines.len());
        order.into_iter().take(count).cloned().collect()
    };
    let gone = &engines[7];
    let left: Vec<String> = engines.iter().filter(|id| *id != gone).cloned().collect();
    for number in 0..PARTS {
        let part = PrefixKey::of(&format!("part-{number}"));
        let before = homes(part, &engines);
        let after = homes(part, &left);
        let moved = after.difference(&before).count();
        assert_eq!(moved, usize::from(before.contains(gone)), "part {number}");
    }
}

#[test]
fn nodes_that_have_heard_of_the_same_demand_count_the_same_homes() {
    let mut one = PartDemand::default();
    let mut other = PartDemand::default();
    for number in 0..400 {
        let met = turn(skewed_part(number));
        match number % 2 {
            0 => one.note_turn(&met, ENGINES, START),
            _ => other.note_turn(&met, ENGINES, START),
        }
    }
    let told = [one.own_demand(), other.own_demand()];
    let [of_one, of_other] = told;
    one.take_told(START, NodeId::new("other"), of_other);
    other.take_told(START, NodeId::new("one"), of_one);
    let later = START + Duration::from_secs(1);
    one.note_turn(&turn(0), ENGINES, later);
    other.note_turn(&turn(0), ENGINES, later);
    for part in 0..PARTS {
        let key = turn(part).prefix;
        let (one, other) = (one.share(key), other.share(key));
        assert!(
            (one - other).abs() < 1.0 / ENGINES as f64,
            "part {part}: {one} {other}"
        );
    }
}

#[test]
fn demand_of_a_node_that_fell_silent_lapses_and_cold_parts_are_forgotten() {
    let mut demand = PartDemand::default();
    let mut peer = PartDemand::default();
    for _ in 0..100 {
        peer.note_turn(&turn(1), ENGINES, START);
        demand.note_turn(&turn(0), ENGINES, START);
    }
    demand.take_told(START, NodeId::new("peer"), peer.own_demand());
    demand.note_turn(&turn(0), ENGINES, START + Duration::from_secs(1));
    assert_eq!(demand.len(), 2);
    demand.note_turn(&turn(0), ENGINES, START + Duration::from_secs(7));
    assert_eq!(demand.len(), 1);
    demand.note_turn(&turn(2), ENGINES, START + Duration::from_secs(600));
    assert_eq!(demand.len(), 1);
}

#[test]
fn the_number_of_parts_is_bounded() {
    let mut demand = PartDemand::default();
    for number in 0..5_000 {
        let now = START + Duration::from_millis(number);
        demand.note_turn(&turn(number), ENGINES, now);
    }
    assert!(demand.len() <= 1_024, "{}", demand.len());
}

#[test]
fn a_home_that_fails_or_drains_hands_over() {
    let mut workers = fleet(Policy::default());
    for number in 0..200 {
        workers.note_turn("engines", &turn(skewed_part(number)), START);
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
            ..record(index.expect("of the fleet"))
        },
        START,
    );
    let third = chosen(&workers, "program", turn(12), START).expect("an engine");
    assert!(third != first && third != second);
}

/// The parts that an engine keeps, the latest last.
#[derive(Default)]
struct Kept(VecDeque<PrefixKey>);

/// Parts that an engine keeps beside the requests that it runs.
const KEPT_PARTS: usize = 6;

impl Kept {
    /// Whether the part had to be read.
    fn read(&mut self, part: PrefixKey) -> bool {
        let kept = self.0.iter().position(|known| *known == part);
        if let Some(index) = kept {
            self.0.remove(index);
        }
        self.0.push_back(part);
        if self.0.len() > KEPT_PARTS {
            self.0.pop_front();
        }
        kept.is_none()
    }
}

/// What a replay shows.
#[derive(Debug)]
struct Replay {
    read: u32,
    busiest: u32,
    mean: f64,
}

/// Bursts of turns on a fleet that is told its whole load; each burst ends before the next.
fn replay(policy: Policy) -> Replay {
    const BURSTS: u64 = 60;
    const BURST: u64 = 250;
    let mut workers = fleet(policy);
    let mut kept: BTreeMap<String, Kept> = BTreeMap::new();
    let mut seen = Replay {
        read: 0,
        busiest: 0,
        mean: BURST as f64 / ENGINES as f64,
    };
    for burst in 0..BURSTS {
        let now = START + Duration::from_millis(burst * 400);
        let mut running: Vec<WorkerInstance> = Vec::new();
        for number in burst * BURST..(burst + 1) * BURST {
            let turn = turn(skewed_part(number));
            workers.note_turn("engines", &turn, now);
            let program = format!("program-{}", number / 4);
            let engine = chosen(&workers, &program, turn, now).expect("an engine");
            running.push(workers.note_start(&engine, now));
            seen.read += u32::from(kept.entry(engine).or_default().read(turn.prefix));
        }
        let busiest = running.iter().filter_map(|life| workers.get(&life.id));
        seen.busiest = seen
            .busiest
            .max(busiest.map(|worker| worker.in_flight).max().unwrap_or(0));
        for life in &running {
            workers.note_completion(life);
        }
    }
    seen
}

#[test]
fn bursts_read_fewer_parts_again_and_crowd_no_engine() {
    let standing = Policy {
        part_homes: false,
        ..Policy::default()
    };
    let before = replay(standing);
    let after = replay(Policy {
        part_homes: true,
        ..standing
    });
    assert!(after.read * 2 < before.read, "{after:?} after {before:?}");
    assert!(f64::from(after.busiest) <= 3.0 * after.mean, "{after:?}");
}

#[test]
fn everyone_is_told_in_as_few_turns_as_it_takes() {
    for (all, most) in [(1, 16), (16, 16), (26, 16), (48, 16), (52, 32), (200, 32)] {
        let mut rota = Rota::default();
        let turns = usize::div_ceil(all, most);
        for round in 0..5 {
            let told = (0..turns).flat_map(|_| rota.pick((0..all).collect(), most));
            let told: BTreeSet<usize> = told.collect();
            assert_eq!(told.len(), all, "{all} by {most}, round {round}");
        }
    }
}

#[test]
fn plain_requests_have_no_homes() {
    let mut workers = fleet(Policy::default());
    for number in 0..200 {
        workers.note_turn("engines", &turn(skewed_part(number)), START);
    }
    let query = |turn| PlacementQuery {
        service: "engines",
        key: Some("program"),
        zone: "a",
        repeatable: true,
        tried: &[],
        turn,
        seed: 1,
        is_connected: &|_| false,
    };
    let of_turn = choose(&workers, &query(Some(turn(12))), START).expect("an engine");
    assert_eq!(
        is_at_home(&workers, &query(Some(turn(12))), of_turn),
        Some(true)
    );
    let plain = choose(&workers, &query(None), START).expect("a worker");
    assert_eq!(is_at_home(&workers, &query(None), plain), None);
    assert_eq!(plain.record.zone, "a", "zones go first without homes");
}
