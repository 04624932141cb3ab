//! Drains while the log does not answer.

use std::time::Duration;

use elderworks_node_core::drain::DRAIN_LIMIT;
use elderworks_node_core::{Effect, Event};
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::RunId;

use crate::fixtures::{model_call, model_service, program, run_in, start_run};
use crate::world::{BackEnds, World};

/// Maximum drain of a node without open work: the time to detect that the log does not answer, plus a few
/// ticks.
const IDLE_DRAIN_LIMIT: Duration = Duration::from_secs(4);

/// Time that is more than sufficient to detect that the log does not answer.
const NOTICE_TIME: Duration = Duration::from_secs(10);

/// Open work of a node when its drain starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Open {
    Nothing,
    /// An engine is generating an answer.
    Stream,
    /// A call has been appended without an answer from the log.
    Append,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    open: Open,
    /// Whether the node has detected that the log is down when its drain starts.
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

/// Returns two nodes without a log, of which the first has started to drain, and a run that it owns.
fn leaving(case: Case) -> (World, RunId) {
    let mut world = World::new(2);
    world.run_until("every partition has one owner", |world| {
        world.settled() && !world.owned(0).is_empty() && !world.owned(1).is_empty()
    });
    for resource in [model_service(), program(&["model"], false)] {
        let replies = world.node(0).replies.len();
        world.apply(0, resource);
        world.run_until("the change is in force", |world| {
            world.node(0).replies.len() > replies
        });
    }
    let run = started(&mut world);
    world.back_ends = BackEnds::Hang;
    if case.open == Open::Stream {
        world.send(0, model_call(run, 1));
        world.run_until("an engine generates", |world| {
            let mut effects = world.node(0).effects.iter();
            effects.any(|effect| matches!(effect, Effect::Generate(_)))
        });
    }
    world.log_up = false;
    if case.open == Open::Append {
        world.send(0, model_call(run, 1));
    }
    if case.is_noticed {
        world.advance(NOTICE_TIME);
    }
    world.handle(0, Event::Drain);
    (world, run)
}

fn started(world: &mut World) -> RunId {
    let partition = *world.owned(0).first().expect("the node owns partitions");
    let run = run_in(partition);
    world.send(0, start_run(run));
    world.run_until("the run is started", |world| {
        let started = NodeMessage::RunStarted { run };
        let mut sent = world.node(0).sent.iter();
        sent.any(|(_, message)| *message == started)
    });
    world.advance(Duration::from_secs(1));
    run
}

#[test]
fn a_node_without_a_log_waits_only_for_open_work() {
    for case in CASES {
        let (mut world, _) = leaving(case);
        world.advance(IDLE_DRAIN_LIMIT);
        let has_nothing_open = case.open == Open::Nothing;
        assert_eq!(world.node(0).drained, has_nothing_open, "{case:?}");
        world.advance(DRAIN_LIMIT - IDLE_DRAIN_LIMIT - Duration::from_secs(1));
        assert_eq!(world.node(0).drained, has_nothing_open, "{case:?}");
        world.advance(Duration::from_secs(2));
        assert!(world.node(0).drained, "{case:?}");
    }
}

#[test]
fn partitions_that_could_not_be_released_are_taken_over() {
    for case in CASES {
        let (mut world, _) = leaving(case);
        world.run_until("the node has drained", |world| world.node(0).drained);
        world.kill(0);
        world.log_up = true;
        world.run_until("the other node owns all partitions", |world| {
            world.settled()
        });
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
        world.advance(NOTICE_TIME);
        world.log_up = true;
        world.run_until("the node has drained", |world| world.node(0).drained);
        assert!(world.owned(0).is_empty(), "{case:?}");
        world.kill(0);
        world.run_until("the other node owns all partitions", |world| {
            world.settled()
        });
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
