//! Steps of a node's graceful shutdown.

use std::time::Duration;

use elderworks_gateway_core::drain::{DrainPlan, DrainStep};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn accepted_requests_have_time_to_complete() {
    use DrainStep::{Abort, End, Finish, TakeRequests};
    struct Case {
        name: &'static str,
        grace: Duration,
        elapsed: Duration,
        has_work: bool,
        step: DrainStep,
    }
    let case = |name, grace, elapsed, has_work, step| Case {
        name,
        grace,
        elapsed,
        has_work,
        step,
    };
    let grace = ms(8_000);
    let short = ms(1_600);
    let cases = [
        case("start", grace, ms(0), false, TakeRequests),
        case("idle, open", grace, ms(4_499), false, TakeRequests),
        case("idle after the open time", grace, ms(4_500), false, Finish),
        case("idle, connections closed", grace, ms(4_700), false, End),
        case("work in progress", grace, ms(4_500), true, Finish),
        case("work still in progress", grace, ms(6_000), true, Finish),
        case("work until the end", grace, ms(7_800), true, Abort),
        case("nothing to end", grace, ms(7_800), false, End),
        case("exit before the kill", grace, ms(7_900), true, End),
        case("short grace, open", short, ms(899), false, TakeRequests),
        case("short grace, work", short, ms(1_399), true, Finish),
        case("short grace, abort", short, ms(1_400), true, Abort),
        case("short grace, exit", short, ms(1_500), true, End),
        case("no grace", ms(0), ms(0), true, End),
    ];
    for case in cases {
        let step = DrainPlan::new(case.grace).step(case.elapsed, case.has_work);
        assert_eq!(step, case.step, "{}", case.name);
    }
}

#[test]
fn a_process_does_not_exit_before_it_has_closed_its_connections() {
    let plan = DrainPlan::new(ms(8_000));
    let steps = (0..8_000).map(|elapsed| plan.step(ms(elapsed), false));
    let last_open = steps.take_while(|step| *step != DrainStep::End).last();
    assert_eq!(last_open, Some(DrainStep::Finish));
}
