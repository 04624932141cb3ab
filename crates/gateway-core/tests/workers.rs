//! Placement, and what a node believes of workers.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::peer_loads::{REPORT_LIFETIME, WorkerKey};
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
        turn: None,
        seed: 1,
        is_connected: &|_| false,
    }
}

fn chosen(workers: &WorkerDirectory, key: Option<&str>, tried: &[String]) -> Option<String> {
    choose(workers, &query(key, tried), START).map(|worker| worker.record.id.clone())
}

#[test]
fn one_program_meets_one_worker_on_every_node() {
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
fn programs_spread_over_the_workers() {
    let workers = directory(&["w1", "w2", "w3", "w4"]);
    let met: BTreeSet<String> = (0..64)
        .filter_map(|number| chosen(&workers, Some(&format!("program-{number}")), &[]))
        .collect();
    assert_eq!(met.len(), 4);
}

#[test]
fn a_crowded_worker_gives_way_and_comes_back() {
    let mut workers = directory(&["w1", "w2", "w3"]);
    let first = chosen(&workers, Some("p"), &[]).expect("a worker");
    let lives = [
        workers.note_start(&first, START),
        workers.note_start(&first, START),
    ];
    assert_ne!(chosen(&workers, Some("p"), &[]), Some(first.clone()));
    for life in &lives {
        workers.note_completion(life);
    }
    assert_eq!(chosen(&workers, Some("p"), &[]), Some(first));
}

#[test]
fn a_tried_worker_is_taken_only_if_there_is_no_other() {
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
    for spread in 0..20 {
        let query = PlacementQuery {
            seed: spread,
            ..query(None, &[])
        };
        let worker = choose(&workers, &query, START).expect("a worker");
        assert_eq!(worker.record.id, "near");
    }
}

/// Tells a directory what another node has under way.
fn tell(workers: &mut WorkerDirectory, now: Timestamp, node: &str, counts: &[(&str, u32)]) {
    let counts = counts.iter().map(|(id, count)| (WorkerKey::of(id), *count));
    workers.apply_peer_load(now, NodeId::new(node), counts.collect());
}

/// Workers that 64 programs meet.
fn met_by_programs(workers: &WorkerDirectory) -> BTreeMap<String, u32> {
    let mut met = BTreeMap::new();
    for number in 0..64 {
        let worker = chosen(workers, Some(&format!("program-{number}")), &[]);
        *met.entry(worker.expect("a worker")).or_default() += 1;
    }
    met
}

#[test]
fn a_request_without_a_key_takes_a_worker_that_needs_no_connection_if_it_is_as_idle() {
    let mut workers = directory(&["w1", "w2", "w3"]);
    let met = |workers: &WorkerDirectory| -> BTreeSet<String> {
        let query = |spread| PlacementQuery {
            seed: spread,
            is_connected: &|worker| worker == "w2",
            ..query(None, &[])
        };
        (0..32)
            .filter_map(|spread| choose(workers, &query(spread), START))
            .map(|worker| worker.record.id.clone())
            .collect()
    };
    assert_eq!(met(&workers), BTreeSet::from(["w2".to_owned()]));
    workers.note_start("w2", START);
    assert_eq!(met(&workers).len(), 2, "the others are idle");
}

#[test]
fn programs_keep_to_the_zone_until_it_is_crowded() {
    let mut workers = directory(&["near-1", "near-2"]);
    workers.upsert(record("far", "b"), START);
    assert!(!met_by_programs(&workers).contains_key("far"));
    for id in ["near-1", "near-2"] {
        workers.note_start(id, START);
        workers.note_start(id, START);
    }
    let met = met_by_programs(&workers);
    assert_eq!(
        met.keys().collect::<Vec<_>>(),
        ["far"],
        "the others' slots are taken"
    );
}

#[test]
fn a_zone_that_other_nodes_have_filled_spreads_over_all_workers() {
    let mut workers = directory(&["near-1", "near-2"]);
    for id in ["far-1", "far-2", "far-3", "far-4"] {
        workers.upsert(record(id, "b"), START);
    }
    assert_eq!(met_by_programs(&workers).len(), 2, "the own zone's");
    tell(&mut workers, START, "n2", &[("near-1", 2), ("near-2", 1)]);
    assert!(
        met_by_programs(&workers).len() > 2,
        "three quarters of the zone's slots are taken"
    );
}

#[test]
fn a_worker_with_more_than_its_share_gives_way_to_the_next() {
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
    let even = met_by_programs(&workers);
    assert_eq!(even.len(), 4);
    let loads = [("w1", 20), ("w2", 8), ("w3", 8), ("w4", 8)];
    tell(&mut workers, START, "n2", &loads);
    let met = met_by_programs(&workers);
    assert!(!met.contains_key("w1"), "{met:?}");
    for id in ["w2", "w3", "w4"] {
        assert!(met[id] >= even[id], "programs of {id} stay");
    }
    // A load that slows nobody moves no program.
    let mut calm = workers.clone();
    tell(&mut calm, START, "n2", &[("w1", 6)]);
    assert_eq!(met_by_programs(&calm), even);
}

#[test]
fn what_other_nodes_tell_counts_for_a_while() {
    let mut workers = directory(&["w1"]);
    let load = |workers: &WorkerDirectory| {
        let worker = workers.get("w1").expect("the worker");
        workers.load(worker)
    };
    workers.note_start("w1", START);
    tell(&mut workers, START, "n2", &[("w1", 3)]);
    tell(&mut workers, START, "n3", &[("w1", 1), ("w9", 4)]);
    assert_eq!(load(&workers), 5);
    tell(&mut workers, START, "n2", &[]);
    assert_eq!(
        load(&workers),
        2,
        "a report takes the place of the earlier one"
    );
    workers.drop_old_loads(START + REPORT_LIFETIME);
    assert_eq!(load(&workers), 1, "old reports are dropped");
}

#[test]
fn a_draining_worker_takes_no_new_work() {
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
fn a_missing_worker_is_a_last_resort_and_then_forgotten() {
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
fn a_record_that_comes_back_ends_the_absence() {
    let mut workers = directory(&["w1"]);
    workers.mark_missing("w1", START);
    assert_eq!(
        workers.upsert(record("w1", "a"), START),
        UpsertOutcome::Changed,
        "believed anew"
    );
    let later = START + Duration::from_secs(5);
    assert!(workers.forget_missing(later).is_empty());
    assert_eq!(chosen(&workers, None, &[]).as_deref(), Some("w1"));
}

#[test]
fn reading_the_list_anew_finds_who_is_missing() {
    let mut workers = directory(&["w1", "w2"]);
    let listed = BTreeSet::from(["w2".to_owned()]);
    assert_eq!(workers.mark_all_missing_but(&listed, START), ["w1"]);
}

#[test]
fn failures_in_a_row_eject_for_a_doubling_pause() {
    let mut workers = directory(&["w1"]);
    assert!(!workers.note_failure("w1", START), "one failure is none");
    assert!(workers.note_failure("w1", START));
    let worker = workers.get("w1").expect("known");
    assert!(worker.is_ejected(START + Duration::from_millis(299)));
    assert!(!worker.is_ejected(START + Duration::from_millis(300)));
    assert!(
        workers.note_failure("w1", START),
        "once more after the pause"
    );
    let worker = workers.get("w1").expect("known");
    assert!(worker.is_ejected(START + Duration::from_millis(599)));
    for _ in 0..4 {
        workers.note_success("w1");
    }
    assert!(!workers.note_failure("w1", START), "successes restore it");
}

#[test]
fn a_worker_that_often_fails_is_ejected_and_one_that_seldom_does_is_not() {
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
fn an_ejected_worker_serves_if_there_is_no_other() {
    let mut workers = directory(&["w1"]);
    workers.note_failure("w1", START);
    workers.note_failure("w1", START);
    assert_eq!(chosen(&workers, None, &[]).as_deref(), Some("w1"));
}

#[test]
fn nodes_share_the_connections_of_a_worker() {
    let cases = [
        (160, 1, 16),
        (160, 12, 10),
        (180, 300, 1),
        (110, 0, 16),
        (2, 5, 1),
        (u32::MAX, 12, 16),
    ];
    for (max_connections, nodes, expected) in cases {
        let share = max_idle_connections(max_connections, nodes);
        assert_eq!(
            share, expected,
            "{max_connections} connections, {nodes} nodes"
        );
    }
}

#[test]
fn a_worker_on_probation_is_tried_with_one_request_that_may_be_repeated() {
    let mut workers = directory(&["w1", "w2"]);
    workers.note_failure("w1", START);
    workers.note_failure("w1", START);
    let now = START + Duration::from_millis(400);
    let met = |workers: &WorkerDirectory, repeatable: bool| -> BTreeSet<String> {
        (0..40)
            .map(|spread| {
                let query = PlacementQuery {
                    repeatable,
                    seed: spread,
                    ..query(None, &[])
                };
                let chosen = choose(workers, &query, now).expect("a worker");
                chosen.record.id.clone()
            })
            .collect()
    };
    assert_eq!(met(&workers, false).len(), 1, "not to be repeated");
    assert_eq!(met(&workers, true).len(), 2);
    workers.note_start("w1", START);
    workers.note_start("w2", START);
    assert_eq!(met(&workers, true).len(), 1, "one at a time");
}

#[test]
fn records_that_go_right_after_an_outage_are_missed_for_longer() {
    // Milliseconds from the end of the outage to the record's going, and how long it is missed.
    for (gone_after, missed_for) in [(0, 3_500), (1_900, 3_500), (2_000, 1_000)] {
        let mut workers = directory(&["w1"]);
        workers.note_outage_over(START);
        let gone = START + Duration::from_millis(gone_after);
        workers.mark_missing("w1", gone);
        let almost = gone + Duration::from_millis(missed_for - 1);
        assert_eq!(workers.last_resort("engines", almost).count(), 1);
        assert!(workers.forget_missing(almost).is_empty());
        let over = gone + Duration::from_millis(missed_for);
        assert_eq!(workers.last_resort("engines", over).count(), 0);
        assert_eq!(
            workers.forget_missing(over),
            ["w1"],
            "{gone_after} ms after"
        );
    }
}
