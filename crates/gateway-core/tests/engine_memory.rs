//! What is read of the engines' memory, what is believed of it, and what becomes of turns.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_gateway_core::config::MemoryMoves;
use elderworks_gateway_core::engine_memory::fetching::{Fetch, FetchBook};
use elderworks_gateway_core::engine_memory::log::{EngineLog, LogChange};
use elderworks_gateway_core::engine_memory::readers::reader_of;
use elderworks_gateway_core::engine_memory::reading::{EngineReader, ReadOutcome, Step};
use elderworks_gateway_core::engine_memory::reporting::{MOST_ENGINES_TOLD, MemoryReporter};
use elderworks_gateway_core::engine_memory::snapshots::{
    BELIEF_LIFETIME, EngineMemories, Holding, MemorySnapshot,
};
use elderworks_gateway_core::engines::{MemoryEvent, MemoryEvents, MemoryListing};
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::placement::demand::{EngineTurn, PrefixKey};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::workers::{UpsertOutcome, WorkerDirectory, WorkerRecord};
use elderworks_types::{NodeId, Timestamp};
use proptest::prelude::*;

const START: Timestamp = Timestamp(1_000_000);
const PART_TOKENS: u64 = 12_600;
const SLOTS: u32 = 8;

fn at(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

fn event(part: &str, tokens: u64) -> MemoryEvent {
    MemoryEvent {
        part: part.to_owned(),
        tokens,
    }
}

fn events(epoch: u64, next: u64, list: &[(&str, u64)]) -> MemoryEvents {
    MemoryEvents {
        epoch,
        next,
        has_gap: false,
        events: list
            .iter()
            .map(|(part, tokens)| event(part, *tokens))
            .collect(),
    }
}

fn listing(epoch: u64, next: u64, list: &[(&str, u64)]) -> MemoryListing {
    MemoryListing {
        epoch,
        next,
        parts: events(epoch, next, list).events,
    }
}

fn key(part: &str) -> PrefixKey {
    PrefixKey::of(part)
}

#[test]
fn events_tell_what_is_kept_and_what_is_not() {
    let mut log = EngineLog::default();
    assert_eq!(log.held(key("a")), None, "nothing was read yet");
    let first = events(1, 2, &[("a", 100), ("b", 50)]);
    assert_eq!(log.take_events(&first), LogChange::Applied);
    assert_eq!(log.next(), 2);
    assert_eq!(log.held(key("a")), Some(100));
    assert_eq!(log.held(key("c")), Some(0), "all events were read");
    log.take_events(&events(1, 4, &[("a", 0), ("b", 80)]));
    assert_eq!(log.held(key("a")), Some(0));
    assert_eq!(log.held(key("b")), Some(80));
}

#[test]
fn an_engine_that_has_started_again_is_read_from_the_beginning() {
    let mut log = EngineLog::default();
    log.take_events(&events(1, 9, &[("a", 100)]));
    let answer = events(2, 12, &[("b", 100)]);
    assert_eq!(log.take_events(&answer), LogChange::Restarted);
    assert_eq!(log.next(), 0);
    assert_eq!(log.held(key("a")), None, "forgotten");
    log.take_events(&events(2, 1, &[("b", 100)]));
    assert_eq!(log.held(key("a")), Some(0));
    assert_eq!(log.held(key("b")), Some(100));
}

#[test]
fn after_a_gap_only_what_comes_anew_is_known_until_the_list_is_read() {
    let mut log = EngineLog::default();
    log.take_events(&events(1, 2, &[("a", 100), ("b", 50)]));
    let gap = MemoryEvents {
        has_gap: true,
        ..events(1, 40, &[("c", 70)])
    };
    assert_eq!(log.take_events(&gap), LogChange::Gap);
    assert_eq!(log.held(key("a")), None, "it may have been dropped");
    assert_eq!(log.held(key("c")), Some(70));
    assert_eq!(
        log.take_listing(&listing(1, 41, &[("b", 50)])),
        LogChange::Applied
    );
    assert_eq!(log.held(key("a")), Some(0));
    assert_eq!(log.held(key("b")), Some(50));
    assert_eq!(log.next(), 41);
}

#[test]
fn parts_of_one_engine_are_bounded() {
    let mut log = EngineLog::default();
    log.take_events(&events(1, 1, &[("long", PART_TOKENS)]));
    for number in 0..3_000 {
        log.take_events(&events(1, number + 2, &[(&format!("p{number}"), 10)]));
    }
    assert!(log.len() <= 1_024, "{}", log.len());
    assert_eq!(log.held(key("long")), Some(PART_TOKENS));
    assert_eq!(log.held(key("p0")), None, "what gave way is not known");
}

fn pause_of(step: Step) -> Duration {
    match step {
        Step::Pause(pause) => pause,
        Step::Events { .. } | Step::Listing => Duration::ZERO,
    }
}

#[test]
fn a_reader_goes_on_behind_what_it_has_read_after_a_pause() {
    let mut reader = EngineReader::new(7, START);
    assert_eq!(reader.next(START), Step::Events { since: 0 });
    let answer = ReadOutcome::Events(events(1, 5, &[("a", 100)]));
    reader.take(START, at(40), &answer);
    assert_eq!(reader.observed_at(), Some(START));
    let pause = pause_of(reader.next(at(40)));
    let range = Duration::from_millis(300)..=Duration::from_millis(375);
    assert!(range.contains(&pause), "{pause:?}");
    assert_eq!(reader.next(at(40) + pause), Step::Events { since: 5 });
}

#[test]
fn a_refused_call_is_made_again_later_and_later() {
    let mut reader = EngineReader::new(7, START);
    let mut now = START;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        reader.take(now, now, &ReadOutcome::Refused);
        let pause = pause_of(reader.next(now));
        pauses.push(pause);
        now = now + pause;
        assert_eq!(reader.next(now), Step::Events { since: 0 });
    }
    assert!(pauses[0] >= Duration::from_millis(500));
    assert!(pauses[2] >= Duration::from_secs(2), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause <= Duration::from_secs(10)));
    assert_eq!(reader.observed_at(), None);
    let answer = ReadOutcome::Events(events(1, 0, &[]));
    reader.take(now, now, &answer);
    reader.take(now, now, &ReadOutcome::Failed);
    assert!(pause_of(reader.next(now)) < Duration::from_secs(1), "anew");
}

