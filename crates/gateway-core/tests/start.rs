//! Tests when a starting node is ready, and the cost of a simultaneous start of many nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::recompute_throttle::{MIN_RECOMPUTE_INTERVAL, RecomputeThrottle};
use elderworks_gateway_core::start::{
    MAX_START_WAIT, Milestone, StartProgress, presumes_alive, start_wait,
};
use elderworks_gateway_core::stream_reads::{StreamReadSchedule, UpdateDeadlines};
use elderworks_types::Timestamp;

/// Milliseconds since the start of the model.
type Millis = u64;

fn at(millis: Millis) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

#[test]
fn a_node_is_ready_after_its_last_milestone_in_any_order() {
    use Milestone::{Configuration, Joined, Workers};
    let orders = [
        [Configuration, Workers, Joined],
        [Configuration, Joined, Workers],
        [Workers, Configuration, Joined],
        [Workers, Joined, Configuration],
        [Joined, Configuration, Workers],
        [Joined, Workers, Configuration],
    ];
    for order in orders {
        let mut progress = StartProgress::default();
        for (number, milestone) in order.into_iter().enumerate() {
            assert!(!progress.is_complete());
            assert_eq!(progress.missing().count(), order.len() - number);
            let is_last = progress.reach(milestone, at(number as u64));
            assert_eq!(is_last, number + 1 == order.len(), "{order:?}");
        }
        assert!(progress.is_complete());
        assert!(
            !progress.reach(order[0], at(50)),
            "completion is reported once"
        );
        assert_eq!(progress.at(order[0]), Some(at(0)), "the first time is kept");
    }
}

#[test]
fn the_start_wait_is_a_fraction_of_the_remaining_time_and_bounded() {
    let table = [
        (None, MAX_START_WAIT),
        (Some(Duration::ZERO), Duration::ZERO),
        (Some(Duration::from_millis(500)), Duration::from_millis(150)),
        (Some(Duration::from_secs(60)), MAX_START_WAIT),
    ];
    for (left, expected) in table {
        assert_eq!(start_wait(left), expected, "{left:?}");
    }
}

#[test]
fn nodes_that_gossip_has_not_mentioned_are_presumed_alive_for_longer() {
    let table = [
        (0, false, true),
        (1_499, false, true),
        (1_500, false, false),
        (1_500, true, true),
        (2_999, true, true),
        (3_000, true, false),
    ];
    for (millis, has_unmentioned, expected) in table {
        let since = Duration::from_millis(millis);
        assert_eq!(presumes_alive(since, has_unmentioned), expected, "{millis}");
    }
}

/// Time from a call to the log to its answer, in milliseconds.
const ROUND_TRIP: Millis = 10;

/// Time over which the nodes of the model start, in milliseconds.
const SPREAD: Millis = 1_000;

/// Duration of the model, in milliseconds.
const END: Millis = 3_000;

/// Interval at which a node checks for pending changes, in milliseconds.
const CHECK_INTERVAL: Millis = 100;

/// A node of the model, which writes its entry and then follows the entries of all nodes.
struct Node {
    /// When its entry is in the log.
    written: Millis,
    /// Number of entries that it has read.
    known: usize,
    reads: u32,
    recomputed: u32,
}

/// Simulates a node that writes its entry at `written`, given when each entry is written.
fn simulate(written: Millis, entries: &[Millis], min_interval: Duration) -> Node {
    let deadlines = UpdateDeadlines {
        apply: Duration::from_secs(2),
        drain: Duration::from_secs(2),
    };
    let reads = StreamReadSchedule::new(Stream::Nodes, &deadlines);
    let mut throttle = RecomputeThrottle::new(min_interval);
    let mut node = Node {
        written,
        known: 0,
        reads: 0,
        recomputed: 0,
    };
    // Number of entries in each answer, by its time of arrival.
    let mut answers: BTreeMap<Millis, usize> = BTreeMap::new();
    answers.insert(node.written + ROUND_TRIP, shown_at(entries, written));
    for now in 0..END {
        if let Some(shown) = answers.remove(&now) {
            node.reads += 1;
            if shown > node.known {
                node.known = shown;
                node.recomputed += u32::from(throttle.on_change(at(now)));
            }
            let pause = Millis::try_from(reads.pause().as_millis()).expect("short");
            let (answered, shown) = follow(entries, now + pause, node.known);
            answers.insert(answered, shown);
        }
        if now % CHECK_INTERVAL == written % CHECK_INTERVAL {
            node.recomputed += u32::from(throttle.take_due(at(now)));
        }
    }
    node
}

fn shown_at(entries: &[Millis], now: Millis) -> usize {
    entries.iter().filter(|written| **written <= now).count()
}

/// Returns the arrival and the number of entries of the answer to a read that waits for an entry
/// beyond the `known` ones.
fn follow(entries: &[Millis], sent: Millis, known: usize) -> (Millis, usize) {
    let seen = (sent..END).find(|now| shown_at(entries, *now) > known);
    let seen = seen.unwrap_or(END);
    (seen + ROUND_TRIP, shown_at(entries, seen))
}

/// Returns the times at which entries are written, spread over [`SPREAD`] in pseudo-random order.
fn entries(count: u64) -> Vec<Millis> {
    (0..count).map(|node| (node * 7_919) % SPREAD).collect()
}

#[test]
fn reads_and_recomputations_of_a_start_do_not_grow_with_the_number_of_nodes() {
    for count in [61, 78, 295, 1_000] {
        let entries = entries(count);
        for written in entries.iter().copied().step_by(7) {
            let node = simulate(written, &entries, MIN_RECOMPUTE_INTERVAL);
            assert_eq!(node.known, entries.len(), "every entry is read");
            assert!(node.reads <= 6, "{count} nodes: {} reads", node.reads);
            assert!(
                node.recomputed <= 6,
                "{count} nodes: {} recomputations",
                node.recomputed
            );
        }
    }
}

#[test]
fn recomputations_caused_by_gossip_are_limited_by_time() {
    for count in [61, 78, 295, 1_000] {
        let entries = entries(count);
        let mut throttle = RecomputeThrottle::new(MIN_RECOMPUTE_INTERVAL);
        let mut recomputed = 0;
        for now in 0..END {
            let received = entries.iter().filter(|received| **received == now).count();
            for _ in 0..received {
                recomputed += u32::from(throttle.on_change(at(now)));
            }
            recomputed += u32::from(now % CHECK_INTERVAL == 0 && throttle.take_due(at(now)));
        }
        assert!(recomputed <= 12, "{count} nodes: {recomputed}");
        assert!(!throttle.take_due(at(END)), "no change is pending");
    }
}
