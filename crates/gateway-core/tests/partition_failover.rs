//! Tests when a node serves a partition in place of the candidates ranked before it.

use std::time::Duration;

use elderworks_gateway_core::partition_failover::{
    PEER_READ_GRACE, PEER_START_GRACE, SkipReason, StartupGrace,
};

const EPSILON: Duration = Duration::from_millis(1);

#[test]
fn candidates_are_skipped_only_after_their_grace_period() {
    use SkipReason::{Absent, Unavailable};
    let table = [
        (Duration::ZERO, Absent, false),
        (PEER_START_GRACE - EPSILON, Absent, false),
        (PEER_START_GRACE, Absent, true),
        (PEER_START_GRACE, Unavailable, false),
        (PEER_READ_GRACE - EPSILON, Unavailable, false),
        (PEER_READ_GRACE, Unavailable, true),
        (PEER_READ_GRACE, Absent, true),
    ];
    for (age, reason, expected) in table {
        let grace = StartupGrace { age };
        assert_eq!(grace.may_skip(reason), expected, "{grace:?} {reason:?}");
    }
}

#[test]
fn a_node_that_has_not_joined_waits_before_serving_alone() {
    let table = [
        (Duration::ZERO, false, false),
        (Duration::ZERO, true, true),
        (PEER_START_GRACE - EPSILON, false, false),
        (PEER_START_GRACE, false, true),
    ];
    for (age, has_joined, expected) in table {
        let grace = StartupGrace { age };
        assert_eq!(grace.may_serve_alone(has_joined), expected, "{grace:?}");
    }
}

/// Returns how many nodes serve a partition if all of them start within `spread` and immediately
/// get a request for it. The preferred candidate starts last and then reads for `reading`.
fn serving_nodes(nodes: u64, spread: Duration, reading: Duration, restrained: bool) -> usize {
    let step = Duration::from_millis(20);
    let starts = |node: u64| spread.mul_f64(node as f64 / nodes as f64);
    let preferred_started = spread;
    let preferred_ready = spread + reading;
    let serves = |node: &u64| {
        let mut now = starts(*node);
        while now < preferred_ready {
            let reason = match now < preferred_started {
                true => SkipReason::Absent,
                false => SkipReason::Unavailable,
            };
            let grace = StartupGrace {
                age: now - starts(*node),
            };
            if !restrained || grace.may_skip(reason) {
                return true;
            }
            now += step;
        }
        false
    };
    (0..nodes - 1).filter(serves).count() + 1
}

#[test]
fn nodes_that_start_together_read_each_partition_once() {
    let spread = Duration::from_millis(250);
    let reading = Duration::from_millis(700);
    for nodes in [16, 61, 78, 295] {
        assert_eq!(
            serving_nodes(nodes, spread, reading, true),
            1,
            "{nodes} nodes"
        );
        let unrestrained = serving_nodes(nodes, spread, reading, false);
        assert_eq!(
            unrestrained as u64, nodes,
            "without restraint every node reads"
        );
    }
}
