//! Changes of nodes in bursts: how often what follows from them is worked out, and how late.

use std::time::Duration;

use elderworks_gateway_core::recompute_throttle::{MIN_RECOMPUTE_INTERVAL, RecomputeThrottle};
use elderworks_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

#[test]
fn a_change_after_a_rest_is_acted_on_at_once() {
    let mut batch = RecomputeThrottle::new(MIN_RECOMPUTE_INTERVAL);
    assert!(!batch.take_due(at(0)), "nothing has changed");
    assert!(batch.on_change(at(5)));
    assert!(!batch.take_due(at(500)), "it is acted on once");
    assert!(batch.on_change(at(900)));
}

#[test]
fn changes_in_a_row_are_acted_on_together() {
    let mut batch = RecomputeThrottle::new(Duration::from_millis(100));
    assert!(batch.on_change(at(0)));
    for millis in 1..100 {
        assert!(!batch.on_change(at(millis)), "{millis}");
    }
    assert!(!batch.take_due(at(99)));
    assert!(batch.take_due(at(100)));
    assert!(!batch.take_due(at(300)), "nothing is left");
}

#[test]
fn without_a_pace_each_change_is_acted_on() {
    let mut batch = RecomputeThrottle::new(Duration::ZERO);
    for _ in 0..10 {
        assert!(batch.on_change(at(7)));
    }
}

#[test]
fn no_change_is_forgotten_or_acted_on_late() {
    // Changes at times without order, a look every ten milliseconds.
    let mut batch = RecomputeThrottle::new(MIN_RECOMPUTE_INTERVAL);
    let mut oldest: Option<u64> = None;
    let pace = u64::try_from(MIN_RECOMPUTE_INTERVAL.as_millis()).expect("short");
    for millis in 0..20_000 {
        let is_change = (millis * 7_919) % 1_013 < 40 && millis < 19_000;
        let mut acted = false;
        if is_change {
            oldest.get_or_insert(millis);
            acted = batch.on_change(at(millis));
        }
        if millis % 10 == 0 {
            acted |= batch.take_due(at(millis));
        }
        if acted {
            oldest = None;
        }
        let waited = oldest.map_or(0, |since| millis - since);
        assert!(waited <= pace + 10, "{millis}: {waited}");
    }
    assert_eq!(oldest, None);
}

#[test]
fn what_was_acted_on_without_delay_does_not_wait_any_more() {
    let mut batch = RecomputeThrottle::new(MIN_RECOMPUTE_INTERVAL);
    assert!(batch.on_change(at(0)));
    assert!(!batch.on_change(at(1)));
    batch.mark_recomputed(at(2));
    assert!(!batch.take_due(at(500)));
}
