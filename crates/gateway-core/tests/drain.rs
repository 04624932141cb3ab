//! Steps of a node's graceful shutdown.

use std::time::Duration;

use elderworks_gateway_core::drain::{DrainPlan, DrainStep};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn accepted_requests_have_time_to_complete() {
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
        case("start", grace, ms(0), 0, TakeRequests),
        case(
            "idle within the open time",
            grace,
            ms(4_499),
            0,
            TakeRequests,
        ),
        case("idle after the open time", grace, ms(4_500), 0, End),
        case("requests in flight", grace, ms(4_500), 3, Finish),
        case("requests still in flight", grace, ms(6_000), 3, Finish),
        case("exit before the kill", grace, ms(7_800), 3, End),
        case("short grace, open", ms(1_600), ms(899), 0, TakeRequests),
        case("short grace, in flight", ms(1_600), ms(900), 1, Finish),
        case("short grace, exit", ms(1_600), ms(1_400), 1, End),
        case("no grace", ms(0), ms(0), 1, End),
    ];
    for case in cases {
        let step = DrainPlan::new(case.grace).step(case.elapsed, case.in_flight);
        assert_eq!(step, case.step, "{}", case.name);
    }
}
