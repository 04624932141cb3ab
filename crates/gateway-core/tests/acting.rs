//! Who acts for a partition in the first moments of a start, and later.

use std::time::Duration;

use elderworks_gateway_core::partition_failover::{
    OTHERS_READ, OTHERS_START, SkipReason, StartupGrace,
};

const MOMENT: Duration = Duration::from_millis(1);

#[test]
fn a_node_that_starts_leaves_the_others_time_to_start_too() {
    use SkipReason::{Absent, Unavailable};
    let table = [
        (Duration::ZERO, Absent, false),
        (OTHERS_START - MOMENT, Absent, false),
        (OTHERS_START, Absent, true),
        (OTHERS_START, Unavailable, false),
        (OTHERS_READ - MOMENT, Unavailable, false),
        (OTHERS_READ, Unavailable, true),
        (OTHERS_READ, Absent, true),
    ];
    for (age, reason, expected) in table {
        let standing = StartupGrace { age };
        assert_eq!(
            standing.may_skip(reason),
            expected,
            "{standing:?} {reason:?}"
        );
    }
}

#[test]
fn a_node_that_knows_nobody_yet_does_not_act_for_every_partition() {
    let table = [
        (Duration::ZERO, false, false),
        (Duration::ZERO, true, true),
        (OTHERS_START - MOMENT, false, false),
        (OTHERS_START, false, true),
    ];
    for (age, has_joined, expected) in table {
        let standing = StartupGrace { age };
        assert_eq!(
            standing.may_serve_alone(has_joined),
            expected,
            "{standing:?}"
        );
    }
}

/// Nodes that start within a short time and get a request each at once for one partition: how many
/// of them come to act for it. The foremost candidate is the last to be there.
fn actors(nodes: u64, spread: Duration, reading: Duration, limited: bool) -> usize {
    let step = Duration::from_millis(20);
    let starts = |node: u64| spread.mul_f64(node as f64 / nodes as f64);
    let foremost_there = spread;
    let foremost_ready = spread + reading;
    let acts = |node: &u64| {
        let mut now = starts(*node);
        while now < foremost_ready {
            let reason = match now < foremost_there {
                true => SkipReason::Absent,
                false => SkipReason::Unavailable,
            };
            let standing = StartupGrace {
                age: now - starts(*node),
            };
            if !limited || standing.may_skip(reason) {
                return true;
            }
            now += step;
        }
        false
    };
    (0..nodes - 1).filter(acts).count() + 1
}

#[test]
fn nodes_that_start_together_read_each_partition_once() {
    let spread = Duration::from_millis(250);
    let reading = Duration::from_millis(700);
    for nodes in [16, 61, 78, 295] {
        assert_eq!(actors(nodes, spread, reading, true), 1, "{nodes} nodes");
        let unlimited = actors(nodes, spread, reading, false);
        assert_eq!(unlimited as u64, nodes, "what is spared");
    }
}
