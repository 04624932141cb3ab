//! The request rate limit of cold workers, which all nodes together must respect.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::cold_workers::{ColdRules, ColdSenders};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::stream_versions::VersionRule;
use elderworks_gateway_core::workers::{UpsertOutcome, WorkerDirectory, WorkerRecord};
use elderworks_types::{NodeId, Timestamp};
use proptest::prelude::*;

const START: Timestamp = Timestamp(1_000_000);
const SERVICE: &str = "engines";

fn record(id: &str, cold: Duration, born: u64) -> WorkerRecord {
    WorkerRecord {
        slots: 8,
        cold_left: cold,
        born,
        ..common::engine(id, "a")
    }
}

fn node_ids(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|number| NodeId::new(format!("node-{number}").as_str()))
        .collect()
}

/// Returns the directory of a node that limits cold workers to `rate` requests per second.
fn node(own: &NodeId, nodes: &[NodeId], rules: ColdRules, rate: f64) -> WorkerDirectory {
    let mut senders = ColdSenders::new(rules, own);
    senders.set_nodes(nodes.iter());
    senders.set_rates(BTreeMap::from([(SERVICE.to_owned(), rate)]));
    WorkerDirectory::new(Policy::default()).with_cold_senders(senders)
}

fn chosen(workers: &WorkerDirectory, now: Timestamp, seed: u64) -> Option<String> {
    let query = PlacementQuery {
        service: SERVICE,
        key: None,
        zone: "a",
        repeatable: true,
        tried: &[],
        versions: VersionRule::Any,
        turn: None,
        seed,
        is_connected: &|_| false,
    };
    choose(workers, &query, now).map(|worker| worker.record.id.clone())
}

