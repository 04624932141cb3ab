//! Retries after failed attempts, and when the proof is given that a request was not run.

use elderworks_gateway_core::attempt::{AttemptFailure, AttemptHistory, NextStep, SendDecision};
use elderworks_gateway_core::worker_ends::EndCount;

use proptest::prelude::*;

use AttemptFailure::{NotSent, RefusedByWorker, Unknown};
use NextStep::{GiveUp, Retry, RetrySameWorker};

/// Whether the history proves that the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotRunProof {
    Given,
    Withheld,
}

use NotRunProof::{Given, Withheld};

struct Case {
    name: &'static str,
    repeatable: bool,
    max_attempts: u32,
    failures: &'static [AttemptFailure],
    last_step: NextStep,
    proof: NotRunProof,
}

const CASES: &[Case] = &[
    Case {
        name: "an unrepeatable request that was not sent is retried",
        repeatable: false,
        max_attempts: 1,
        failures: &[NotSent],
        last_step: Retry,
        proof: Given,
    },
    Case {
        name: "an unrepeatable request that a worker refused is retried",
        repeatable: false,
        max_attempts: 1,
        failures: &[RefusedByWorker, NotSent, RefusedByWorker],
        last_step: Retry,
        proof: Given,
    },
    Case {
        name: "an unrepeatable request that may have run is not retried",
        repeatable: false,
        max_attempts: 3,
        failures: &[Unknown],
        last_step: GiveUp,
        proof: Withheld,
    },
    Case {
        name: "an unrepeatable request that may have run has no proof",
        repeatable: false,
        max_attempts: 3,
        failures: &[NotSent, RefusedByWorker, Unknown],
        last_step: GiveUp,
        proof: Withheld,
    },
    Case {
        name: "a repeatable request is retried while the route allows",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown],
        last_step: Retry,
        proof: Withheld,
    },
    Case {
        name: "a repeatable request runs at no more workers than the route allows",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown, Unknown],
        last_step: RetrySameWorker,
        proof: Withheld,
    },
    Case {
        name: "a repeatable request fails after the second failure at its last worker",
        repeatable: true,
        max_attempts: 2,
        failures: &[Unknown, Unknown, Unknown],
        last_step: GiveUp,
        proof: Withheld,
    },
    Case {
        name: "a repeatable request fails if its last worker refuses it",
        repeatable: true,
        max_attempts: 1,
        failures: &[Unknown, RefusedByWorker],
        last_step: GiveUp,
        proof: Withheld,
    },
    Case {
        name: "refused requests are not retried forever",
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
        proof: Given,
    },
    Case {
        name: "a repeatable request that may have run has no proof",
        repeatable: true,
        max_attempts: 3,
        failures: &[Unknown],
        last_step: Retry,
        proof: Withheld,
    },
    Case {
        name: "refusals after a possible run give no proof",
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
        proof: Withheld,
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
        let proof = if history.not_run().is_some() {
            Given
        } else {
            Withheld
        };
        assert_eq!(proof, case.proof, "{}", case.name);
    }
}

/// An event in the attempts of a request.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An attempt starts; `sent` is whether it sends a byte before the next event.
    Attempt { sent: bool },
    /// The current attempt fails.
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
    fn the_proof_is_never_given_after_a_possible_run(
        events in prop::collection::vec(event(), 0..12),
        repeatable: bool,
        max_attempts in 1u32..4,
    ) {
        let mut history = AttemptHistory::default();
        let mut current_sent = false;
        let mut may_have_run = false;
        for event in events {
            match event {
                Event::Attempt { sent } => {
                    may_have_run |= current_sent;
                    let decision = history.decide_send(EndCount::NONE, usize::MAX);
                    let SendDecision::Permitted(permit) = decision else {
                        panic!("no worker has ended");
                    };
                    let mark = history.start_attempt(permit);
                    if sent {
                        mark.note_sending();
                    }
                    current_sent = sent;
                }
                Event::Fails(failure) => {
                    history.after_failure(failure, repeatable, max_attempts);
                    may_have_run |= failure == Unknown;
                    current_sent = false;
                }
            }
            let expected = may_have_run || current_sent;
            prop_assert_eq!(history.may_have_run(), expected);
            prop_assert_eq!(history.not_run().is_none(), expected);
        }
    }
}
