//! Tests how often and how late bursts of changes lead to a recomputation.

use std::time::Duration;

use elderworks_gateway_core::recompute_throttle::{MIN_RECOMPUTE_INTERVAL, RecomputeThrottle};
use elderworks_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

#[test]
fn a_change_after_an_idle_period_is_handled_immediately() {
    let mut throttle = RecomputeThrottle::new(MIN_RECOMPUTE_INTERVAL);
    assert!(!throttle.take_due(at(0)), "no change yet");
    assert!(throttle.on_change(at(5)));
    assert!(!throttle.take_due(at(500)), "it has been handled");
    assert!(throttle.on_change(at(900)));
}

#[test]
fn consecutive_changes_are_batched() {
    let mut throttle = RecomputeThrottle::new(Duration::from_millis(100));
    assert!(throttle.on_change(at(0)));
    for millis in 1..100 {
        assert!(!throttle.on_change(at(millis)), "{millis}");
    }
    assert!(!throttle.take_due(at(99)));
    assert!(throttle.take_due(at(100)));
    assert!(!throttle.take_due(at(300)), "no change is pending");
}

#[test]
fn without_an_interval_each_change_is_handled() {
    let mut throttle = RecomputeThrottle::new(Duration::ZERO);
    for _ in 0..10 {
        assert!(throttle.on_change(at(7)));
    }
}

#[test]
fn no_change_is_lost_or_handled_late() {
    // Changes at pseudo-random times, and a check every ten milliseconds.
    let mut throttle = RecomputeThrottle::new(MIN_RECOMPUTE_INTERVAL);
    let mut oldest: Option<u64> = None;
    let min_interval = u64::try_from(MIN_RECOMPUTE_INTERVAL.as_millis()).expect("short");
    for millis in 0..20_000 {
        let is_change = (millis * 7_919) % 1_013 < 40 && millis < 19_000;
        let mut recomputed = false;
        if is_change {
            oldest.get_or_insert(millis);
            recomputed = throttle.on_change(at(millis));
        }
        if millis % 10 == 0 {
            recomputed |= throttle.take_due(at(millis));
        }
        if recomputed {
            oldest = None;
        }
        let waited = oldest.map_or(0, |since| millis - since);
        assert!(waited <= min_interval + 10, "{millis}: {waited}");
    }
    assert_eq!(oldest, None);
}

#[test]
fn a_recomputation_covers_pending_changes() {
    let mut throttle = RecomputeThrottle::new(MIN_RECOMPUTE_INTERVAL);
    assert!(throttle.on_change(at(0)));
    assert!(!throttle.on_change(at(1)));
    throttle.mark_recomputed(at(2));
    assert!(!throttle.take_due(at(500)));
}