/// Returns the maximum number of requests that a cold worker gets within one second while every node
/// has more requests than it may send.
fn busiest_second(nodes: usize, rules: ColdRules, rate: f64) -> usize {
    let node_ids = node_ids(nodes);
    let mut directories: Vec<WorkerDirectory> = node_ids
        .iter()
        .map(|own| node(own, &node_ids, rules, rate))
        .collect();
    let mut sent: Vec<u64> = Vec::new();
    for ms in (0..4_000).step_by(10) {
        let now = START + Duration::from_millis(ms);
        for (number, workers) in directories.iter_mut().enumerate() {
            if ms == 0 {
                workers.upsert(record("w", Duration::from_secs(10), 0), now);
            }
            if let Some(worker) = chosen(workers, now, ms + number as u64) {
                workers.note_start(&worker, now);
                sent.push(ms);
            }
        }
    }
    let in_second = |from: &u64| {
        let until = from + 1_000;
        sent.iter()
            .filter(|at| (*from..=until).contains(at))
            .count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

/// Covers deployments with more nodes than may send one request each.
#[test]
fn all_nodes_together_stay_below_the_rate_of_a_cold_worker() {
    let rules = ColdRules {
        overshoot: 1.5,
        slack: 5.0,
    };
    for (nodes, rate) in [(11, 23.0), (74, 23.0), (295, 23.0), (984, 23.0), (74, 4.0)] {
        let max = busiest_second(nodes, rules, rate);
        let bound = rate * rules.overshoot + rules.slack;
        assert!(max as f64 <= bound, "{nodes} nodes, {rate}: {max}");
        assert!(max as f64 >= rate / 2.0, "{nodes} nodes, {rate}: {max}");
    }
    let strict = ColdRules::default();
    assert!(busiest_second(74, strict, 23.0) <= 23);
}

proptest! {
    #[test]
    fn the_bound_holds_for_any_rate(
        nodes in 1usize..40, rate in 1.0f64..60.0, overshoot in 1.0f64..2.0, slack in 0.0f64..20.0,
    ) {
        let rules = ColdRules { overshoot, slack };
        let bound = rate * overshoot + slack;
        prop_assert!(busiest_second(nodes, rules, rate) as f64 <= bound.max(1.0));
    }
}

#[test]
fn a_worker_is_cold_as_long_as_its_record_says() {
    let node_ids = node_ids(200);
    // Find a node that may not send to the worker while it is cold.
    let may_not_send = |own: &NodeId| {
        let mut workers = node(own, &node_ids, ColdRules::default(), 5.0);
        workers.upsert(record("w", Duration::from_secs(3), 0), START);
        chosen(&workers, START, 1).is_none()
    };
    let own = node_ids.iter().find(|own| may_not_send(own)).expect("one");
    let mut workers = node(own, &node_ids, ColdRules::default(), 5.0);
    workers.upsert(record("w", Duration::from_secs(3), 0), START);
    assert_eq!(chosen(&workers, START, 1), None);
    let later = START + Duration::from_millis(3_000);
    assert_eq!(chosen(&workers, later, 1).as_deref(), Some("w"));
    workers.upsert(record("w", Duration::from_secs(1), 0), later);
    assert_eq!(chosen(&workers, later, 1), None, "cold again");
    workers.upsert(record("w", Duration::ZERO, 0), later);
    assert_eq!(chosen(&workers, later, 1).as_deref(), Some("w"));
}

#[test]
fn workers_of_a_reopened_zone_count_as_cold_until_updated() {
    let node_ids = node_ids(200);
    let mut waiting = 0;
    for own in &node_ids {
        let mut workers = node(own, &node_ids, ColdRules::default(), 5.0);
        workers.upsert(record("w", Duration::ZERO, 0), START);
        workers.close_zones(["a"].into_iter(), START);
        workers.close_zones(std::iter::empty(), START);
        waiting += usize::from(chosen(&workers, START, 1).is_none());
        workers.upsert(record("w", Duration::ZERO, 0), START);
        assert!(chosen(&workers, START, 1).is_some());
    }
    assert_eq!(waiting, node_ids.len() - 1, "only one node may send");
}

#[test]
fn a_restarted_worker_has_no_load_or_failures() {
    let mut workers = WorkerDirectory::default();
    assert_eq!(
        workers.upsert(record("w", Duration::ZERO, 5), START),
        UpsertOutcome::Changed
    );
    let earlier = workers.note_start("w", START);
    let key = workers.own_load().into_keys().next().expect("its key");
    workers.apply_peer_load(START, NodeId::new("n2"), BTreeMap::from([(key, 3)]));
    workers.note_failure("w", START);
    workers.note_failure("w", START);
    assert!(
        workers
            .get("w")
            .is_some_and(|worker| worker.is_ejected(START))
    );
    assert_eq!(
        workers.upsert(record("w", Duration::ZERO, 9), START),
        UpsertOutcome::Restarted
    );
    let worker = workers.get("w").expect("known");
    assert_eq!(workers.load(worker), 0, "no requests");
    assert!(!worker.is_ejected(START));
    let later = workers.note_start("w", START);
    workers.note_completion(&earlier);
    assert_eq!(workers.get("w").map(|worker| worker.in_flight), Some(1));
    assert_eq!(
        workers.upsert(record("w", Duration::ZERO, 5), START),
        UpsertOutcome::Outdated
    );
    assert_eq!(workers.get("w").map(|worker| worker.record.born), Some(9));
    workers.note_completion(&later);
    assert_eq!(workers.get("w").map(|worker| worker.in_flight), Some(0));
}

#[test]
fn a_worker_with_an_unreadable_entry_is_not_even_a_last_resort() {
    let mut workers = WorkerDirectory::default();
    workers.upsert(record("w", Duration::ZERO, 1), START);
    assert!(workers.mark_unreadable("w", START));
    assert!(!workers.mark_unreadable("w", START), "known");
    assert_eq!(chosen(&workers, START, 1), None);
    workers.upsert(record("w", Duration::ZERO, 1), START);
    assert_eq!(chosen(&workers, START, 1).as_deref(), Some("w"));
}
