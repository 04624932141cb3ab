//! When a node that starts is ready, and the start of many at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::recompute_throttle::{MIN_RECOMPUTE_INTERVAL, RecomputeThrottle};
use elderworks_gateway_core::start::{
    Milestone, STARTING_PATIENCE, StartProgress, presumes_alive, start_wait,
};
use elderworks_gateway_core::stream_reads::{StreamReadSchedule, UpdateDeadlines};
use elderworks_types::Timestamp;

/// Milliseconds since the model's begin.
type Millis = u64;

fn at(millis: Millis) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

#[test]
fn a_node_is_ready_with_its_last_milestone_in_whatever_order() {
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
        assert!(!progress.reach(order[0], at(50)), "only once");
        assert_eq!(progress.at(order[0]), Some(at(0)), "the first time stands");
    }
}

#[test]
fn requests_wait_a_part_of_their_time_and_never_long() {
    let table = [
        (None, STARTING_PATIENCE),
        (Some(Duration::ZERO), Duration::ZERO),
        (Some(Duration::from_millis(500)), Duration::from_millis(150)),
        (Some(Duration::from_secs(60)), STARTING_PATIENCE),
    ];
    for (left, expected) in table {
        assert_eq!(start_wait(left), expected, "{left:?}");
    }
}

#[test]
fn nodes_that_are_not_heard_of_yet_are_presumed_alive_for_longer() {
    let table = [
        (0, false, true),
        (1_499, false, true),
        (1_500, false, false),
        (1_500, true, true),
        (2_999, true, true),
        (3_000, true, false),
    ];
    for (millis, has_unheard, expected) in table {
        let since = Duration::from_millis(millis);
        assert_eq!(presumes_alive(since, has_unheard), expected, "{millis}");
    }
}

/// Time from a call to the log to its answer.
const ROUND_TRIP: Millis = 10;

/// Time over which the nodes of the model start.
const SPREAD: Millis = 1_000;

/// How long the model runs.
const END: Millis = 3_000;

/// Interval at which a node looks for changes that wait.
const LOOK: Millis = 100;

/// One node of the model: it writes its entry, and follows the entries from there on.
struct Node {
    /// When its entry stands in the log.
    written: Millis,
    /// Entries it has read.
    known: usize,
    reads: u32,
    recomputed: u32,
}

/// What a node does that writes its entry at `written`, given when all entries are written.
fn play(written: Millis, entries: &[Millis], pace: Duration) -> Node {
    let deadlines = UpdateDeadlines {
        apply: Duration::from_secs(2),
        drain: Duration::from_secs(2),
    };
    let reads = StreamReadSchedule::new(Stream::Nodes, &deadlines);
    let mut batch = RecomputeThrottle::new(pace);
    let mut node = Node {
        written,
        known: 0,
        reads: 0,
        recomputed: 0,
    };
    // Answers by the time at which they come, with how many entries they show.
    let mut answers: BTreeMap<Millis, usize> = BTreeMap::new();
    answers.insert(node.written + ROUND_TRIP, shown_at(entries, written));
    for now in 0..END {
        if let Some(shown) = answers.remove(&now) {
            node.reads += 1;
            if shown > node.known {
                node.known = shown;
                node.recomputed += u32::from(batch.on_change(at(now)));
            }
            let pause = Millis::try_from(reads.pause().as_millis()).expect("short");
            let (answered, shown) = follow(entries, now + pause, node.known);
            answers.insert(answered, shown);
        }
        if now % LOOK == written % LOOK {
            node.recomputed += u32::from(batch.take_due(at(now)));
        }
    }
    node
}

fn shown_at(entries: &[Millis], now: Millis) -> usize {
    entries.iter().filter(|written| **written <= now).count()
}

/// A read that waits for an entry beyond those known.
fn follow(entries: &[Millis], sent: Millis, known: usize) -> (Millis, usize) {
    let seen = (sent..END).find(|now| shown_at(entries, *now) > known);
    let seen = seen.unwrap_or(END);
    (seen + ROUND_TRIP, shown_at(entries, seen))
}

/// Entries that are written over [`SPREAD`], in an order that has nothing to do with names.
fn entries(count: u64) -> Vec<Millis> {
    (0..count).map(|node| (node * 7_919) % SPREAD).collect()
}

#[test]
fn calls_and_work_of_a_start_do_not_grow_with_the_number_of_nodes() {
    for count in [61, 78, 295, 1_000] {
        let entries = entries(count);
        for written in entries.iter().copied().step_by(7) {
            let node = play(written, &entries, MIN_RECOMPUTE_INTERVAL);
            assert_eq!(node.known, entries.len(), "every entry is learned");
            assert!(node.reads <= 6, "{count} nodes: {} reads", node.reads);
            assert!(
                node.recomputed <= 6,
                "{count} nodes: worked out {} times",
                node.recomputed
            );
        }
    }
}

#[test]
fn gossip_of_many_nodes_costs_as_many_recomputations_as_time_allows() {
    for count in [61, 78, 295, 1_000] {
        let entries = entries(count);
        let mut batch = RecomputeThrottle::new(MIN_RECOMPUTE_INTERVAL);
        let mut recomputed = 0;
        for now in 0..END {
            let heard = entries.iter().filter(|heard| **heard == now).count();
            for _ in 0..heard {
                recomputed += u32::from(batch.on_change(at(now)));
            }
            recomputed += u32::from(now % LOOK == 0 && batch.take_due(at(now)));
        }
        assert!(recomputed <= 12, "{count} nodes: {recomputed}");
        assert!(!batch.take_due(at(END)), "nothing is left");
    }
}
