//! Retries after failed attempts, and when the proof is given that a request was not run.

use elderworks_gateway_core::attempt::{
    AttemptFailure, AttemptHistory, NextStep, Overlap, RetryRules, SendDecision, SendScope,
};
use elderworks_gateway_core::worker_ends::EndCount;

use proptest::prelude::*;

use AttemptFailure::{NotReached, NotSent, RefusedByWorker, Unknown, UnknownAtEndedWorker};
use NextStep::{GiveUp, Retry, RetrySameWorker, StopRun};

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
        let rules = RetryRules {
            repeatable: case.repeatable,
            max_workers: case.max_attempts,
            overlap: Overlap::Allowed,
        };
        for (number, failure) in case.failures.iter().enumerate() {
            step = history.after_failure(*failure, &format!("w{number}"), rules);
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

/// What happens to a request whose stream broke off at the engine `w1`.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An attempt at this engine fails.
    Fails(&'static str, AttemptFailure),
    /// The stream breaks off at this engine.
    Breaks(&'static str),
    /// This engine confirms that it doesn't run the request.
    Stops(&'static str),
    /// This engine is lost.
    Lost(&'static str),
}

struct EngineCase {
    name: &'static str,
    max_workers: u32,
    steps: &'static [Step],
    /// The step after the last failure, if the last step is one.
    next: Option<NextStep>,
    /// The only engine to which the request may be sent.
    only: Option<&'static str>,
}

const ENGINE_CASES: &[EngineCase] = &[
    EngineCase {
        name: "a broken stream stays where it was",
        max_workers: 1,
        steps: &[Step::Breaks("w1")],
        next: None,
        only: Some("w1"),
    },
    EngineCase {
        name: "a refusal doesn't undo that the engine may have run the stream",
        max_workers: 1,
        steps: &[Step::Breaks("w1"), Step::Fails("w1", RefusedByWorker)],
        next: Some(RetrySameWorker),
        only: Some("w1"),
    },
    EngineCase {
        name: "refusals by the only engine end the stream",
        max_workers: 1,
        steps: &[
            Step::Breaks("w1"),
            Step::Fails("w1", RefusedByWorker),
            Step::Fails("w1", RefusedByWorker),
            Step::Fails("w1", RefusedByWorker),
        ],
        next: Some(GiveUp),
        only: Some("w1"),
    },
    EngineCase {
        name: "a stream that breaks again may be refused again",
        max_workers: 1,
        steps: &[
            Step::Breaks("w1"),
            Step::Fails("w1", RefusedByWorker),
            Step::Fails("w1", RefusedByWorker),
            Step::Breaks("w1"),
            Step::Fails("w1", RefusedByWorker),
        ],
        next: Some(RetrySameWorker),
        only: Some("w1"),
    },
    EngineCase {
        name: "an engine that stopped counts among those that ran the stream",
        max_workers: 1,
        steps: &[Step::Breaks("w1"), Step::Stops("w1")],
        next: None,
        only: Some("w1"),
    },
    EngineCase {
        name: "a lost engine doesn't count",
        max_workers: 1,
        steps: &[Step::Breaks("w1"), Step::Lost("w1")],
        next: None,
        only: None,
    },
    EngineCase {
        name: "an engine that can't be reached is lost",
        max_workers: 1,
        steps: &[Step::Breaks("w1"), Step::Fails("w1", NotReached)],
        next: Some(Retry),
        only: None,
    },
    EngineCase {
        name: "a request that wasn't sent says nothing of the engine",
        max_workers: 1,
        steps: &[Step::Breaks("w1"), Step::Fails("w1", NotSent)],
        next: Some(RetrySameWorker),
        only: Some("w1"),
    },
    EngineCase {
        name: "a second engine only once the first has stopped",
        max_workers: 2,
        steps: &[Step::Breaks("w1"), Step::Fails("w1", RefusedByWorker)],
        next: Some(StopRun),
        only: Some("w1"),
    },
    EngineCase {
        name: "the same before the first event",
        max_workers: 2,
        steps: &[Step::Fails("w1", Unknown)],
        next: Some(StopRun),
        only: Some("w1"),
    },
    EngineCase {
        name: "the same, but the engine has ended",
        max_workers: 2,
        steps: &[Step::Fails("w1", UnknownAtEndedWorker)],
        next: Some(Retry),
        only: None,
    },
    EngineCase {
        name: "a second engine after the first has stopped",
        max_workers: 2,
        steps: &[Step::Breaks("w1"), Step::Stops("w1")],
        next: None,
        only: None,
    },
    EngineCase {
        name: "an engine that may run the stream again may work on it",
        max_workers: 2,
        steps: &[Step::Breaks("w1"), Step::Stops("w1"), Step::Breaks("w1")],
        next: None,
        only: Some("w1"),
    },
    EngineCase {
        name: "no third engine where two are allowed",
        max_workers: 2,
        steps: &[
            Step::Breaks("w1"),
            Step::Stops("w1"),
            Step::Breaks("w2"),
            Step::Stops("w2"),
        ],
        next: None,
        only: Some("w2"),
    },
    EngineCase {
        name: "a third engine in place of a lost one",
        max_workers: 2,
        steps: &[
            Step::Breaks("w1"),
            Step::Lost("w1"),
            Step::Breaks("w2"),
            Step::Stops("w2"),
        ],
        next: None,
        only: None,
    },
];

#[test]
fn engines_to_which_a_request_may_be_sent() {
    for case in ENGINE_CASES {
        let rules = RetryRules {
            repeatable: true,
            max_workers: case.max_workers,
            overlap: Overlap::Excluded,
        };
        let mut history = AttemptHistory::default();
        let mut next = None;
        for step in case.steps {
            next = None;
            match *step {
                Step::Fails(engine, failure) => {
                    next = Some(history.after_failure(failure, engine, rules));
                }
                Step::Breaks(engine) => history.note_broken_answer(engine),
                Step::Stops(engine) => history.note_stopped(engine),
                Step::Lost(engine) => history.note_lost(engine),
            }
        }
        assert_eq!(next, case.next, "{}", case.name);
        let scope = match case.only {
            Some(engine) => SendScope::Only(engine.to_owned()),
            None => SendScope::Any,
        };
        assert_eq!(history.scope(rules), scope, "{}", case.name);
        let may_have_run = case
            .steps
            .iter()
            .any(|step| matches!(step, Step::Breaks(_)));
        assert!(
            !may_have_run || history.not_run().is_none(),
            "{}",
            case.name
        );
    }
}

fn engine_step() -> impl Strategy<Value = Step> {
    let engine = || prop::sample::select(vec!["w1", "w2", "w3"]);
    let failures = vec![
        NotReached,
        NotSent,
        RefusedByWorker,
        Unknown,
        UnknownAtEndedWorker,
    ];
    let failure = prop::sample::select(failures);
    prop_oneof![
        (engine(), failure).prop_map(|(engine, failure)| Step::Fails(engine, failure)),
        engine().prop_map(Step::Breaks),
        engine().prop_map(Step::Stops),
        engine().prop_map(Step::Lost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(4_000) })]

    /// Sends only where the history allows it, and follows which engines may have run the request.
    #[test]
    fn runs_never_overlap_nor_exceed_the_limit(
        steps in prop::collection::vec(engine_step(), 0..20),
        max_workers in 1u32..4,
        overlap in prop::sample::select(vec![Overlap::Allowed, Overlap::Excluded]),
    ) {
        let rules = RetryRules { repeatable: true, max_workers, overlap };
        let mut history = AttemptHistory::default();
        let mut ran_at = std::collections::BTreeMap::<&str, bool>::new();
        let may_send = |history: &AttemptHistory, engine: &str| history.may_send_to(engine, rules);
        for step in steps {
            match step {
                Step::Fails(engine, failure) if may_send(&history, engine) => {
                    history.after_failure(failure, engine, rules);
                    match failure {
                        Unknown => { ran_at.insert(engine, true); }
                        NotReached | UnknownAtEndedWorker => { ran_at.remove(engine); }
                        NotSent | RefusedByWorker => {}
                    }
                }
                Step::Breaks(engine) if may_send(&history, engine) => {
                    history.note_broken_answer(engine);
                    ran_at.insert(engine, true);
                }
                Step::Fails(..) | Step::Breaks(_) => {}
                Step::Stops(engine) => {
                    history.note_stopped(engine);
                    ran_at.entry(engine).and_modify(|may_continue| *may_continue = false);
                }
                Step::Lost(engine) => {
                    history.note_lost(engine);
                    ran_at.remove(engine);
                }
            }
            prop_assert!(ran_at.len() <= max_workers as usize);
            let running = ran_at.values().filter(|may_continue| **may_continue).count();
            prop_assert!(overlap == Overlap::Allowed || running <= 1);
        }
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
        Just(Event::Fails(NotReached)),
        Just(Event::Fails(NotSent)),
        Just(Event::Fails(RefusedByWorker)),
        Just(Event::Fails(Unknown)),
        Just(Event::Fails(UnknownAtEndedWorker)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn the_proof_is_never_given_after_a_possible_run(
        events in prop::collection::vec(event(), 0..12),
        repeatable: bool,
        max_attempts in 1u32..4,
        overlap in prop::sample::select(vec![Overlap::Allowed, Overlap::Excluded]),
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
                    let rules = RetryRules { repeatable, max_workers: max_attempts, overlap };
                    history.after_failure(failure, "w1", rules);
                    may_have_run |= matches!(failure, Unknown | UnknownAtEndedWorker);
                    current_sent = false;
                }
            }
            let expected = may_have_run || current_sent;
            prop_assert_eq!(history.may_have_run(), expected);
            prop_assert_eq!(history.not_run().is_none(), expected);
        }
    }
}
