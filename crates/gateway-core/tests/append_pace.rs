//! Tests how many calls a partition makes and how long requests wait for one.

use std::time::Duration;

use elderworks_gateway_core::append_pace::{AppendIntervals, AppendPacer, AppendUrgency};
use elderworks_types::Timestamp;

const INTERVALS: AppendIntervals = AppendIntervals {
    permits: Duration::from_millis(20),
    completions: Duration::from_millis(80),
};

const NO_INTERVALS: AppendIntervals = AppendIntervals {
    permits: Duration::ZERO,
    completions: Duration::ZERO,
};

fn at(millis: u64) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

#[test]
fn the_first_call_after_an_idle_period_starts_immediately() {
    let mut pacer = AppendPacer::new(INTERVALS);
    for urgency in [AppendUrgency::Permit, AppendUrgency::Completions] {
        assert_eq!(pacer.wait(at(0), urgency), None);
    }
    pacer.call_started(at(0));
    let table = [
        (5, AppendUrgency::Permit, Some(15)),
        (5, AppendUrgency::Completions, Some(75)),
        (20, AppendUrgency::Permit, None),
        (20, AppendUrgency::Completions, Some(60)),
        (80, AppendUrgency::Completions, None),
        (500, AppendUrgency::Permit, None),
    ];
    for (now, urgency, expected) in table {
        let expected = expected.map(Duration::from_millis);
        assert_eq!(pacer.wait(at(now), urgency), expected, "{now} {urgency:?}");
    }
}

#[test]
fn without_intervals_no_call_is_delayed() {
    let mut pacer = AppendPacer::new(NO_INTERVALS);
    pacer.call_started(at(3));
    assert_eq!(pacer.wait(at(3), AppendUrgency::Completions), None);
    assert_eq!(pacer.wait(at(3), AppendUrgency::Permit), None);
}

#[test]
fn an_append_follows_the_read_that_it_depends_on_at_once() {
    let mut pacer = AppendPacer::new(INTERVALS);
    let lost = 0;
    pacer.call_started(at(lost));
    let read = 80;
    assert_eq!(pacer.wait(at(read), AppendUrgency::Completions), None);
    pacer.read_started(at(read), true);
    assert_eq!(pacer.wait(at(read + 4), AppendUrgency::Completions), None);
    pacer.read_started(at(read), false);
    let wait = pacer.wait(at(read + 4), AppendUrgency::Completions);
    assert_eq!(wait, Some(Duration::from_millis(76)), "a verification");
}

/// When the oldest request of each kind that waits for a call arrived, in milliseconds.
#[derive(Default)]
struct Waiting {
    permit: Option<u64>,
    completion: Option<u64>,
}

/// Number of calls, and the longest wait of each kind of request in milliseconds.
#[derive(Debug, Default)]
struct Simulated {
    calls: u32,
    permit_wait: u64,
    completion_wait: u64,
}

/// Simulates requests that arrive at the given times; each call takes `took` milliseconds.
fn simulate(permits: &[u64], completions: &[u64], took: u64, paces: AppendIntervals) -> Simulated {
    let mut pacer = AppendPacer::new(paces);
    let mut simulated = Simulated::default();
    let mut waiting = Waiting::default();
    let mut busy_until = 0;
    for now in 0..3_000 {
        if permits.contains(&now) {
            waiting.permit.get_or_insert(now);
        }
        if completions.contains(&now) {
            waiting.completion.get_or_insert(now);
        }
        let urgency = match waiting.permit {
            Some(_) => AppendUrgency::Permit,
            None => AppendUrgency::Completions,
        };
        let is_wanted = waiting.permit.or(waiting.completion).is_some();
        let may_call = now >= busy_until && pacer.wait(at(now), urgency).is_none();
        if !is_wanted || !may_call {
            continue;
        }
        let waited = |since: Option<u64>| since.map_or(0, |since| now - since);
        simulated.permit_wait = simulated.permit_wait.max(waited(waiting.permit));
        simulated.completion_wait = simulated.completion_wait.max(waited(waiting.completion));
        simulated.calls += 1;
        pacer.call_started(at(now));
        busy_until = now + took;
        waiting = Waiting::default();
    }
    simulated
}

#[test]
fn a_busy_partition_makes_fewer_calls_and_no_wait_exceeds_the_interval() {
    let permits: Vec<u64> = (0..2_000).step_by(190).collect();
    let completions: Vec<u64> = (0..2_000).step_by(17).collect();
    let unpaced = simulate(&permits, &completions, 5, NO_INTERVALS);
    let paced = simulate(&permits, &completions, 5, INTERVALS);
    assert!(paced.calls * 2 <= unpaced.calls, "{paced:?} {unpaced:?}");
    assert!(paced.permit_wait <= 20, "{paced:?}");
    assert!(paced.completion_wait <= 80, "{paced:?}");
}

#[test]
fn a_partition_with_little_load_is_not_delayed() {
    let permits: Vec<u64> = (0..2_000).step_by(300).collect();
    let completions: Vec<u64> = (150..2_000).step_by(300).collect();
    let paced = simulate(&permits, &completions, 5, INTERVALS);
    assert_eq!((paced.permit_wait, paced.completion_wait), (0, 0));
}
