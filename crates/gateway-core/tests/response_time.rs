//! Adaptation of the time-out to response times.

use std::time::Duration;

use elderworks_gateway_core::response_time::ResponseTimer;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_fast_service_has_the_minimum_timeout() {
    let mut timer = ResponseTimer::default();
    for _ in 0..20 {
        timer.note_answer(ms(6));
    }
    assert_eq!(timer.timeout(), ms(150));
}

#[test]
fn a_slow_service_has_a_longer_timeout() {
    let mut timer = ResponseTimer::default();
    for _ in 0..20 {
        timer.note_answer(ms(6));
    }
    for _ in 0..10 {
        timer.note_answer(ms(300));
    }
    assert!(timer.timeout() > ms(350), "{:?}", timer.timeout());
}

#[test]
fn the_timeout_recovers_after_one_slow_response() {
    let mut timer = ResponseTimer::default();
    timer.note_answer(ms(1_400));
    assert_eq!(timer.timeout(), ms(1_200), "bounded");
    for _ in 0..40 {
        timer.note_answer(ms(6));
    }
    assert_eq!(timer.timeout(), ms(150));
}

#[test]
fn the_initial_timeout_is_bounded() {
    assert_eq!(ResponseTimer::default().timeout(), ms(300));
}
