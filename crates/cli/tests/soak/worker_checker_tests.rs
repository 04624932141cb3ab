//! Tests of the checks of which workers work on a request: each accepts what is allowed and detects
//! violations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::callers::{Kind, TURN_TOKENS};
use crate::checker_tests::{record, run};
use crate::checks::{Observations, violations};
use crate::proxy::Period;
use crate::standin::worker::{COPY_HEADER, Run};
use crate::worker_checks::LostTimes;

/// Start of the observations.
struct Clock(Instant);

impl Clock {
    fn new() -> Self {
        Self(Instant::now())
    }

    fn at(&self, milliseconds: u64) -> Instant {
        self.0 + Duration::from_millis(milliseconds)
    }

    fn period(&self, from: u64, until: u64) -> Period {
        (self.at(from), self.at(until))
    }

    /// Returns a run at a worker from one moment until another, in milliseconds.
    fn run(&self, worker: &str, from: u64, until: u64) -> Run {
        Run {
            worker: worker.to_owned(),
            started: self.at(from),
            ended: Some(self.at(until)),
            ..run("a", "input ")
        }
    }

    /// Returns a run that goes on from a copy.
    fn copy(&self, worker: &str, from: u64, until: u64) -> Run {
        let header = (COPY_HEADER.to_owned(), "127.0.0.1:1/h".to_owned());
        Run {
            headers: vec![header],
            ..self.run(worker, from, until)
        }
    }
}

fn observations(kind: Kind, runs: Vec<Run>) -> Observations {
    Observations {
        requests: BTreeMap::from([("a".to_owned(), record(kind, None, None))]),
        budgets: BTreeMap::from([("p".to_owned(), TURN_TOKENS)]),
        runs,
        deadly: Vec::new(),
        impatient: Vec::new(),
        lost: BTreeMap::new(),
        stalls: Vec::new(),
    }
}

fn check(name: &str, observations: &Observations, is_violation: bool) {
    let found = violations(observations);
    assert_eq!(!found.is_empty(), is_violation, "{name}: {found:?}");
}

fn unreachable(period: Period) -> LostTimes {
    LostTimes {
        unreachable: vec![period],
        ended: Vec::new(),
    }
}

#[test]
fn two_workers_at_work_for_over_400_ms_are_a_violation() {
    let clock = Clock::new();
    for kind in [Kind::TurnAtTwo, Kind::ChangingTurn] {
        for (end, is_violation) in [(500, false), (900, false), (901, true), (1_500, true)] {
            let runs = vec![clock.run("v", 0, end), clock.run("w", 500, 1_500)];
            check(
                &format!("{kind:?} {end}"),
                &observations(kind, runs),
                is_violation,
            );
        }
    }
    let runs = vec![clock.run("v", 0, 1_500), clock.run("v", 500, 1_500)];
    check("one worker", &observations(Kind::Turn, runs), false);
    let runs = vec![clock.run("v", 0, 1_500), clock.run("w", 500, 1_500)];
    check("calls", &observations(Kind::SafeCall, runs), false);
    let unfinished = Run {
        ended: None,
        ..clock.run("v", 0, 0)
    };
    let long_ago = Instant::now().checked_sub(Duration::from_secs(2));
    let later = Run {
        started: long_ago.expect("a clock"),
        ended: None,
        ..clock.run("w", 0, 0)
    };
    let earlier = Run {
        started: later.started - Duration::from_millis(1),
        ..unfinished
    };
    let runs = vec![earlier, later];
    check("without end", &observations(Kind::TurnAtTwo, runs), true);
}

#[test]
fn two_copies_of_a_run_at_work_for_over_400_ms_are_a_violation() {
    let clock = Clock::new();
    for (end, is_violation) in [(600, false), (1_500, true)] {
        let runs = vec![clock.run("v", 0, end), clock.copy("w", 500, 1_500)];
        let name = format!("a copy, {end}");
        check(&name, &observations(Kind::TurnOnce, runs), is_violation);
    }
}

