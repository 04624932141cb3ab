//! What becomes of a request after failed attempts, as a table.

use elderworks_gateway_core::attempt::{AttemptFailure, AttemptHistory, NextStep};

use proptest::prelude::*;

use AttemptFailure::{NotSent, RefusedByWorker, Unknown};
use NextStep::{GiveUp, Retry, RetrySameWorker};

/// Whether the answer may promise that the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Promise {
    Holds,
    Open,
}

use Promise::{Holds, Open};

struct Case {
    name: &'static str,
    repeatable: bool,
    max_attempts: u32,
    failures: &'static [AttemptFailure],
    last_step: NextStep,
    promise: Promise,
}

const CASES: &[Case] = &[
    Case {
        name: "an unrepeatable request that was not sent is tried again",
        repeatable: false,
        max_attempts: 1,
        failures: &[NotSent],
        last_step: Retry,
        promise: Holds,
    },
    Case {
        name: "an unrepeatable request that a worker refused is tried again",
        repeatable: false,
        max_attempts: 1,
        failures: &[RefusedByWorker, NotSent, RefusedByWorker],
        last_step: Retry,
        promise: Holds,
    },
    Case {
        name: "an unrepeatable request that may have run is never tried again",
        repeatable: false,
        max_attempts: 3,
        failures: &[Unknown],
        last_step: GiveUp,
        promise: Open,
    },
    Case {
        name: "an unrepeatable request that may have run is never said not to have run",
        repeatable: false,
        max_attempts: 3,
        failures: &[NotSent, RefusedByWorker, Unknown],
        last_step: GiveUp,
        promise: Open,
    },
    Case {
        name: "a repeatable request is tried again while the route allows",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown],
        last_step: Retry,
        promise: Open,
    },
    Case {
        name: "a repeatable request goes to no more workers than the route's attempts",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown, Unknown],
        last_step: RetrySameWorker,
        promise: Open,
    },
    Case {
        name: "a repeatable request ends after the second failure at its last worker",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown, Unknown, Unknown],
        last_step: GiveUp,
        promise: Open,
    },
    Case {
        name: "a repeatable request ends if its last worker does not take it again",
        repeatable: true,
        max_attempts: 1,
        failures: &[Unknown, RefusedByWorker],
        last_step: GiveUp,
        promise: Open,
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
        last_step: GiveUp,
        promise: Holds,
    },
    Case {
        name: "a repeatable request that may have run is not said not to have run either",
        repeatable: true,
        max_attempts: 3,
        failures: &[Unknown],
        last_step: Retry,
        promise: Open,
    },
    Case {
        name: "refusals after a possible run promise nothing, however many there are",
        repeatable: true,
        max_attempts: 3,
        failures: &[
            Unknown,
            RefusedByWorker,
            RefusedByWorker,
            NotSent,
            RefusedByWorker,
            RefusedByWorker,
        ],
        last_step: GiveUp,
        promise: Open,
    },
];

#[test]
fn next_step_after_failures() {
    for case in CASES {
        let mut history = AttemptHistory::default();
        let mut step = Retry;
        for failure in case.failures {
            step = history.after_failure(*failure, case.repeatable, case.max_attempts);
        }
        assert_eq!(step, case.last_step, "{}", case.name);
        let promise = if history.not_run().is_some() {
            Holds
        } else {
            Open
        };
        assert_eq!(promise, case.promise, "{}", case.name);
    }
}

/// What happens to a request on its way.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An attempt begins; whether a byte may have gone out when the next event comes.
    Attempt { sent: bool },
    /// The present attempt fails.
    Fails(AttemptFailure),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        any::<bool>().prop_map(|sent| Event::Attempt { sent }),
        Just(Event::Fails(NotSent)),
        Just(Event::Fails(RefusedByWorker)),
        Just(Event::Fails(Unknown)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn no_history_with_a_possible_run_ends_in_a_promise(
        events in prop::collection::vec(event(), 0..12),
        repeatable: bool,
        max_attempts in 1u32..4,
    ) {
        let mut history = AttemptHistory::default();
        let mut present_sent = false;
        let mut may_have_run = false;
        for event in events {
            match event {
                Event::Attempt { sent } => {
                    may_have_run |= present_sent;
                    let mark = history.start_attempt();
                    if sent {
                        mark.note_sending();
                    }
                    present_sent = sent;
                }
                Event::Fails(failure) => {
                    history.after_failure(failure, repeatable, max_attempts);
                    may_have_run |= failure == Unknown;
                    present_sent = false;
                }
            }
            let expected = may_have_run || present_sent;
            prop_assert_eq!(history.may_have_run(), expected);
            prop_assert_eq!(history.not_run().is_none(), expected);
        }
    }
}
