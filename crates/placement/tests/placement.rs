//! Tests of placement through its events and effects.

use std::time::Duration;

use elderworks_placement::event::{CacheChange, FinishedResult, LoadReport, ReadyCall};
use elderworks_placement::{Effect, Event, Placement, PlacementSettings, Ticket};
use elderworks_types::text::BlockHash;
use elderworks_types::{
    Attempt, CallId, CallNumber, EngineId, ModelName, RefusalReason, ResourceName, RunId, TenantId,
    Timestamp, Tokens, ZoneId,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MODEL: &str = "agent";

fn second(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

fn placement(engines: usize) -> Placement {
    let mut placement = Placement::new(PlacementSettings::new(ZoneId::new("a"), 1));
    for index in 0..engines {
        let zone = if index % 2 == 0 { "a" } else { "b" };
        let added = Event::EngineAdded {
            engine: engine(index),
            zone: ZoneId::new(zone),
            models: vec![ModelName::new(MODEL)],
        };
        placement.handle(second(0), added);
    }
    placement
}

fn engine(index: usize) -> EngineId {
    EngineId::new(format!("engine-{index}"))
}

fn ticket(run: u64, number: u32) -> Ticket {
    Ticket {
        call: CallId {
            run: RunId::root(run),
            number: CallNumber(number),
        },
        attempt: Attempt(1),
    }
}

fn ready(run: u64, number: u32, blocks: usize) -> ReadyCall {
    let chain: Vec<BlockHash> = (0..blocks as u64).map(|block| run << 32 | block).collect();
    ReadyCall {
        ticket: ticket(run, number),
        model: ModelName::new(MODEL),
        prompt: Tokens(blocks as u64 * 16 + 1),
        blocks: chain,
        max_output: Tokens(100),
        tenant: TenantId::new("tenant"),
        program: ResourceName::new("draft"),
        run_started: second(0),
        attained: Tokens(0),
        turns: number - 1,
        run_deadline: None,
        call_deadline: None,
        priority: 0,
        parent: None,
    }
}

fn report(measured: Timestamp, running: u32, blocks_used: u32) -> LoadReport {
    LoadReport {
        measured,
        running,
        waiting: 0,
        waiting_prefill: Tokens(0),
        blocks_used,
        blocks_total: 8_192,
    }
}

fn load(index: usize, report: LoadReport) -> Event {
    Event::Load {
        engine: engine(index),
        report,
    }
}

fn finished(run: u64, number: u32, result: FinishedResult) -> Event {
    Event::Finished {
        ticket: ticket(run, number),
        result,
    }
}

const COMPLETED: FinishedResult = FinishedResult::Completed {
    cached: Tokens(0),
    output: Tokens(50),
};

fn submit(placement: &mut Placement, now: Timestamp, call: ReadyCall) -> Vec<Effect> {
    placement.handle(now, Event::CallReady(Box::new(call)))
}

fn dispatched_to(effects: &[Effect]) -> Option<EngineId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { engine, .. } => Some(engine.clone()),
        _ => None,
    })
}

fn refusal(effects: &[Effect]) -> Option<RefusalReason> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.reason),
        _ => None,
    })
}

#[test]
fn an_idle_engine_in_the_same_zone_is_preferred() {
    let mut placement = placement(4);
    let effects = submit(&mut placement, second(1), ready(1, 1, 10));
    let chosen = dispatched_to(&effects).unwrap();
    assert!([engine(0), engine(2)].contains(&chosen), "{chosen}");
}

#[test]
fn a_run_stays_on_the_engine_that_holds_its_blocks() {
    let mut placement = placement(6);
    let first = dispatched_to(&submit(&mut placement, second(1), ready(1, 1, 200))).unwrap();
    for number in 2..8 {
        placement.handle(second(2), finished(1, number - 1, COMPLETED));
        let effects = submit(&mut placement, second(3), ready(1, number, 200));
        assert_eq!(dispatched_to(&effects), Some(first.clone()));
    }
}

