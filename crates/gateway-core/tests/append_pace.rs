//! How many calls a partition makes, and how long a request waits for one.

use std::time::Duration;

use elderworks_gateway_core::append_pace::{AppendIntervals, AppendPacer, AppendUrgency};
use elderworks_types::Timestamp;

const PACES: AppendIntervals = AppendIntervals {
    permits: Duration::from_millis(20),
    completions: Duration::from_millis(80),
};

const NONE: AppendIntervals = AppendIntervals {
    permits: Duration::ZERO,
    completions: Duration::ZERO,
};

fn at(millis: u64) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

#[test]
fn the_first_call_after_a_rest_goes_at_once() {
    let mut pace = AppendPacer::new(PACES);
    for urgency in [AppendUrgency::Permit, AppendUrgency::Completions] {
        assert_eq!(pace.wait(at(0), urgency), None);
    }
    pace.call_started(at(0));
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
        assert_eq!(pace.wait(at(now), urgency), expected, "{now} {urgency:?}");
    }
}

#[test]
fn without_a_pace_nothing_waits() {
    let mut pace = AppendPacer::new(NONE);
    pace.call_started(at(3));
    assert_eq!(pace.wait(at(3), AppendUrgency::Completions), None);
    assert_eq!(pace.wait(at(3), AppendUrgency::Permit), None);
}

/// What has come and waits for a call.
#[derive(Default)]
struct Waiting {
    leave: Option<u64>,
    ends: Option<u64>,
}

/// Calls, and the longest waits of a leave and of an end.
#[derive(Debug, Default)]
struct Played {
    calls: u32,
    leave: u64,
    ends: u64,
}

/// Requests for leave and ends at these times; each call takes `took`.
fn play(leaves: &[u64], ends: &[u64], took: u64, paces: AppendIntervals) -> Played {
    let mut pace = AppendPacer::new(paces);
    let mut played = Played::default();
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
            Some(_) => AppendUrgency::Permit,
            None => AppendUrgency::Completions,
        };
        let is_wanted = waiting.leave.or(waiting.ends).is_some();
        let may_call = now >= busy_until && pace.wait(at(now), urgency).is_none();
        if !is_wanted || !may_call {
            continue;
        }
        let waited = |since: Option<u64>| since.map_or(0, |since| now - since);
        played.leave = played.leave.max(waited(waiting.leave));
        played.ends = played.ends.max(waited(waiting.ends));
        played.calls += 1;
        pace.call_started(at(now));
        busy_until = now + took;
        waiting = Waiting::default();
    }
    played
}

#[test]
fn a_busy_partition_calls_less_and_nobody_waits_longer_than_the_pace() {
    let leaves: Vec<u64> = (0..2_000).step_by(190).collect();
    let ends: Vec<u64> = (0..2_000).step_by(17).collect();
    let unpaced = play(&leaves, &ends, 5, NONE);
    let paced = play(&leaves, &ends, 5, PACES);
    assert!(paced.calls * 2 <= unpaced.calls, "{paced:?} {unpaced:?}");
    assert!(paced.leave <= 20, "{paced:?}");
    assert!(paced.ends <= 80, "{paced:?}");
}

#[test]
fn a_partition_with_little_to_do_is_not_slowed() {
    let leaves: Vec<u64> = (0..2_000).step_by(300).collect();
    let ends: Vec<u64> = (150..2_000).step_by(300).collect();
    let paced = play(&leaves, &ends, 5, PACES);
    assert_eq!((paced.leave, paced.ends), (0, 0));
}
