//! Tests how many calls a partition makes and how long requests wait for one.

use std::time::Duration;

use elderworks_gateway_core::append_pace::{AppendPace, Paces, Urgency};
use elderworks_types::Timestamp;

const INTERVALS: Paces = Paces {
    leave: Duration::from_millis(20),
    ends: Duration::from_millis(80),
};

const NO_INTERVALS: Paces = Paces {
    leave: Duration::ZERO,
    ends: Duration::ZERO,
};

fn at(millis: u64) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

#[test]
fn the_first_call_after_an_idle_period_starts_immediately() {
    let mut pacer = AppendPace::new(INTERVALS);
    for urgency in [Urgency::Leave, Urgency::Ends] {
        assert_eq!(pacer.wait(at(0), urgency), None);
    }
    pacer.note(at(0));
    let table = [
        (5, Urgency::Leave, Some(15)),
        (5, Urgency::Ends, Some(75)),
        (20, Urgency::Leave, None),
        (20, Urgency::Ends, Some(60)),
        (80, Urgency::Ends, None),
        (500, Urgency::Leave, None),
    ];
    for (now, urgency, expected) in table {
        let expected = expected.map(Duration::from_millis);
        assert_eq!(pacer.wait(at(now), urgency), expected, "{now} {urgency:?}");
    }
}

#[test]
fn without_intervals_no_call_is_delayed() {
    let mut pacer = AppendPace::new(NO_INTERVALS);
    pacer.note(at(3));
    assert_eq!(pacer.wait(at(3), Urgency::Ends), None);
    assert_eq!(pacer.wait(at(3), Urgency::Leave), None);
}

/// When the oldest request of each kind that waits for a call arrived, in milliseconds.
#[derive(Default)]
struct Waiting {
    leave: Option<u64>,
    ends: Option<u64>,
}

/// Number of calls, and the longest wait of each kind of request in milliseconds.
#[derive(Debug, Default)]
struct Simulated {
    calls: u32,
    leave: u64,
    ends: u64,
}

/// Simulates requests that arrive at the given times; each call takes `took` milliseconds.
fn simulate(leaves: &[u64], ends: &[u64], took: u64, paces: Paces) -> Simulated {
    let mut pacer = AppendPace::new(paces);
    let mut simulated = Simulated::default();
    let mut waiting = Waiting::default();
    let mut busy_until = 0;
    for now in 0..3_000 {
        if leaves.contains(&now) {
            waiting.leave.get_or_insert(now);
        }
        if ends.contains(&now) {
            waiting.ends.get_or_insert(now);
        }
        let urgency = match waiting.leave {
            Some(_) => Urgency::Leave,
            None => Urgency::Ends,
        };
        let is_wanted = waiting.leave.or(waiting.ends).is_some();
        let may_call = now >= busy_until && pacer.wait(at(now), urgency).is_none();
        if !is_wanted || !may_call {
            continue;
        }
        let waited = |since: Option<u64>| since.map_or(0, |since| now - since);
        simulated.leave = simulated.leave.max(waited(waiting.leave));
        simulated.ends = simulated.ends.max(waited(waiting.ends));
        simulated.calls += 1;
        pacer.note(at(now));
        busy_until = now + took;
        waiting = Waiting::default();
    }
    simulated
}

#[test]
fn a_busy_partition_makes_fewer_calls_and_no_wait_exceeds_the_interval() {
    let leaves: Vec<u64> = (0..2_000).step_by(190).collect();
    let ends: Vec<u64> = (0..2_000).step_by(17).collect();
    let unpaced = simulate(&leaves, &ends, 5, NO_INTERVALS);
    let paced = simulate(&leaves, &ends, 5, INTERVALS);
    assert!(paced.calls * 2 <= unpaced.calls, "{paced:?} {unpaced:?}");
    assert!(paced.leave <= 20, "{paced:?}");
    assert!(paced.ends <= 80, "{paced:?}");
}

#[test]
fn a_partition_with_little_load_is_not_delayed() {
    let leaves: Vec<u64> = (0..2_000).step_by(300).collect();
    let ends: Vec<u64> = (150..2_000).step_by(300).collect();
    let paced = simulate(&leaves, &ends, 5, INTERVALS);
    assert_eq!((paced.leave, paced.ends), (0, 0));
}
