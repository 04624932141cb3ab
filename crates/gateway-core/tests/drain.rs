//! Until when a leaving node takes requests, and when it ends.

use std::time::Duration;

use elderworks_gateway_core::drain::{DrainPlan, DrainStep};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn requests_taken_late_have_time_to_end() {
    use DrainStep::{End, Finish, TakeRequests};
    struct Case {
        name: &'static str,
        grace: Duration,
        elapsed: Duration,
        in_flight: u32,
        step: DrainStep,
    }
    let case = |name, grace, elapsed, in_flight, step| Case {
        name,
        grace,
        elapsed,
        in_flight,
        step,
    };
    let grace = ms(8_000);
    let cases = [
        case("callers hold its address", grace, ms(0), 0, TakeRequests),
        case("though nobody calls", grace, ms(4_499), 0, TakeRequests),
        case("idle after that", grace, ms(4_500), 0, End),
        case("streams go on", grace, ms(4_500), 3, Finish),
        case("nothing new near the end", grace, ms(6_000), 3, Finish),
        case("it ends before it is killed", grace, ms(7_800), 3, End),
        case("a short grace", ms(1_600), ms(899), 0, TakeRequests),
        case("half of it is for the rest", ms(1_600), ms(900), 1, Finish),
        case("and its end", ms(1_600), ms(1_400), 1, End),
        case("no grace", ms(0), ms(0), 1, End),
    ];
    for case in cases {
        let step = DrainPlan::new(case.grace).step(case.elapsed, case.in_flight);
        assert_eq!(step, case.step, "{}", case.name);
    }
}