#[test]
fn work_at_a_worker_that_was_lost_then_is_allowed() {
    let clock = Clock::new();
    for (from, until, is_violation) in [
        (5_400, 5_600, false),
        (5_100, 5_200, false),
        (5_850, 6_000, false),
        (4_000, 4_900, true),
        (6_000, 7_000, true),
    ] {
        let runs = vec![clock.run("v", 5_000, 6_500), clock.run("w", 5_500, 6_500)];
        let mut observations = observations(Kind::TurnAtTwo, runs);
        let lost = unreachable(clock.period(from, until));
        observations.lost.insert("v".to_owned(), lost.clone());
        let name = format!("lost from {from} to {until}");
        check(&name, &observations, is_violation);
        observations.lost = BTreeMap::from([("w".to_owned(), lost)]);
        check("the later one is lost", &observations, true);
    }
}

#[test]
fn times_in_which_the_test_stood_still_do_not_count_as_work() {
    let clock = Clock::new();
    for (from, until, is_violation) in [(600, 800, false), (600, 650, true), (0, 500, true)] {
        let runs = vec![clock.run("v", 0, 1_000), clock.run("w", 500, 1_000)];
        let mut observations = observations(Kind::TurnAtTwo, runs);
        observations.stalls = vec![clock.period(from, until)];
        check(&format!("stall from {from}"), &observations, is_violation);
    }
}

#[test]
fn runs_at_more_workers_than_the_route_allows_are_a_violation() {
    let clock = Clock::new();
    let workers = ["u", "v", "w", "x"];
    for (kind, allowed) in [(Kind::Turn, 1), (Kind::TurnAtTwo, 2), (Kind::SafeCall, 3)] {
        for count in 1..=workers.len() {
            let runs = workers.iter().take(count).zip(0..);
            let runs = runs.map(|(worker, n)| clock.run(worker, 1_000 * n, 1_000 * n + 500));
            let observations = observations(kind, runs.collect());
            check(&format!("{kind:?} {count}"), &observations, count > allowed);
        }
    }
    let again = (0..4).map(|n| clock.run("v", 1_000 * n, 1_000 * n + 500));
    check(
        "again at one worker",
        &observations(Kind::Turn, again.collect()),
        false,
    );
}

#[test]
fn workers_that_were_lost_before_the_next_run_do_not_count() {
    let clock = Clock::new();
    for (from, until, is_violation) in [
        (5_900, 6_100, false),
        (0, 5_000, true),
        (6_100, 7_000, true),
    ] {
        let runs = vec![clock.run("v", 5_000, 5_500), clock.run("w", 6_000, 6_500)];
        let mut observations = observations(Kind::Turn, runs);
        let lost = unreachable(clock.period(from, until));
        observations.lost.insert("v".to_owned(), lost);
        check(&format!("lost from {from}"), &observations, is_violation);
    }
}

#[test]
fn a_copy_of_a_stopped_run_is_no_second_run() {
    let clock = Clock::new();
    for kind in [Kind::TurnOnce, Kind::StoredTurn, Kind::Turn] {
        let runs = vec![clock.run("v", 0, 500), clock.copy("w", 600, 900)];
        check(&format!("{kind:?}"), &observations(kind, runs), false);
    }
    for kind in [Kind::CallOnce, Kind::TurnOnce, Kind::StoredTurn] {
        let runs = vec![clock.run("v", 0, 500), clock.run("w", 600, 900)];
        check(&format!("{kind:?} twice"), &observations(kind, runs), true);
    }
}

#[test]
fn the_end_of_a_process_counts_for_its_own_runs_only() {
    let clock = Clock::new();
    for (ended, is_violation) in [(5_600, false), (4_900, true), (6_100, true)] {
        let runs = vec![clock.run("v", 5_000, 5_600), clock.run("w", 6_000, 6_500)];
        let mut observations = observations(Kind::Turn, runs);
        let lost = LostTimes {
            unreachable: Vec::new(),
            ended: vec![clock.at(ended)],
        };
        observations.lost.insert("v".to_owned(), lost);
        check(&format!("ended at {ended}"), &observations, is_violation);
    }
}
