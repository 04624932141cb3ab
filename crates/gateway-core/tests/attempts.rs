//! What becomes of a request after failed attempts, as a table.

use elderworks_gateway_core::attempt::{AttemptFailure, AttemptHistory, NextStep};

use AttemptFailure::{NotSent, RefusedByWorker, Unknown};
use NextStep::{AnswerNotRun, AnswerUnknown, TryAgain, TrySameWorker};

struct Case {
    name: &'static str,
    repeatable: bool,
    max_attempts: u32,
    failures: &'static [AttemptFailure],
    last_step: NextStep,
}

const CASES: &[Case] = &[
    Case {
        name: "an unrepeatable request that was not sent is tried again",
        repeatable: false,
        max_attempts: 1,
        failures: &[NotSent],
        last_step: TryAgain,
    },
    Case {
        name: "an unrepeatable request that a worker refused is tried again",
        repeatable: false,
        max_attempts: 1,
        failures: &[RefusedByWorker, NotSent, RefusedByWorker],
        last_step: TryAgain,
    },
    Case {
        name: "an unrepeatable request that may have run is never tried again",
        repeatable: false,
        max_attempts: 3,
        failures: &[Unknown],
        last_step: AnswerUnknown,
    },
    Case {
        name: "an unrepeatable request that may have run is never said not to have run",
        repeatable: false,
        max_attempts: 3,
        failures: &[NotSent, RefusedByWorker, Unknown],
        last_step: AnswerUnknown,
    },
    Case {
        name: "a repeatable request is tried again while the route allows",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown],
        last_step: TryAgain,
    },
    Case {
        name: "a repeatable request goes to no more workers than the route's attempts",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown, Unknown],
        last_step: TrySameWorker,
    },
    Case {
        name: "a repeatable request ends after the second failure at its last worker",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown, Unknown, Unknown],
        last_step: AnswerUnknown,
    },
    Case {
        name: "a repeatable request ends if its last worker does not take it again",
        repeatable: true,
        max_attempts: 1,
        failures: &[Unknown, RefusedByWorker],
        last_step: AnswerUnknown,
    },
    Case {
        name: "refusals are not tried for ever",
        repeatable: false,
        max_attempts: 1,
        failures: &[
            RefusedByWorker,
            RefusedByWorker,
            RefusedByWorker,
            RefusedByWorker,
            RefusedByWorker,
        ],
        last_step: AnswerNotRun,
    },
];

#[test]
fn next_step_after_failures() {
    for case in CASES {
        let mut history = AttemptHistory::default();
        let mut step = TryAgain;
        for failure in case.failures {
            step = history.after_failure(*failure, case.repeatable, case.max_attempts);
        }
        assert_eq!(step, case.last_step, "{}", case.name);
    }
}

#[test]
fn giving_up_after_a_possible_run_never_promises_that_it_was_not_run() {
    let mut history = AttemptHistory::default();
    history.after_failure(Unknown, false, 1);
    assert_eq!(history.give_up(false), AnswerUnknown);
}