#[test]
fn calls_follow_stored_blocks_but_not_evicted_ones() {
    let call = ready(1, 1, 200);
    let stored = CacheChange::Stored(call.blocks.clone());
    let evicted = CacheChange::Evicted(call.blocks.clone());
    let cases = [
        (vec![stored.clone()], true),
        (vec![stored.clone(), CacheChange::Gap { missed: 3 }], true),
        (vec![stored.clone(), evicted], false),
        (vec![stored, CacheChange::Cleared], false),
    ];
    for (changes, follows) in cases {
        let mut placement = placement(4);
        for change in changes.clone() {
            let engine = engine(3);
            placement.handle(second(1), Event::Cache { engine, change });
        }
        let chosen = dispatched_to(&submit(&mut placement, second(1), call.clone())).unwrap();
        assert_eq!(chosen == engine(3), follows, "{changes:?}");
    }
}

#[test]
fn new_runs_wait_for_memory_but_started_runs_do_not() {
    let mut placement = placement(1);
    submit(&mut placement, second(1), ready(1, 1, 10));
    placement.handle(second(2), load(0, report(second(2), 20, 8_000)));
    let effects = submit(&mut placement, second(2), ready(2, 1, 10));
    assert_eq!(effects, []);
    assert_eq!(placement.counters().waiting, 1);
    placement.handle(second(2), finished(1, 1, COMPLETED));
    let effects = submit(&mut placement, second(3), ready(1, 2, 10));
    assert!(dispatched_to(&effects).is_some());
    placement.handle(second(4), load(0, report(second(4), 5, 1_000)));
    let effects = placement.handle(second(4), Event::Tick);
    assert_eq!(dispatched_to(&effects), Some(engine(0)));
    assert_eq!(placement.counters().waiting, 0);
}

#[test]
fn cancelled_calls_leave_the_queue() {
    let mut placement = placement(1);
    placement.handle(second(1), load(0, report(second(1), 20, 8_000)));
    submit(&mut placement, second(1), ready(2, 1, 10));
    let ticket = ticket(2, 1);
    placement.handle(second(1), Event::Cancelled { ticket });
    placement.handle(second(2), load(0, report(second(2), 0, 0)));
    assert_eq!(placement.handle(second(2), Event::Tick), []);
}

#[test]
fn refusals_give_their_reason() {
    let mut late = ready(1, 1, 10);
    late.call_deadline = Some(second(1));
    let mut unserved = ready(2, 1, 10);
    unserved.model = ModelName::new("absent");
    let cases = [
        (late, RefusalReason::DeadlinePassed),
        (unserved, RefusalReason::NoBackend),
    ];
    for (call, reason) in cases {
        let mut placement = placement(2);
        assert_eq!(
            refusal(&submit(&mut placement, second(5), call)),
            Some(reason)
        );
    }
}

#[test]
fn leaving_and_removed_engines_get_no_calls() {
    let gone = [
        Event::EngineLeaving { engine: engine(0) },
        Event::EngineRemoved { engine: engine(0) },
    ];
    for event in gone {
        let mut placement = placement(1);
        placement.handle(second(1), event);
        let effects = submit(&mut placement, second(1), ready(1, 1, 10));
        assert_eq!(refusal(&effects), Some(RefusalReason::NoBackend));
    }
}

#[test]
fn failing_engines_are_ejected_and_probed() {
    let mut placement = placement(1);
    for run in 1..=3 {
        let effects = submit(&mut placement, second(1), ready(run, 1, 10));
        assert!(dispatched_to(&effects).is_some());
        placement.handle(second(1), finished(run, 1, FinishedResult::Lost));
    }
    assert_eq!(placement.counters().ejections, 1);
    let effects = submit(&mut placement, second(2), ready(10, 1, 10));
    assert_eq!(dispatched_to(&effects), None);
    submit(&mut placement, second(2), ready(11, 1, 10));
    let probe = placement.handle(second(4), Event::Tick);
    assert_eq!(probe.len(), 1, "one call probes the engine");
    let probe = probe[0].clone();
    let Effect::Dispatch { ticket, .. } = probe else {
        panic!("{probe:?}");
    };
    let result = COMPLETED;
    let effects = placement.handle(second(5), Event::Finished { ticket, result });
    assert!(
        dispatched_to(&effects).is_some(),
        "the queued call is dispatched after the successful probe"
    );
}

