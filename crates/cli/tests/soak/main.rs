//! Real gateway processes under faults injected from outside: what callers and workers see must
//! keep the promises of the platform's pages.
//!
//! Each seed draws a schedule of faults: signals to processes (pause, kill, restart, orderly stop),
//! connections that a loopback proxy delays, resets, cuts one way, silences or forgets, troubles of the
//! store, series of configurations, and workers that misbehave. Several are in force at a time, and
//! one may begin before another has healed. Half of the callers send one request after the other on a
//! connection until it ends; some ask for long streams and leave them unread for a while, and the most
//! memory that a process held is printed. Time of day is not among the faults, since nothing that decides uses it;
//! links between nodes are disturbed only through their processes.
//!
//! The test command plays the seeds of [`REGRESSIONS`] for a few seconds each. For a soak of minutes
//! with fresh seeds, set `ELDERWORKS_SOAK_SECONDS`, and `ELDERWORKS_SOAK_SEED` to play one seed
//! again: `ELDERWORKS_SOAK_SECONDS=300 cargo test --release -p elderworks-cli --test soak -- --nocapture`.

#[path = "../../../../platform/tests/standin/mod.rs"]
mod standin;

mod callers;
mod checker_tests;
mod checks;
mod faults;
mod fleet;
mod proxy;
mod round;

use std::time::{Duration, Instant};

/// Seeds that every test run plays, each with the reason why it stays.
const REGRESSIONS: &[(u64, &str)] = &[
    (1, "no finding: a short schedule for every test run"),
    (2, "no finding: another one"),
    (3, "no finding: stops of several processes at once"),
    (4, "no finding: further sizes"),
    (5, "no finding: further sizes"),
    (10, "no finding: a large round"),
];

/// Time under faults of one seed.
const ROUND: Duration = Duration::from_secs(6);

#[actix_rt::test]
async fn seeds_of_earlier_findings() {
    for (seed, reason) in REGRESSIONS {
        println!("seed {seed}: {reason}");
        round::play(*seed, ROUND).await;
    }
}

#[actix_rt::test]
async fn fresh_seeds_for_as_long_as_asked() {
    let Some(seconds) = number("ELDERWORKS_SOAK_SECONDS") else {
        return;
    };
    let until = Instant::now() + Duration::from_secs(seconds);
    if let Some(seed) = number("ELDERWORKS_SOAK_SEED") {
        return round::play(seed, Duration::from_secs(seconds)).await;
    }
    while Instant::now() < until {
        round::play(rand::random(), ROUND).await;
    }
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
