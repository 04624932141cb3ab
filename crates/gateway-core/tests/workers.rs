//! The worker directory and the choice of workers.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::peer_loads::{REPORT_LIFETIME, WorkerKey};
use elderworks_gateway_core::stream_versions::VersionRule;
use elderworks_gateway_core::workers::{
    UpsertOutcome, WorkerDirectory, WorkerRecord, max_idle_connections,
};
use elderworks_types::{NodeId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn record(id: &str, zone: &str) -> WorkerRecord {
    WorkerRecord {
        slots: 2,
        ..common::engine(id, zone)
    }
}

fn directory(ids: &[&str]) -> WorkerDirectory {
    let mut workers = WorkerDirectory::default();
    for id in ids {
        workers.upsert(record(id, "a"), START);
    }
    workers
}

fn query<'a>(key: Option<&'a str>, tried: &'a [String]) -> PlacementQuery<'a> {
    PlacementQuery {
        service: "engines",
        key,
        zone: "a",
        repeatable: true,
        tried,
        versions: VersionRule::Any,
        turn: None,
        seed: 1,
        is_connected: &|_| false,
    }
}

fn chosen(workers: &WorkerDirectory, key: Option<&str>, tried: &[String]) -> Option<String> {
    choose(workers, &query(key, tried), START).map(|worker| worker.record.id.clone())
}

#[test]
fn a_program_uses_the_same_worker_from_every_node() {
    let one = directory(&["w1", "w2", "w3", "w4"]);
    let other = directory(&["w4", "w2", "w1", "w3"]);
    for program in ["p1", "p2", "p3", "p4", "p5"] {
        assert_eq!(
            chosen(&one, Some(program), &[]),
            chosen(&other, Some(program), &[]),
            "{program}"
        );
    }
}

#[test]
fn programs_are_distributed_over_the_workers() {
    let workers = directory(&["w1", "w2", "w3", "w4"]);
    let chosen_workers: BTreeSet<String> = (0..64)
        .filter_map(|number| chosen(&workers, Some(&format!("program-{number}")), &[]))
        .collect();
    assert_eq!(chosen_workers.len(), 4);
}

#[test]
fn a_full_worker_is_skipped_until_its_requests_complete() {
    let mut workers = directory(&["w1", "w2", "w3"]);
    let first = chosen(&workers, Some("p"), &[]).expect("a worker");
    let instances = [
        workers.note_start(&first, START),
        workers.note_start(&first, START),
    ];
    assert_ne!(chosen(&workers, Some("p"), &[]), Some(first.clone()));
    for instance in &instances {
        workers.note_completion(instance);
    }
    assert_eq!(chosen(&workers, Some("p"), &[]), Some(first));
}

#[test]
fn a_tried_worker_is_used_only_if_there_is_no_other() {
    let workers = directory(&["w1", "w2"]);
    let tried = vec!["w1".to_owned()];
    assert_eq!(chosen(&workers, None, &tried).as_deref(), Some("w2"));
    let all = vec!["w1".to_owned(), "w2".to_owned()];
    assert!(chosen(&workers, None, &all).is_some());
}

#[test]
fn the_own_zone_is_preferred_for_requests_without_a_key() {
    let mut workers = WorkerDirectory::default();
    workers.upsert(record("far", "b"), START);
    workers.upsert(record("near", "a"), START);
    for seed in 0..20 {
        let query = PlacementQuery {
            seed,
            ..query(None, &[])
        };
        let worker = choose(&workers, &query, START).expect("a worker");
        assert_eq!(worker.record.id, "near");
    }
}

/// Applies another node's report of its requests in flight.
fn report_load(workers: &mut WorkerDirectory, now: Timestamp, node: &str, counts: &[(&str, u32)]) {
    let counts = counts.iter().map(|(id, count)| (WorkerKey::of(id), *count));
    workers.apply_peer_load(now, NodeId::new(node), counts.collect());
}

/// Returns the number of programs, of 64, that each worker is chosen for.
fn programs_by_worker(workers: &WorkerDirectory) -> BTreeMap<String, u32> {
    let mut chosen_workers = BTreeMap::new();
    for number in 0..64 {
        let worker = chosen(workers, Some(&format!("program-{number}")), &[]);
        *chosen_workers.entry(worker.expect("a worker")).or_default() += 1;
    }
    chosen_workers
}

#[test]
fn requests_without_a_key_prefer_connected_workers_at_equal_load() {
    let mut workers = directory(&["w1", "w2", "w3"]);
    let chosen_workers = |workers: &WorkerDirectory| -> BTreeSet<String> {
        let query = |seed| PlacementQuery {
            seed,
            is_connected: &|worker| worker == "w2",
            ..query(None, &[])
        };
        (0..32)
            .filter_map(|seed| choose(workers, &query(seed), START))
            .map(|worker| worker.record.id.clone())
            .collect()
    };
    assert_eq!(chosen_workers(&workers), BTreeSet::from(["w2".to_owned()]));
    workers.note_start("w2", START);
    assert_eq!(
        chosen_workers(&workers).len(),
        2,
        "the other workers are idle"
    );
}

#[test]
fn programs_use_their_own_zone_until_it_is_full() {
    let mut workers = directory(&["near-1", "near-2"]);
    workers.upsert(record("far", "b"), START);
    assert!(!programs_by_worker(&workers).contains_key("far"));
    for id in ["near-1", "near-2"] {
        workers.note_start(id, START);
        workers.note_start(id, START);
    }
    let chosen_workers = programs_by_worker(&workers);
    assert_eq!(
        chosen_workers.keys().collect::<Vec<_>>(),
        ["far"],
        "the slots of the own zone are taken"
    );
}

#[test]
fn a_zone_filled_by_other_nodes_uses_all_workers() {
    let mut workers = directory(&["near-1", "near-2"]);
    for id in ["far-1", "far-2", "far-3", "far-4"] {
        workers.upsert(record(id, "b"), START);
    }
    assert_eq!(programs_by_worker(&workers).len(), 2, "only the own zone");
    report_load(&mut workers, START, "n2", &[("near-1", 2), ("near-2", 1)]);
    assert!(
        programs_by_worker(&workers).len() > 2,
        "three quarters of the zone's slots are taken"
    );
}

#[test]
fn programs_of_an_overloaded_worker_use_the_next_one() {
    let mut workers = WorkerDirectory::default();
    for id in ["w1", "w2", "w3", "w4"] {
        workers.upsert(
            WorkerRecord {
                slots: 24,
                ..record(id, "a")
            },
            START,
        );
    }
    let balanced = programs_by_worker(&workers);
    assert_eq!(balanced.len(), 4);
    let loads = [("w1", 20), ("w2", 8), ("w3", 8), ("w4", 8)];
    report_load(&mut workers, START, "n2", &loads);
    let chosen_workers = programs_by_worker(&workers);
    assert!(!chosen_workers.contains_key("w1"), "{chosen_workers:?}");
    for id in ["w2", "w3", "w4"] {
        assert!(chosen_workers[id] >= balanced[id], "programs of {id} stay");
    }
    // A low load moves no program, even if it is uneven.
    let mut lightly_loaded = workers.clone();
    report_load(&mut lightly_loaded, START, "n2", &[("w1", 6)]);
    assert_eq!(programs_by_worker(&lightly_loaded), balanced);
}

#[test]
fn reported_loads_expire() {
    let mut workers = directory(&["w1"]);
    let load = |workers: &WorkerDirectory| {
        let worker = workers.get("w1").expect("the worker");
        workers.load(worker)
    };
    workers.note_start("w1", START);
    report_load(&mut workers, START, "n2", &[("w1", 3)]);
    report_load(&mut workers, START, "n3", &[("w1", 1), ("w9", 4)]);
    assert_eq!(load(&workers), 5);
    report_load(&mut workers, START, "n2", &[]);
    assert_eq!(load(&workers), 2, "a report replaces the earlier one");
    workers.drop_old_loads(START + REPORT_LIFETIME);
    assert_eq!(load(&workers), 1, "expired reports are dropped");
}

#[test]
fn a_draining_worker_gets_no_requests() {
    let mut workers = directory(&["w1"]);
    workers.upsert(
        WorkerRecord {
            draining: true,
            ..record("w1", "a")
        },
        START,
    );
    assert_eq!(chosen(&workers, None, &[]), None);
}

#[test]
fn a_missing_worker_is_a_last_resort_and_then_removed() {
    let mut workers = directory(&["w1", "w2"]);
    assert!(workers.mark_missing("w1", START));
    assert!(!workers.mark_missing("w1", START), "already missing");
    assert_eq!(chosen(&workers, None, &[]).as_deref(), Some("w2"));
    workers.mark_missing("w2", START);
    assert!(chosen(&workers, None, &[]).is_some(), "both are missing");
    let later = START + Duration::from_millis(1_500);
    assert_eq!(workers.forget_missing(later).len(), 2);
    assert_eq!(chosen(&workers, None, &[]), None);
}

#[test]
fn a_worker_whose_record_returns_is_no_longer_missing() {
    let mut workers = directory(&["w1"]);
    workers.mark_missing("w1", START);
    assert_eq!(
        workers.upsert(record("w1", "a"), START),
        UpsertOutcome::Changed,
        "present again"
    );
    let later = START + Duration::from_secs(5);
    assert!(workers.forget_missing(later).is_empty());
    assert_eq!(chosen(&workers, None, &[]).as_deref(), Some("w1"));
}

#[test]
fn a_complete_list_marks_absent_workers_as_missing() {
    let mut workers = directory(&["w1", "w2"]);
    let listed = BTreeSet::from(["w2".to_owned()]);
    assert_eq!(workers.mark_all_missing_but(&listed, START), ["w1"]);
}

#[test]
fn consecutive_failures_eject_for_a_doubling_pause() {
    let mut workers = directory(&["w1"]);
    assert!(!workers.note_failure("w1", START), "one failure");
    assert!(workers.note_failure("w1", START));
    let worker = workers.get("w1").expect("known");
    assert!(worker.is_ejected(START + Duration::from_millis(299)));
    assert!(!worker.is_ejected(START + Duration::from_millis(300)));
    assert!(
        workers.note_failure("w1", START),
        "a further failure on probation"
    );
    let worker = workers.get("w1").expect("known");
    assert!(worker.is_ejected(START + Duration::from_millis(599)));
    for _ in 0..4 {
        workers.note_success("w1");
    }
    assert!(!workers.note_failure("w1", START), "recovered");
}

#[test]
fn only_workers_with_a_high_failure_rate_are_ejected() {
    for (period, expected) in [(2, true), (10, false), (50, false)] {
        let mut workers = directory(&["w1"]);
        let mut ejected = false;
        for request in 0..100 {
            if request % period == 0 {
                ejected |= workers.note_failure("w1", START);
            } else {
                workers.note_success("w1");
            }
        }
        assert_eq!(ejected, expected, "one failure in {period}");
    }
}

#[test]
fn an_ejected_worker_is_used_if_there_is_no_other() {
    let mut workers = directory(&["w1"]);
    workers.note_failure("w1", START);
    workers.note_failure("w1", START);
    assert_eq!(chosen(&workers, None, &[]).as_deref(), Some("w1"));
}

#[test]
fn idle_connections_are_divided_between_nodes() {
    let cases = [
        (160, 1, 16),
        (160, 12, 10),
        (180, 300, 1),
        (110, 0, 16),
        (2, 5, 1),
        (u32::MAX, 12, 16),
    ];
    for (max_connections, nodes, expected) in cases {
        let max_idle = max_idle_connections(max_connections, nodes);
        assert_eq!(
            max_idle, expected,
            "{max_connections} connections, {nodes} nodes"
        );
    }
}

#[test]
fn a_worker_on_probation_gets_one_repeatable_request() {
    let mut workers = directory(&["w1", "w2"]);
    workers.note_failure("w1", START);
    workers.note_failure("w1", START);
    let now = START + Duration::from_millis(400);
    let chosen_workers = |workers: &WorkerDirectory, repeatable: bool| -> BTreeSet<String> {
        (0..40)
            .map(|seed| {
                let query = PlacementQuery {
                    repeatable,
                    seed,
                    ..query(None, &[])
                };
                let chosen = choose(workers, &query, now).expect("a worker");
                chosen.record.id.clone()
            })
            .collect()
    };
    assert_eq!(chosen_workers(&workers, false).len(), 1, "not repeatable");
    assert_eq!(chosen_workers(&workers, true).len(), 2);
    workers.note_start("w1", START);
    workers.note_start("w2", START);
    assert_eq!(chosen_workers(&workers, true).len(), 1, "one at a time");
}

#[test]
fn workers_missing_after_an_outage_have_a_longer_grace_time() {
    // Milliseconds from the end of the outage until the record is gone, and the grace time.
    for (missing_after, grace) in [(0, 3_500), (1_900, 3_500), (2_000, 1_000)] {
        let mut workers = directory(&["w1"]);
        workers.note_outage_over(START);
        let missing_at = START + Duration::from_millis(missing_after);
        workers.mark_missing("w1", missing_at);
        let almost = missing_at + Duration::from_millis(grace - 1);
        assert_eq!(workers.last_resort("engines", almost).count(), 1);
        assert!(workers.forget_missing(almost).is_empty());
        let over = missing_at + Duration::from_millis(grace);
        assert_eq!(workers.last_resort("engines", over).count(), 0);
        assert_eq!(
            workers.forget_missing(over),
            ["w1"],
            "{missing_after} ms after"
        );
    }
}