#[test]
fn blocks_are_retained_during_a_pause_and_dropped_at_the_end_of_the_run() {
    let mut placement = placement(3);
    let home = dispatched_to(&submit(&mut placement, second(1), ready(1, 1, 50))).unwrap();
    placement.handle(second(2), finished(1, 1, COMPLETED));
    let run = RunId::root(1);
    let expected_reuse = Some(Duration::from_secs(3));
    let paused = Event::RunPaused {
        run,
        expected_reuse,
    };
    let lease = Duration::from_secs(12);
    let engine = home.clone();
    let expected = Effect::Retain { run, engine, lease };
    assert_eq!(placement.handle(second(2), paused), [expected]);
    let effects = placement.handle(second(3), Event::RunEnded { run });
    assert_eq!(effects, [Effect::Drop { run, engine: home }]);
    assert_eq!(placement.handle(second(3), Event::RunEnded { run }), []);
    assert_eq!(placement.counters().runs, 0);
}

#[test]
fn stale_load_reports_are_ignored() {
    let mut placement = placement(2);
    placement.handle(second(1), load(0, report(second(1), 32, 8_000)));
    placement.handle(second(1), load(1, report(second(1), 32, 8_000)));
    assert_eq!(submit(&mut placement, second(2), ready(1, 1, 10)), []);
    let effects = placement.handle(second(60), Event::Tick);
    assert!(dispatched_to(&effects).is_some());
}

/// A step of a random scenario; the first number is that of a run or of an engine.
#[derive(Clone, Debug)]
enum Action {
    Submit(u64),
    Finish(u64),
    Lose(u64),
    Pause(u64),
    End(u64),
    Report(usize, u32, u32),
    Tick,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        (1..40_u64).prop_map(Action::Submit),
        (1..40_u64).prop_map(Action::Finish),
        (1..40_u64).prop_map(Action::Lose),
        (1..40_u64).prop_map(Action::Pause),
        (1..40_u64).prop_map(Action::End),
        (0..4_usize, 0..64_u32, 0..8_192_u32)
            .prop_map(|(engine, running, used)| Action::Report(engine, running, used)),
        Just(Action::Tick),
    ]
}

/// Checks that each call is dispatched or refused at most once, and is queued until then.
fn check(actions: Vec<Action>) -> Result<(), TestCaseError> {
    let mut placement = placement(4);
    let mut numbers = [0_u32; 40];
    let mut submitted = 0;
    let mut answered = std::collections::BTreeSet::new();
    for (step, action) in actions.into_iter().enumerate() {
        let now = second(step as u64 + 1);
        let event = match action {
            Action::Submit(run) => {
                numbers[run as usize] += 1;
                submitted += 1;
                Event::CallReady(Box::new(ready(run, numbers[run as usize], 20)))
            }
            Action::Finish(run) => finished(run, numbers[run as usize], COMPLETED),
            Action::Lose(run) => finished(run, numbers[run as usize], FinishedResult::Lost),
            Action::Pause(run) => Event::RunPaused {
                run: RunId::root(run),
                expected_reuse: None,
            },
            Action::End(run) => Event::RunEnded {
                run: RunId::root(run),
            },
            Action::Report(engine, running, used) => load(engine, report(now, running, used)),
            Action::Tick => Event::Tick,
        };
        for effect in placement.handle(now, event) {
            if let Effect::Dispatch { ticket, .. } | Effect::Refuse { ticket, .. } = effect {
                prop_assert!(answered.insert(ticket), "{ticket:?} was decided twice");
            }
        }
        prop_assert_eq!(answered.len() + placement.counters().waiting, submitted);
    }
    Ok(())
}

#[test]
fn every_call_is_queued_or_decided_exactly_once() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let actions = prop::collection::vec(action(), 1..120);
    runner.run(&actions, check).unwrap();
}
