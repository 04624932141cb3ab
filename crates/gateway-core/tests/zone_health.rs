//! Start, end and duration of zone suspicions.

use std::time::Duration;

use elderworks_gateway_core::zone_health::{FailureSource, ZoneHealth, ZonePart, ZoneStatus};
use elderworks_types::{NodeId, Timestamp};
use proptest::prelude::*;

const START: Timestamp = Timestamp(10_000_000);

fn after(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn worker(number: u64) -> FailureSource {
    FailureSource::worker(&format!("w{number}"))
}

fn node(number: u64) -> FailureSource {
    FailureSource::node(&NodeId::new(format!("n{number}")))
}

#[derive(Clone, Copy, Debug)]
enum Observation {
    Fails(FailureSource),
    Answers(ZonePart),
}

/// Name, observations with their times, time of the check, and whether workers and nodes are then
/// suspected.
type Case = (&'static str, Vec<(u64, Observation)>, u64, bool, bool);

use Observation::{Answers, Fails};
use ZonePart::{Nodes, Workers};

#[test]
fn several_failing_sources_make_a_zone_suspected() {
    let three = [Fails(worker(1)), Fails(worker(2)), Fails(worker(3))];
    let mixed = [Fails(node(1)), Fails(node(2)), Fails(worker(1))];
    let one = [Fails(worker(1)); 3];
    let cases: [Case; 9] = [
        ("no observations", vec![], 0, false, false),
        ("three workers", at(0, &three), 0, true, true),
        ("nodes and a worker", at(0, &mixed), 0, true, true),
        ("one worker repeatedly", at(0, &one), 0, false, false),
        ("two workers", at(0, &three[..2]), 0, false, false),
        ("expired failures", at(0, &three), 2_000, false, false),
        (
            "nodes still respond",
            [at(0, &three), vec![(100, Answers(Nodes))]].concat(),
            400,
            true,
            false,
        ),
        (
            "a response shortly before",
            [vec![(0, Answers(Workers))], at(100, &three)].concat(),
            200,
            false,
            true,
        ),
        (
            "silent since a response",
            [
                at(0, &three[..1]),
                vec![(10, Answers(Workers))],
                at(100, &three),
            ]
            .concat(),
            300,
            true,
            true,
        ),
    ];
    for (name, observations, checked_at, workers, nodes) in cases {
        let health = health_after(&observations);
        let found = [Workers, Nodes].map(|part| health.is_suspected(after(checked_at), "z", part));
        assert_eq!(found, [workers, nodes], "{name}");
    }
}

fn at(ms: u64, observations: &[Observation]) -> Vec<(u64, Observation)> {
    observations
        .iter()
        .map(|observation| (ms, *observation))
        .collect()
}

fn health_after(observations: &[(u64, Observation)]) -> ZoneHealth {
    let mut health = ZoneHealth::new("own");
    for (ms, observation) in observations {
        match observation {
            Fails(source) => health.note_failure(after(*ms), "z", *source),
            Answers(part) => health.note_answer(after(*ms), "z", *part),
        }
    }
    health
}

#[test]
fn a_response_ends_a_suspicion_and_the_load_returns_gradually() {
    let mut health = health_after(&at(
        0,
        &[Fails(worker(1)), Fails(worker(2)), Fails(node(1))],
    ));
    assert_eq!(health.status(after(0), "z", Workers), ZoneStatus::Suspected);
    let started = health.changes(after(0));
    assert_eq!(started.len(), 2, "workers and nodes: {started:?}");
    assert!(
        started
            .iter()
            .all(|change| change.is_suspected && change.failing == 3)
    );

    health.note_answer(after(500), "z", Workers);
    let ended = health.changes(after(500));
    assert_eq!(ended.len(), 1, "{ended:?}");
    assert!(ended[0].part == Workers && !ended[0].is_suspected);
    assert!(health.is_suspected(after(500), "z", Nodes));

    let status = |ms| health.status(after(ms), "z", Workers);
    assert_eq!(status(1_000), ZoneStatus::Recovering(0.25));
    assert_eq!(status(2_000), ZoneStatus::Recovering(0.75));
    assert_eq!(status(2_500), ZoneStatus::Healthy);
}

#[test]
fn the_own_zone_is_never_suspected() {
    let mut health = ZoneHealth::new("own");
    for number in 0..20 {
        health.note_failure(after(number), "own", worker(number));
    }
    assert!(!health.is_suspected(after(20), "own", Workers));
    assert!(health.changes(after(20)).is_empty());
}

#[test]
fn changes_are_reported_once() {
    let mut health = health_after(&at(0, &[Fails(node(1)), Fails(node(2)), Fails(node(3))]));
    assert_eq!(health.changes(after(0)).len(), 2);
    assert!(health.changes(after(100)).is_empty());
    let ended = health.changes(after(2_000));
    assert!(ended.len() == 2 && ended.iter().all(|change| !change.is_suspected));
    assert!(health.changes(after(9_000)).is_empty());
    assert_eq!(health.status(after(9_000), "z", Nodes), ZoneStatus::Healthy);
}

fn observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        (0..6u64).prop_map(|number| Fails(worker(number))),
        (0..6u64).prop_map(|number| Fails(node(number))),
        Just(Answers(Workers)),
        Just(Answers(Nodes)),
    ]
}

proptest! {
    /// A suspicion ends immediately with a response, and otherwise two seconds after the last
    /// failure.
    #[test]
    fn a_suspicion_is_bounded(steps in prop::collection::vec((0..400u64, observation()), 0..60)) {
        let mut health = ZoneHealth::new("own");
        let mut ms = 0;
        for (pause, observation) in steps {
            ms += pause;
            match observation {
                Fails(source) => health.note_failure(after(ms), "z", source),
                Answers(part) => {
                    health.note_answer(after(ms), "z", part);
                    prop_assert!(!health.is_suspected(after(ms), "z", part));
                }
            }
            health.changes(after(ms));
        }
        for part in ZonePart::ALL {
            prop_assert!(!health.is_suspected(after(ms + 2_000), "z", part));
        }
    }
}