#[test]
fn a_silent_engine_is_heard_no_later_than_the_last_call_that_it_answered() {
    let mut reader = EngineReader::new(1, START);
    reader.take(
        START,
        at(900),
        &ReadOutcome::Events(events(1, 1, &[("a", 9)])),
    );
    reader.take(at(1_500), at(3_100), &ReadOutcome::Failed);
    assert_eq!(reader.observed_at(), Some(START));
}

#[test]
fn a_gap_is_followed_by_one_list_and_lists_are_rare() {
    let mut reader = EngineReader::new(3, START);
    let gap = |next| {
        ReadOutcome::Events(MemoryEvents {
            has_gap: true,
            ..events(1, next, &[])
        })
    };
    reader.take(START, START, &gap(10));
    assert_eq!(reader.next(at(1_000)), Step::Listing);
    let list = ReadOutcome::Listing(listing(1, 10, &[("a", 5)]));
    reader.take(at(1_000), at(1_010), &list);
    assert_eq!(reader.next(at(2_000)), Step::Events { since: 10 });
    reader.take(at(2_000), at(2_010), &gap(30));
    assert_eq!(
        reader.next(at(3_000)),
        Step::Events { since: 30 },
        "too soon"
    );
    assert_eq!(reader.next(at(12_000)), Step::Listing);
    reader.take(at(12_000), at(12_000), &ReadOutcome::Failed);
    assert_eq!(reader.next(at(21_000)), Step::Events { since: 30 });
}

#[test]
fn lists_make_up_for_events_that_never_come() {
    let mut reader = EngineReader::new(3, START);
    reader.take(
        START,
        START,
        &ReadOutcome::Events(events(1, 1, &[("a", 5)])),
    );
    assert_eq!(reader.next(at(59_000)), Step::Events { since: 1 });
    assert_eq!(reader.next(at(60_000)), Step::Listing);
}

