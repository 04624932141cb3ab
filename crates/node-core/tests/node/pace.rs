//! Polling pace of engines and partitions.

use std::time::Duration;

use elderworks_node_core::pace::{BUSY_PARTITION_INTERVAL, IDLE_PARTITION_INTERVAL};
use elderworks_node_core::pace::{EnginePace, EngineUse, IDLE_AFTER, PartitionUse};
use elderworks_node_core::{Effect, Event};
use elderworks_types::{EngineId, RunId, Timestamp};

use crate::fixtures::{model_call, model_service, program, start_run};
use crate::world::{BackEnds, World};

const NOW: Timestamp = Timestamp(100_000_000);

/// Maximum time to detect that an engine leaves or stops answering.
const NOTICE_LIMIT: Duration = Duration::from_secs(3);

fn ago(age: Duration) -> Timestamp {
    Timestamp(NOW.0 - age.as_micros() as u64)
}

#[test]
fn an_engine_is_polled_often_while_used_or_suspected() {
    let just_under = IDLE_AFTER - Duration::from_micros(1);
    let cases = [
        (None, false, EnginePace::Idle),
        (None, true, EnginePace::Busy),
        (Some(Duration::ZERO), false, EnginePace::Busy),
        (Some(just_under), false, EnginePace::Busy),
        (Some(IDLE_AFTER), false, EnginePace::Idle),
        (Some(IDLE_AFTER), true, EnginePace::Busy),
    ];
    for (last_attempt, suspected, expected) in cases {
        let engine_use = EngineUse {
            last_attempt: last_attempt.map(ago),
            suspected,
        };
        assert_eq!(engine_use.pace(NOW), expected, "{engine_use:?}");
    }
    assert!(EnginePace::Busy.interval() < EnginePace::Idle.interval());
    assert!(EnginePace::Idle.interval() * 2 < NOTICE_LIMIT);
}

#[test]
fn a_partition_is_read_often_while_handed_over_or_active() {
    let busy = BUSY_PARTITION_INTERVAL;
    let cases = [
        (true, false, IDLE_AFTER, IDLE_PARTITION_INTERVAL),
        (true, false, Duration::ZERO, busy),
        (true, true, IDLE_AFTER, busy),
        (false, false, IDLE_AFTER, busy),
        (false, true, Duration::ZERO, busy),
    ];
    for (settled, working, quiet_for, expected) in cases {
        let partition_use = PartitionUse {
            settled,
            working,
            last_activity: ago(quiet_for),
        };
        assert_eq!(
            partition_use.poll_interval(NOW),
            expected,
            "{partition_use:?}"
        );
    }
}

fn engine() -> EngineId {
    EngineId::new("engine-1")
}

fn paces(world: &mut World) -> Vec<EnginePace> {
    let effects = std::mem::take(&mut world.node(0).effects);
    let paces = effects.into_iter().filter_map(|effect| match effect {
        Effect::PaceEngine { pace, .. } => Some(pace),
        _ => None,
    });
    paces.collect()
}

fn silent(silent_for: Duration) -> Event {
    Event::EngineSilent {
        engine: engine(),
        silent_for,
    }
}

#[test]
fn a_call_or_a_missed_poll_makes_an_engine_busy_until_it_is_idle_again() {
    let mut world = World::new(1);
    world.run_until("the node owns all partitions", |world| world.settled());
    world.apply(0, model_service());
    world.apply(0, program(&["model"], false));
    world.advance(Duration::from_secs(1));
    assert_eq!(paces(&mut world), [], "a new engine is idle");

    world.back_ends = BackEnds::Hang;
    let run = RunId::root(1);
    world.send(0, start_run(run));
    world.send(0, model_call(run, 1));
    world.advance(2 * IDLE_AFTER);
    assert_eq!(
        paces(&mut world),
        [EnginePace::Busy],
        "the engine is busy while the call is open"
    );

    let mut world = World::new(1);
    world.run_until("the node owns all partitions", |world| world.settled());
    world.apply(0, model_service());
    world.node(0).effects.clear();
    let cases = [
        (silent(Duration::from_secs(1)), vec![EnginePace::Busy]),
        (silent(Duration::from_secs(2)), vec![EnginePace::Idle]),
        (Event::EngineAnswered { engine: engine() }, vec![]),
        (silent(Duration::from_millis(500)), vec![EnginePace::Busy]),
        (
            Event::EngineAnswered { engine: engine() },
            vec![EnginePace::Idle],
        ),
    ];
    for (step, (event, expected)) in cases.into_iter().enumerate() {
        world.handle(0, event);
        world.advance(Duration::from_millis(100));
        assert_eq!(paces(&mut world), expected, "step {step}");
    }
}
