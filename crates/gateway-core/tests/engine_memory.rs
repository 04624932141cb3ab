//! Reading the engines' memory, reporting it, and fetching prefixes between engines.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_gateway_core::config::MemoryMoves;
use elderworks_gateway_core::engine_memory::fetching::{Fetch, FetchLimiter};
use elderworks_gateway_core::engine_memory::log::{EngineLog, LogChange};
use elderworks_gateway_core::engine_memory::readers::reader_of;
use elderworks_gateway_core::engine_memory::reading::{EngineReader, ReadOutcome, Step};
use elderworks_gateway_core::engine_memory::reporting::{MAX_REPORTED_ENGINES, MemoryReporter};
use elderworks_gateway_core::engine_memory::snapshots::{
    EngineMemories, Holding, MemorySnapshot, SNAPSHOT_LIFETIME,
};
use elderworks_gateway_core::engines::{MemoryEvent, MemoryEvents, MemoryListing};
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::placement::demand::{EngineTurn, PrefixKey};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::workers::{UpsertOutcome, WorkerDirectory, WorkerRecord};
use elderworks_types::{NodeId, Timestamp};
use proptest::prelude::*;

const START: Timestamp = Timestamp(1_000_000);
const PREFIX_TOKENS: u64 = 12_600;
const SLOTS: u32 = 8;

