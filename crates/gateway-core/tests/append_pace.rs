//! How many appends a partition makes, and how long a request waits for one.

use std::time::Duration;

use elderworks_gateway_core::append_pace::AppendPace;
use elderworks_types::Timestamp;

const PACE: Duration = Duration::from_millis(20);

fn at(millis: u64) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

#[test]
fn the_first_append_after_a_rest_goes_at_once() {
    let mut pace = AppendPace::new(PACE);
    assert_eq!(pace.wait(at(0)), None);
    pace.note(at(0));
    assert_eq!(pace.wait(at(5)), Some(Duration::from_millis(15)));
    assert_eq!(pace.wait(at(20)), None);
    assert_eq!(pace.wait(at(500)), None);
}

#[test]
fn without_a_pace_nothing_waits() {
    let mut pace = AppendPace::new(Duration::ZERO);
    pace.note(at(3));
    assert_eq!(pace.wait(at(3)), None);
}

/// Appends that requests at these times need, each of which takes `took`, and the longest wait.
fn play(requests: &[u64], took: u64, pace: Duration) -> (u32, u64) {
    let mut pace = AppendPace::new(pace);
    let (mut appends, mut longest) = (0, 0);
    let mut oldest: Option<u64> = None;
    let mut busy_until = 0;
    for now in 0..3_000 {
        if requests.contains(&now) {
            oldest.get_or_insert(now);
        }
        let may_append = now >= busy_until && pace.wait(at(now)).is_none();
        if let Some(since) = oldest.filter(|_| may_append) {
            longest = longest.max(now - since);
            appends += 1;
            pace.note(at(now));
            busy_until = now + took;
            oldest = None;
        }
    }
    (appends, longest)
}

#[test]
fn a_busy_partition_appends_less_and_nobody_waits_longer_than_the_pace() {
    // One request each 7 ms for two seconds.
    let requests: Vec<u64> = (0..2_000).step_by(7).collect();
    let (unpaced, _) = play(&requests, 5, Duration::ZERO);
    let (paced, longest) = play(&requests, 5, PACE);
    assert!(paced * 2 <= unpaced, "{paced} of {unpaced}");
    assert!(longest <= 20, "{longest}");
}