fn nodes(zones: &[&'static str]) -> Vec<(NodeId, &'static str)> {
    let numbered = zones.iter().enumerate();
    numbered
        .map(|(number, zone)| (NodeId::new(format!("n{number}")), *zone))
        .collect()
}

fn reader(engine: &str, zone: &str, nodes: &[(NodeId, &'static str)]) -> Option<NodeId> {
    let all = nodes.iter().map(|(node, zone)| (node, *zone));
    reader_of(WorkerKey::of(engine), zone, all).cloned()
}

#[test]
fn one_node_of_its_zone_reads_an_engine_and_another_takes_over() {
    let all = nodes(&["a", "a", "a", "a", "b", "b"]);
    for number in 0..50 {
        let engine = format!("engine-{number}");
        let first = reader(&engine, "a", &all).expect("a reader");
        assert!(all[..4].iter().any(|(node, _)| *node == first));
        let left: Vec<_> = all
            .iter()
            .filter(|(node, _)| *node != first)
            .cloned()
            .collect();
        let second = reader(&engine, "a", &left).expect("a reader");
        assert!(second != first && all[..4].iter().any(|(node, _)| *node == second));
        let others: Vec<_> = all
            .iter()
            .filter(|(node, _)| *node != second)
            .cloned()
            .collect();
        assert_eq!(
            reader(&engine, "a", &others),
            Some(first),
            "no other change"
        );
        assert!(reader(&engine, "c", &all).is_some(), "a zone without nodes");
    }
    assert_eq!(reader("engine", "a", &[]), None);
}

#[test]
fn readers_share_the_engines_of_their_zone() {
    let all = nodes(&["a"; 5]);
    let mut counts: BTreeMap<NodeId, u32> = BTreeMap::new();
    for number in 0..500 {
        let of = reader(&format!("engine-{number}"), "a", &all).expect("a reader");
        *counts.entry(of).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (60..=140).contains(count)),
        "{counts:?}"
    );
}

fn belief(born: u64, heard: Timestamp, parts: &[(&str, u64)]) -> MemorySnapshot {
    MemorySnapshot {
        born,
        observed_at: heard,
        prefixes: parts
            .iter()
            .map(|(part, tokens)| (key(part), *tokens))
            .collect(),
    }
}

#[test]
fn beliefs_have_an_age_and_a_start_that_they_are_about() {
    let engine = WorkerKey::of("engine");
    let mut memories = EngineMemories::default();
    let parts = [("a", PART_TOKENS), ("b", 100)];
    memories.take(engine, belief(5, START, &parts));
    let holding = |memories: &EngineMemories, born, part, now| {
        memories.holding(engine, born, key(part), PART_TOKENS, now)
    };
    assert_eq!(holding(&memories, 5, "a", START), Holding::Holds);
    assert_eq!(
        holding(&memories, 5, "b", START),
        Holding::Lacks,
        "a small piece"
    );
    assert_eq!(holding(&memories, 5, "c", START), Holding::Unknown);
    assert_eq!(
        holding(&memories, 6, "a", START),
        Holding::Unknown,
        "another start"
    );
    let old = START + BELIEF_LIFETIME;
    assert_eq!(holding(&memories, 5, "a", old), Holding::Unknown);
    memories.drop_old(old);
    assert!(memories.is_empty());
}

#[test]
fn an_older_word_does_not_take_the_place_of_a_later_one() {
    let engine = WorkerKey::of("engine");
    let mut memories = EngineMemories::default();
    assert!(memories.take(engine, belief(5, at(500), &[("a", 10)])));
    assert!(!memories.take(engine, belief(5, at(400), &[])));
    assert!(!memories.take(engine, belief(4, at(900), &[])));
    assert!(memories.take(engine, belief(6, at(100), &[])));
    assert_eq!(memories.held_prefixes(), 0);
}

#[test]
fn others_are_told_what_has_changed_and_now_and_then_the_rest() {
    let mut teller = MemoryReporter::default();
    let present = |heard, tokens| {
        let engine = WorkerKey::of("engine");
        BTreeMap::from([(engine, belief(1, heard, &[("a", tokens)]))])
    };
    assert_eq!(teller.due(START, present(START, 0)).len(), 1, "news");
    assert!(teller.due(at(300), present(at(200), 0)).is_empty());
    assert_eq!(
        teller.due(at(400), present(at(400), 9)).len(),
        1,
        "a change"
    );
    assert!(
        teller.due(at(500), present(at(500), 0)).is_empty(),
        "too soon"
    );
    assert_eq!(teller.due(at(700), present(at(700), 0)).len(), 1);
    assert_eq!(
        teller.due(at(5_000), present(at(4_900), 0)).len(),
        1,
        "again"
    );
    assert!(
        teller.due(at(60_000), present(at(4_900), 0)).is_empty(),
        "not heard"
    );
}

proptest! {
    #[test]
    fn what_is_told_is_bounded_and_nothing_waits_for_ever(engines in 1_usize..200) {
        let mut teller = MemoryReporter::default();
        let present: BTreeMap<WorkerKey, MemorySnapshot> = (0..engines)
            .map(|number| (WorkerKey::of(&number.to_string()), belief(1, START, &[("a", 1)])))
            .collect();
        let mut told = BTreeSet::new();
        for round in 0..engines.div_ceil(MOST_ENGINES_TOLD) {
            let now = at(250 * u64::try_from(round).expect("few"));
            let due = teller.due(now, present.clone());
            prop_assert!(due.len() <= MOST_ENGINES_TOLD);
            told.extend(due.into_iter().map(|(engine, _)| engine));
        }
        prop_assert_eq!(told.len(), present.len());
    }

    #[test]
    fn an_engine_takes_no_more_bytes_in_a_second_than_its_bound(
        calls in proptest::collection::vec((0_u64..3_000, 0_u32..40), 1..200)
    ) {
        let mut calls = calls;
        calls.sort_unstable();
        let engine = WorkerKey::of("engine");
        let mut book = FetchBook::default();
        let mut begun: Vec<(Timestamp, u64)> = Vec::new();
        for (millis, part) in calls {
            let fetch = Fetch { part: PrefixKey(part), tokens: PART_TOKENS, crosses_zones: false };
            if book.begin(engine, &fetch, &moves(), at(millis)) {
                begun.push((at(millis), fetch.bytes(&moves())));
            }
        }
        for (start, _) in &begun {
            let within = begun.iter().filter(|(at, _)| {
                *at >= *start && at.since(*start) < Duration::from_secs(1)
            });
            let bytes: u64 = within.map(|(_, bytes)| *bytes).sum();
            prop_assert!(bytes <= 2_000_000_000, "{}", bytes);
        }
    }
}

fn moves() -> MemoryMoves {
    MemoryMoves {
        token_bytes: 18_432,
        link_mbps: 1_100_000.0,
        ..MemoryMoves::NONE
    }
}

#[test]
fn a_fetch_pays_where_it_is_faster_by_enough_than_reading() {
    let long = Fetch {
        part: key("a"),
        tokens: PART_TOKENS,
        crosses_zones: false,
    };
    let moves = moves();
    assert!(long.pays(&moves));
    let near = long.transfer_time(&moves).expect("they pass memory on");
    let far = Fetch {
        crosses_zones: true,
        ..long
    };
    assert_eq!(far.transfer_time(&moves), Some(near * 2));
    let short = Fetch {
        tokens: 2_000,
        ..long
    };
    assert!(!short.pays(&moves), "it is read in 10 ms");
    let slow = MemoryMoves {
        link_mbps: 10_000.0,
        ..moves.clone()
    };
    assert!(!long.pays(&slow), "the link is slow");
    assert!(!long.pays(&MemoryMoves::NONE), "nothing is passed on");
}

#[test]
fn a_part_is_not_fetched_twice_within_a_moment() {
    let engine = WorkerKey::of("engine");
    let mut book = FetchBook::default();
    let fetch = |part| Fetch {
        part: key(part),
        tokens: PART_TOKENS,
        crosses_zones: false,
    };
    assert!(book.begin(engine, &fetch("a"), &moves(), START));
    assert!(!book.begin(engine, &fetch("a"), &moves(), at(1_900)));
    assert!(book.begin(engine, &fetch("b"), &moves(), at(1_900)));
    assert!(book.begin(engine, &fetch("a"), &moves(), at(2_000)));
}

fn turn(part: &str) -> EngineTurn {
    EngineTurn {
        prefix: key(part),
        prefix_tokens: PART_TOKENS,
        suffix_tokens: 2_000,
        max_output_tokens: 200,
        memory_tokens: 300_000,
        slots: SLOTS,
    }
}

const ENGINES: usize = 24;

fn record(number: usize) -> WorkerRecord {
    WorkerRecord {
        slots: SLOTS,
        address: ([10, 0, 0, u8::try_from(number).expect("few")], 80).into(),
        ..common::engine(&format!("engine-{number}"), ["a", "b"][number % 2])
    }
}

fn fleet(policy: Policy) -> WorkerDirectory {
    let mut workers = WorkerDirectory::new(policy);
    for number in 0..ENGINES {
        workers.upsert(record(number), START);
    }
    workers
}

/// Notes that one engine holds a part and all others lack it.
fn note_only_holder(workers: &mut WorkerDirectory, holder: &str, part: &str, now: Timestamp) {
    for number in 0..ENGINES {
        let id = record(number).id;
        let tokens = if id == holder { PART_TOKENS } else { 0 };
        workers.apply_memory_snapshot(WorkerKey::of(&id), belief(0, now, &[(part, tokens)]));
    }
}

#[test]
fn an_engine_that_has_started_again_is_known_to_hold_nothing() {
    let mut workers = fleet(Policy::default());
    let id = record(0).id;
    note_only_holder(&mut workers, &id, "a", START);
    let holding = |workers: &WorkerDirectory| {
        let worker = workers.get(&id).expect("known");
        workers.holding(worker, &turn("a"), START)
    };
    assert_eq!(holding(&workers), Holding::Holds);
    let reborn = WorkerRecord {
        born: 9,
        ..record(0)
    };
    assert_eq!(workers.upsert(reborn, START), UpsertOutcome::Restarted);
    assert_eq!(holding(&workers), Holding::Unknown);
    let key = WorkerKey::of(&id);
    workers.apply_memory_snapshot(key, belief(0, START, &[("a", PART_TOKENS)]));
    assert_eq!(
        holding(&workers),
        Holding::Unknown,
        "a word on the start before"
    );
    workers.apply_memory_snapshot(key, belief(9, START, &[("a", 0)]));
    assert_eq!(holding(&workers), Holding::Lacks);
}

#[test]
fn beliefs_on_engines_that_are_not_known_are_not_kept() {
    let mut workers = fleet(Policy::default());
    let taken =
        workers.apply_memory_snapshot(WorkerKey::of("stranger"), belief(0, START, &[("a", 1)]));
    assert!(!taken && workers.memories().is_empty());
}

#[test]
fn an_engine_that_lacks_a_part_takes_it_from_the_nearest_calm_holder() {
    let mut workers = fleet(Policy {
        prompt_fetches: true,
        ..Policy::default()
    });
    // Engines of even numbers lie in zone a.
    let source = |workers: &mut WorkerDirectory, id: &str, now| {
        let found = workers.prompt_source(id, &turn("a"), &moves(), now);
        found.map(|(address, _)| address)
    };
    assert_eq!(
        source(&mut workers, "engine-0", START),
        None,
        "nothing is known"
    );
    for (number, tokens) in [(0, 0), (1, PART_TOKENS), (2, PART_TOKENS), (4, PART_TOKENS)] {
        let engine = WorkerKey::of(&record(number).id);
        workers.apply_memory_snapshot(engine, belief(0, START, &[("a", tokens)]));
    }
    assert_eq!(
        source(&mut workers, "engine-2", START),
        None,
        "it holds the part"
    );
    workers.note_start("engine-2", START);
    assert_eq!(
        source(&mut workers, "engine-0", START),
        Some(record(4).address)
    );
    assert_eq!(source(&mut workers, "engine-0", at(100)), None, "just told");
    let old = START + BELIEF_LIFETIME;
    assert_eq!(
        source(&mut workers, "engine-0", old),
        None,
        "beliefs are old"
    );
    for number in [2, 4] {
        workers.upsert(
            WorkerRecord {
                draining: true,
                ..record(number)
            },
            START,
        );
    }
    assert_eq!(
        source(&mut workers, "engine-0", at(3_000)),
        Some(record(1).address)
    );
}