fn at(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

fn event(prefix: &str, tokens: u64) -> MemoryEvent {
    MemoryEvent {
        part: prefix.to_owned(),
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
            .map(|(prefix, tokens)| event(prefix, *tokens))
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

fn key(prefix: &str) -> PrefixKey {
    PrefixKey::of(prefix)
}

#[test]
fn events_update_the_cached_prefixes() {
    let mut log = EngineLog::default();
    assert_eq!(log.held(key("a")), None, "nothing was read yet");
    let first = events(1, 2, &[("a", 100), ("b", 50)]);
    assert_eq!(log.apply_events(&first), LogChange::Applied);
    assert_eq!(log.next(), 2);
    assert_eq!(log.held(key("a")), Some(100));
    assert_eq!(log.held(key("c")), Some(0), "all events were read");
    log.apply_events(&events(1, 4, &[("a", 0), ("b", 80)]));
    assert_eq!(log.held(key("a")), Some(0));
    assert_eq!(log.held(key("b")), Some(80));
}

#[test]
fn a_restarted_engine_is_read_from_the_beginning() {
    let mut log = EngineLog::default();
    log.apply_events(&events(1, 9, &[("a", 100)]));
    let answer = events(2, 12, &[("b", 100)]);
    assert_eq!(log.apply_events(&answer), LogChange::Restarted);
    assert_eq!(log.next(), 0);
    assert_eq!(log.held(key("a")), None, "forgotten");
    log.apply_events(&events(2, 1, &[("b", 100)]));
    assert_eq!(log.held(key("a")), Some(0));
    assert_eq!(log.held(key("b")), Some(100));
}

#[test]
fn after_a_gap_only_later_events_are_known_until_the_next_listing() {
    let mut log = EngineLog::default();
    log.apply_events(&events(1, 2, &[("a", 100), ("b", 50)]));
    let gap = MemoryEvents {
        has_gap: true,
        ..events(1, 40, &[("c", 70)])
    };
    assert_eq!(log.apply_events(&gap), LogChange::Gap);
    assert_eq!(log.held(key("a")), None, "it may have been evicted");
    assert_eq!(log.held(key("c")), Some(70));
    assert_eq!(
        log.apply_listing(&listing(1, 41, &[("b", 50)])),
        LogChange::Applied
    );
    assert_eq!(log.held(key("a")), Some(0));
    assert_eq!(log.held(key("b")), Some(50));
    assert_eq!(log.next(), 41);
}

#[test]
fn the_prefixes_of_an_engine_are_bounded() {
    let mut log = EngineLog::default();
    log.apply_events(&events(1, 1, &[("long", PREFIX_TOKENS)]));
    for number in 0..3_000 {
        log.apply_events(&events(1, number + 2, &[(&format!("p{number}"), 10)]));
    }
    assert!(log.len() <= 1_024, "{}", log.len());
    assert_eq!(log.held(key("long")), Some(PREFIX_TOKENS));
    assert_eq!(log.held(key("p0")), None, "dropped from the log");
}

fn pause_of(step: Step) -> Duration {
    match step {
        Step::Pause(pause) => pause,
        Step::Events { .. } | Step::Listing => Duration::ZERO,
    }
}

#[test]
fn a_reader_continues_after_its_last_event_with_a_pause() {
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
fn refused_calls_are_retried_with_backoff() {
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
    assert!(pause_of(reader.next(now)) < Duration::from_secs(1), "reset");
}

#[test]
fn observation_times_are_those_of_successful_calls() {
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
fn a_gap_causes_one_listing_and_listings_are_rate_limited() {
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
fn listings_are_repeated_without_gaps() {
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
fn an_engine_is_read_by_one_node_of_its_zone_and_another_takes_over() {
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
            "the first reader is still preferred"
        );
        assert!(reader(&engine, "c", &all).is_some(), "a zone without nodes");
    }
    assert_eq!(reader("engine", "a", &[]), None);
}

#[test]
fn engines_are_divided_evenly_between_readers() {
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

fn snapshot(born: u64, observed_at: Timestamp, parts: &[(&str, u64)]) -> MemorySnapshot {
    MemorySnapshot {
        born,
        observed_at,
        prefixes: parts
            .iter()
            .map(|(prefix, tokens)| (key(prefix), *tokens))
            .collect(),
    }
}

#[test]
fn snapshots_expire_and_belong_to_one_start_of_the_engine() {
    let engine = WorkerKey::of("engine");
    let mut memories = EngineMemories::default();
    let parts = [("a", PREFIX_TOKENS), ("b", 100)];
    memories.update(engine, snapshot(5, START, &parts));
    let holding = |memories: &EngineMemories, born, prefix, now| {
        memories.holding(engine, born, key(prefix), PREFIX_TOKENS, now)
    };
    assert_eq!(holding(&memories, 5, "a", START), Holding::Holds);
    assert_eq!(
        holding(&memories, 5, "b", START),
        Holding::Lacks,
        "too few tokens"
    );
    assert_eq!(holding(&memories, 5, "c", START), Holding::Unknown);
    assert_eq!(
        holding(&memories, 6, "a", START),
        Holding::Unknown,
        "another start"
    );
    let old = START + SNAPSHOT_LIFETIME;
    assert_eq!(holding(&memories, 5, "a", old), Holding::Unknown);
    memories.drop_old(old);
    assert!(memories.is_empty());
}

#[test]
fn older_snapshots_do_not_replace_newer_ones() {
    let engine = WorkerKey::of("engine");
    let mut memories = EngineMemories::default();
    assert!(memories.update(engine, snapshot(5, at(500), &[("a", 10)])));
    assert!(!memories.update(engine, snapshot(5, at(400), &[])));
    assert!(!memories.update(engine, snapshot(4, at(900), &[])));
    assert!(memories.update(engine, snapshot(6, at(100), &[])));
    assert_eq!(memories.held_prefixes(), 0);
}

#[test]
fn changes_are_reported_soon_and_unchanged_snapshots_periodically() {
    let mut reporter = MemoryReporter::default();
    let present = |observed_at, tokens| {
        let engine = WorkerKey::of("engine");
        BTreeMap::from([(engine, snapshot(1, observed_at, &[("a", tokens)]))])
    };
    assert_eq!(reporter.due(START, present(START, 0)).len(), 1, "new");
    assert!(reporter.due(at(300), present(at(200), 0)).is_empty());
    assert_eq!(
        reporter.due(at(400), present(at(400), 9)).len(),
        1,
        "a change"
    );
    assert!(
        reporter.due(at(500), present(at(500), 0)).is_empty(),
        "too soon"
    );
    assert_eq!(reporter.due(at(700), present(at(700), 0)).len(), 1);
    assert_eq!(
        reporter.due(at(5_000), present(at(4_900), 0)).len(),
        1,
        "repeated"
    );
    assert!(
        reporter.due(at(60_000), present(at(4_900), 0)).is_empty(),
        "not observed since"
    );
}

proptest! {
    #[test]
    fn reports_are_bounded_and_cover_all_engines(engines in 1_usize..200) {
        let mut reporter = MemoryReporter::default();
        let present: BTreeMap<WorkerKey, MemorySnapshot> = (0..engines)
            .map(|number| (WorkerKey::of(&number.to_string()), snapshot(1, START, &[("a", 1)])))
            .collect();
        let mut reported = BTreeSet::new();
        for round in 0..engines.div_ceil(MAX_REPORTED_ENGINES) {
            let now = at(250 * u64::try_from(round).expect("few"));
            let due = reporter.due(now, present.clone());
            prop_assert!(due.len() <= MAX_REPORTED_ENGINES);
            reported.extend(due.into_iter().map(|(engine, _)| engine));
        }
        prop_assert_eq!(reported.len(), present.len());
    }

    #[test]
    fn the_bytes_fetched_per_second_are_bounded(
        calls in proptest::collection::vec((0_u64..3_000, 0_u32..40), 1..200)
    ) {
        let mut calls = calls;
        calls.sort_unstable();
        let engine = WorkerKey::of("engine");
        let mut limiter = FetchLimiter::default();
        let mut started: Vec<(Timestamp, u64)> = Vec::new();
        for (millis, prefix) in calls {
            let fetch = Fetch { prefix: PrefixKey(prefix), tokens: PREFIX_TOKENS, crosses_zones: false };
            if limiter.try_start(engine, &fetch, &moves(), at(millis)) {
                started.push((at(millis), fetch.bytes(&moves())));
            }
        }
        for (start, _) in &started {
            let within = started.iter().filter(|(at, _)| {
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
fn a_fetch_is_used_only_if_it_saves_enough_time() {
    let long = Fetch {
        prefix: key("a"),
        tokens: PREFIX_TOKENS,
        crosses_zones: false,
    };
    let moves = moves();
    assert!(long.saves_time(&moves));
    let near = long.transfer_time(&moves).expect("transfers are supported");
    let far = Fetch {
        crosses_zones: true,
        ..long
    };
    assert_eq!(far.transfer_time(&moves), Some(near * 2));
    let short = Fetch {
        tokens: 2_000,
        ..long
    };
    assert!(!short.saves_time(&moves), "read in 10 ms");
    let slow = MemoryMoves {
        link_mbps: 10_000.0,
        ..moves.clone()
    };
    assert!(!long.saves_time(&slow), "slow link");
    assert!(
        !long.saves_time(&MemoryMoves::NONE),
        "transfers are unsupported"
    );
}

#[test]
fn a_prefix_is_not_fetched_again_immediately() {
    let engine = WorkerKey::of("engine");
    let mut limiter = FetchLimiter::default();
    let fetch = |prefix| Fetch {
        prefix: key(prefix),
        tokens: PREFIX_TOKENS,
        crosses_zones: false,
    };
    assert!(limiter.try_start(engine, &fetch("a"), &moves(), START));
    assert!(!limiter.try_start(engine, &fetch("a"), &moves(), at(1_900)));
    assert!(limiter.try_start(engine, &fetch("b"), &moves(), at(1_900)));
    assert!(limiter.try_start(engine, &fetch("a"), &moves(), at(2_000)));
}

fn turn(prefix: &str) -> EngineTurn {
    EngineTurn {
        prefix: key(prefix),
        prefix_tokens: PREFIX_TOKENS,
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

fn all_engines(policy: Policy) -> WorkerDirectory {
    let mut workers = WorkerDirectory::new(policy);
    for number in 0..ENGINES {
        workers.upsert(record(number), START);
    }
    workers
}

/// Stores snapshots in which only one engine holds a prefix.
fn note_only_holder(workers: &mut WorkerDirectory, holder: &str, prefix: &str, now: Timestamp) {
    for number in 0..ENGINES {
        let id = record(number).id;
        let tokens = if id == holder { PREFIX_TOKENS } else { 0 };
        workers.apply_memory_snapshot(WorkerKey::of(&id), snapshot(0, now, &[(prefix, tokens)]));
    }
}

#[test]
fn a_restarted_engine_has_no_snapshot() {
    let mut workers = all_engines(Policy::default());
    let id = record(0).id;
    note_only_holder(&mut workers, &id, "a", START);
    let holding = |workers: &WorkerDirectory| {
        let worker = workers.get(&id).expect("known");
        workers.holding(worker, &turn("a"), START)
    };
    assert_eq!(holding(&workers), Holding::Holds);
    let restarted = WorkerRecord {
        born: 9,
        ..record(0)
    };
    assert_eq!(workers.upsert(restarted, START), UpsertOutcome::Restarted);
    assert_eq!(holding(&workers), Holding::Unknown);
    let key = WorkerKey::of(&id);
    workers.apply_memory_snapshot(key, snapshot(0, START, &[("a", PREFIX_TOKENS)]));
    assert_eq!(
        holding(&workers),
        Holding::Unknown,
        "a snapshot of the earlier start"
    );
    workers.apply_memory_snapshot(key, snapshot(9, START, &[("a", 0)]));
    assert_eq!(holding(&workers), Holding::Lacks);
}

#[test]
fn snapshots_of_unknown_engines_are_ignored() {
    let mut workers = all_engines(Policy::default());
    let was_stored =
        workers.apply_memory_snapshot(WorkerKey::of("stranger"), snapshot(0, START, &[("a", 1)]));
    assert!(!was_stored && workers.memories().is_empty());
}

#[test]
fn missing_prefixes_are_fetched_from_the_nearest_least_loaded_engine() {
    let mut workers = all_engines(Policy {
        prompt_fetches: true,
        ..Policy::default()
    });
    // Engines with even numbers are in zone `a`.
    let source = |workers: &mut WorkerDirectory, id: &str, now| {
        let found = workers.prompt_source(id, &turn("a"), &moves(), now);
        found.map(|(address, _)| address)
    };
    assert_eq!(
        source(&mut workers, "engine-0", START),
        None,
        "no snapshots"
    );
    for (number, tokens) in [
        (0, 0),
        (1, PREFIX_TOKENS),
        (2, PREFIX_TOKENS),
        (4, PREFIX_TOKENS),
    ] {
        let engine = WorkerKey::of(&record(number).id);
        workers.apply_memory_snapshot(engine, snapshot(0, START, &[("a", tokens)]));
    }
    assert_eq!(
        source(&mut workers, "engine-2", START),
        None,
        "it holds the prefix"
    );
    workers.note_start("engine-2", START);
    assert_eq!(
        source(&mut workers, "engine-0", START),
        Some(record(4).address)
    );
    assert_eq!(source(&mut workers, "engine-0", at(100)), None, "repeated");
    let old = START + SNAPSHOT_LIFETIME;
    assert_eq!(
        source(&mut workers, "engine-0", old),
        None,
        "expired snapshots"
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
