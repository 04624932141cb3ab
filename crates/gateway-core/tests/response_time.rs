//! Time-outs follow the response times.

use std::time::Duration;

use elderworks_gateway_core::response_time::ResponseTimer;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_steady_log_is_waited_for_briefly() {
    let mut timer = ResponseTimer::default();
    for _ in 0..20 {
        timer.note_answer(ms(6));
    }
    assert_eq!(timer.timeout(), ms(150));
}

#[test]
fn a_slow_log_is_waited_for_longer() {
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
fn time_outs_in_a_row_double_the_wait_up_to_a_bound() {
    let mut timer = ResponseTimer::default();
    timer.note_answer(ms(6));
    let expected = [150, 300, 600, 1_200, 1_200];
    for wait in expected {
        assert_eq!(timer.timeout(), ms(wait));
        timer.note_timeout();
    }
    timer.note_answer(ms(6));
    assert_eq!(timer.timeout(), ms(150));
}

#[test]
fn before_the_first_answer_the_wait_is_bounded() {
    assert_eq!(ResponseTimer::default().timeout(), ms(600));
}
