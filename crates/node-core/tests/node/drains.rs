//! Leaving while the log does not answer.

use std::time::Duration;

use elderworks_node_core::drain::DRAIN_LIMIT;
use elderworks_node_core::{Effect, Event};
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::RunId;

use crate::fixtures::{model_call, model_service, program, run_in, start_run};
use crate::world::{BackEnds, World};

/// Longest drain of a node that has nothing to lose: the time in which it notices that the log does
/// not answer, and some ticks.
const IDLE_DRAIN_LIMIT: Duration = Duration::from_secs(4);

/// Time in which a node notices that the log does not answer, with room to spare.
const NOTICE_TIME: Duration = Duration::from_secs(10);

/// What a node has open as it is told to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Open {
    Nothing,
    /// An engine generates an answer.
    Stream,
    /// A call was appended, and the append was not answered.
    Append,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    open: Open,
    /// Whether the node knows that the log is down when it is told to leave.
    is_noticed: bool,
}

const CASES: [Case; 6] = [
    Case {
        open: Open::Nothing,
        is_noticed: false,
    },
    Case {
        open: Open::Nothing,
        is_noticed: true,
    },
    Case {
        open: Open::Stream,
        is_noticed: false,
    },
    Case {
        open: Open::Stream,
        is_noticed: true,
    },
    Case {
        open: Open::Append,
        is_noticed: false,
    },
    Case {
        open: Open::Append,
        is_noticed: true,
    },
];

/// A world of two nodes without a log, in which the first has been told to leave, and a run of it.
fn leaving(case: Case) -> (World, RunId) {
    let mut world = World::new(2);
    world.until("one owner each", |world| {
        world.settled() && !world.owned(0).is_empty() && !world.owned(1).is_empty()
    });
    for resource in [model_service(), program(&["model"], false)] {
        let replies = world.node(0).replies.len();
        world.apply(0, resource);
        world.until("the change is in force", |world| {
            world.node(0).replies.len() > replies
        });
    }
    let run = started(&mut world);
    world.back_ends = BackEnds::Hang;
    if case.open == Open::Stream {
        world.say(0, model_call(run, 1));
        world.until("an engine generates", |world| {
            let mut effects = world.node(0).effects.iter();
            effects.any(|effect| matches!(effect, Effect::Generate(_)))
        });
    }
    world.log_up = false;
    if case.open == Open::Append {
        world.say(0, model_call(run, 1));
    }
    if case.is_noticed {
        world.pass(NOTICE_TIME);
    }
    world.give(0, Event::Drain);
    (world, run)
}

fn started(world: &mut World) -> RunId {
    let partition = *world.owned(0).first().expect("it owns some");
    let run = run_in(partition);
    world.say(0, start_run(run));
    world.until("the run is started", |world| {
        let started = NodeMessage::RunStarted { run };
        let mut sent = world.node(0).sent.iter();
        sent.any(|(_, message)| *message == started)
    });
    world.pass(Duration::from_secs(1));
    run
}

#[test]
fn a_node_without_a_log_waits_only_for_what_is_open() {
    for case in CASES {
        let (mut world, _) = leaving(case);
        world.pass(IDLE_DRAIN_LIMIT);
        let has_nothing_open = case.open == Open::Nothing;
        assert_eq!(world.node(0).drained, has_nothing_open, "{case:?}");
        world.pass(DRAIN_LIMIT - IDLE_DRAIN_LIMIT - Duration::from_secs(1));
        assert_eq!(world.node(0).drained, has_nothing_open, "{case:?}");
        world.pass(Duration::from_secs(2));
        assert!(world.node(0).drained, "{case:?}");
    }
}

#[test]
fn partitions_that_could_not_be_released_are_taken_over() {
    for case in CASES {
        let (mut world, _) = leaving(case);
        world.until("it has drained", |world| world.node(0).drained);
        world.kill(0);
        world.log_up = true;
        world.until("the other owns all", |world| world.settled());
        assert!(world.counters(1).forced_claims > 0, "{case:?}");
    }
}

#[test]
fn an_open_call_is_handed_over_once_the_log_answers_again() {
    for case in CASES {
        if case.open == Open::Nothing {
            continue;
        }
        let (mut world, run) = leaving(case);
        world.pass(NOTICE_TIME);
        world.log_up = true;
        world.until("it has drained", |world| world.node(0).drained);
        assert!(world.owned(0).is_empty(), "{case:?}");
        world.kill(0);
        world.until("the other owns all", |world| world.settled());
        assert_eq!(world.counters(1).forced_claims, 0, "{case:?}");
        if case.open == Open::Stream {
            assert!(is_resumed(&mut world, run), "{case:?}");
        }
    }
}

fn is_resumed(world: &mut World, run: RunId) -> bool {
    let mut effects = world.node(1).effects.iter();
    effects.any(
        |effect| matches!(effect, Effect::ResumeStream { ticket, .. } if ticket.call.run == run),
    )
}
