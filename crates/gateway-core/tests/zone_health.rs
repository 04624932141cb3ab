//! When a whole zone is suspected, and for how long.

use std::time::Duration;

use elderworks_gateway_core::zone_health::{FailureSource, ZoneHealth, ZonePart, ZoneStanding};
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
enum Seen {
    Fails(FailureSource),
    Answers(ZonePart),
}

/// A name, what is seen and when, at which time to look, whether workers and nodes are suspected then.
type Case = (&'static str, Vec<(u64, Seen)>, u64, bool, bool);

use Seen::{Answers, Fails};
use ZonePart::{Nodes, Workers};

#[test]
fn several_sources_that_fail_together_make_the_rest_of_their_zone_suspect() {
    let three = [Fails(worker(1)), Fails(worker(2)), Fails(worker(3))];
    let mixed = [Fails(node(1)), Fails(node(2)), Fails(worker(1))];
    let one = [Fails(worker(1)); 3];
    let cases: [Case; 9] = [
        ("nothing", vec![], 0, false, false),
        ("three workers", at(0, &three), 0, true, true),
        ("nodes and a worker", at(0, &mixed), 0, true, true),
        ("one worker again and again", at(0, &one), 0, false, false),
        ("two workers", at(0, &three[..2]), 0, false, false),
        ("too long ago", at(0, &three), 2_000, false, false),
        (
            "nodes still answer",
            [at(0, &three), vec![(100, Answers(Nodes))]].concat(),
            400,
            true,
            false,
        ),
        (
            "an answer shortly before",
            [vec![(0, Answers(Workers))], at(100, &three)].concat(),
            200,
            false,
            true,
        ),
        (
            "silent since an answer",
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
    for (name, seen, look, workers, nodes) in cases {
        let health = played(&seen);
        let found = [Workers, Nodes].map(|part| health.is_suspected(after(look), "z", part));
        assert_eq!(found, [workers, nodes], "{name}");
    }
}

fn at(ms: u64, seen: &[Seen]) -> Vec<(u64, Seen)> {
    seen.iter().map(|seen| (ms, *seen)).collect()
}

fn played(seen: &[(u64, Seen)]) -> ZoneHealth {
    let mut health = ZoneHealth::new("own");
    for (ms, seen) in seen {
        match seen {
            Fails(source) => health.note_failure(after(*ms), "z", *source),
            Answers(part) => health.note_answer(after(*ms), "z", *part),
        }
    }
    health
}

#[test]
fn an_answer_ends_a_suspicion_and_work_moves_back_gradually() {
    let mut health = played(&at(
        0,
        &[Fails(worker(1)), Fails(worker(2)), Fails(node(1))],
    ));
    assert_eq!(
        health.standing(after(0), "z", Workers),
        ZoneStanding::Suspected
    );
    let begun = health.changes(after(0));
    assert_eq!(begun.len(), 2, "workers and nodes: {begun:?}");
    assert!(
        begun
            .iter()
            .all(|change| change.is_suspected && change.failing == 3)
    );

    health.note_answer(after(500), "z", Workers);
    let ended = health.changes(after(500));
    assert_eq!(ended.len(), 1, "{ended:?}");
    assert!(ended[0].part == Workers && !ended[0].is_suspected);
    assert!(health.is_suspected(after(500), "z", Nodes));

    let standing = |ms| health.standing(after(ms), "z", Workers);
    assert_eq!(standing(1_000), ZoneStanding::Returning(0.25));
    assert_eq!(standing(2_000), ZoneStanding::Returning(0.75));
    assert_eq!(standing(2_500), ZoneStanding::Good);
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
fn what_is_over_is_told_once() {
    let mut health = played(&at(0, &[Fails(node(1)), Fails(node(2)), Fails(node(3))]));
    assert_eq!(health.changes(after(0)).len(), 2);
    assert!(health.changes(after(100)).is_empty());
    let ended = health.changes(after(2_000));
    assert!(ended.len() == 2 && ended.iter().all(|change| !change.is_suspected));
    assert!(health.changes(after(9_000)).is_empty());
    assert_eq!(
        health.standing(after(9_000), "z", Nodes),
        ZoneStanding::Good
    );
}

fn seen() -> impl Strategy<Value = Seen> {
    prop_oneof![
        (0..6u64).prop_map(|number| Fails(worker(number))),
        (0..6u64).prop_map(|number| Fails(node(number))),
        Just(Answers(Workers)),
        Just(Answers(Nodes)),
    ]
}

proptest! {
    /// However wrong it is, a suspicion ends at once with an answer, and by itself two seconds after
    /// the last failure.
    #[test]
    fn a_suspicion_is_bounded(steps in prop::collection::vec((0..400u64, seen()), 0..60)) {
        let mut health = ZoneHealth::new("own");
        let mut ms = 0;
        for (pause, seen) in steps {
            ms += pause;
            match seen {
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
