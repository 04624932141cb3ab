//! Starting, reading and ending runs.

use std::time::Duration;

use crate::bench::{Bench, RUN, node_a, node_b};
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_sidecar_core::{CallerReply, Event};
use elderworks_types::{
    Credits, Refusal, RefusalReason, ResourceName, RunPhase, RunSpec, TenantId,
};

fn run_spec() -> RunSpec {
    RunSpec {
        id: RUN,
        tenant: TenantId::new("office"),
        program: ResourceName::new("boundary"),
        parent: None,
        budget: Credits(100),
        deadline: None,
    }
}

fn start(bench: &mut Bench) {
    bench.event(Event::StartRun {
        request: 1,
        spec: run_spec(),
    });
}

#[test]
fn a_start_is_repeated_after_a_break_and_answered_once() {
    let mut bench = Bench::with_owner(node_a());
    start(&mut bench);
    bench.event(Event::Disconnected { address: node_a() });
    bench.advance(Duration::from_secs(1));
    bench.report_owner(node_b(), node_b());
    bench.receive(node_b(), NodeMessage::RunStarted { run: RUN });
    bench.receive(node_b(), NodeMessage::RunStarted { run: RUN });
    assert_eq!(bench.replies, [(1, CallerReply::RunStarted { run: RUN })]);
}

#[test]
fn a_refusal_of_a_start_counts_only_if_no_other_node_may_have_taken_it() {
    let refusal = Refusal {
        reason: RefusalReason::Overloaded,
        retry_after: None,
    };
    for (is_broken, expected) in [
        (
            false,
            CallerReply::RunRefused {
                refusal: refusal.clone(),
            },
        ),
        (true, CallerReply::NoAnswerFromNode),
    ] {
        let mut bench = Bench::with_owner(node_a());
        start(&mut bench);
        if is_broken {
            bench.event(Event::Disconnected { address: node_a() });
            bench.event(Event::Connected { address: node_a() });
            bench.advance(Duration::from_secs(1));
            bench.report_owner(node_b(), node_a());
        }
        let refusal = refusal.clone();
        bench.receive(node_a(), NodeMessage::RunRefused { run: RUN, refusal });
        assert_eq!(bench.replies, [(1, expected)]);
    }
}

#[test]
fn requests_without_any_node_end_in_time() {
    let mut bench = Bench::new();
    start(&mut bench);
    let tenant = TenantId::new("office");
    bench.event(Event::ReadRun {
        request: 2,
        tenant: tenant.clone(),
        run: RUN,
    });
    bench.event(Event::EndRun {
        request: 3,
        tenant,
        run: RUN,
    });
    bench.advance(Duration::from_secs(31));
    assert!(matches!(
        &bench.replies[0],
        (1, CallerReply::RunRefused { refusal }) if refusal.reason == RefusalReason::NoNodeReachable
    ));
    assert_eq!(
        bench.replies[1..],
        [
            (2, CallerReply::NoAnswerFromNode),
            (3, CallerReply::NoAnswerFromNode)
        ]
    );
}

#[test]
fn a_silent_node_is_asked_again() {
    let mut bench = Bench::with_owner(node_a());
    let tenant = TenantId::new("office");
    bench.event(Event::EndRun {
        request: 3,
        tenant,
        run: RUN,
    });
    bench.advance(Duration::from_secs(3));
    let ends = bench
        .sent
        .iter()
        .filter(|(_, message)| matches!(message, SidecarMessage::EndRun { .. }));
    assert_eq!(ends.count(), 2);
    let phase = RunPhase::Ended;
    bench.receive(node_a(), NodeMessage::RunEnded { run: RUN, phase });
    assert_eq!(bench.replies, [(3, CallerReply::RunEnded { phase })]);
}

/// A paused node keeps its connections, so that silence is all that a sidecar sees of it.
#[test]
fn a_request_leaves_a_silent_node_once_another_owns_its_partition() {
    let mut bench = Bench::with_owner(node_a());
    bench.event(Event::ReadRun {
        request: 3,
        tenant: TenantId::new("office"),
        run: RUN,
    });
    bench.sent.clear();
    bench.advance(Duration::from_secs(10));
    let asks_for_owner = |(to, message): &(_, SidecarMessage)| {
        *to == node_b() && matches!(message, SidecarMessage::Locate { .. })
    };
    assert!(bench.sent.iter().any(asks_for_owner), "{:?}", bench.sent);
    bench.report_owner(node_b(), node_b());
    bench.advance(Duration::from_secs(3));
    let is_read_there = |(to, message): &(_, SidecarMessage)| {
        *to == node_b() && matches!(message, SidecarMessage::ReadRun { .. })
    };
    assert!(bench.sent.iter().any(is_read_there), "{:?}", bench.sent);
}

#[test]
fn a_view_reaches_only_the_request_that_asked_for_it() {
    let mut bench = Bench::with_owner(node_a());
    for request in [5, 6] {
        bench.event(Event::ReadRun {
            request,
            tenant: TenantId::new("office"),
            run: RUN,
        });
    }
    bench.receive(
        node_a(),
        NodeMessage::RunView {
            query: 6,
            view: None,
        },
    );
    assert_eq!(bench.replies, [(6, CallerReply::RunView { view: None })]);
}

fn log_unavailable() -> Refusal {
    Refusal {
        reason: RefusalReason::LogUnavailable,
        retry_after: Some(Duration::from_secs(5)),
    }
}

fn refuse(bench: &mut Bench) {
    let refusal = log_unavailable();
    bench.receive(node_a(), NodeMessage::RunRefused { run: RUN, refusal });
}

fn starts(bench: &Bench) -> usize {
    let is_start =
        |(_, message): &&(_, SidecarMessage)| matches!(message, SidecarMessage::StartRun { .. });
    bench.sent.iter().filter(is_start).count()
}

/// A node that is busy for longer than the time after which a start is sent again.
fn start_sent_twice() -> Bench {
    let mut bench = Bench::with_owner(node_a());
    start(&mut bench);
    bench.advance(Duration::from_millis(2_100));
    assert_eq!(starts(&bench), 2);
    bench
}

#[test]
fn a_start_is_refused_once_each_copy_of_it_was() {
    let mut bench = start_sent_twice();
    refuse(&mut bench);
    assert_eq!(bench.replies, [], "the second copy may still be taken");
    refuse(&mut bench);
    let refusal = log_unavailable();
    assert_eq!(bench.replies, [(1, CallerReply::RunRefused { refusal })]);
}

#[test]
fn a_copy_that_is_pointed_elsewhere_was_not_taken() {
    let mut bench = start_sent_twice();
    let elsewhere = NodeMessage::NotOwner {
        run: RUN,
        number: None,
        owner: None,
    };
    bench.receive(node_a(), elsewhere.clone());
    bench.receive(node_a(), elsewhere);
    bench.advance(Duration::from_secs(1));
    bench.report_owner(node_b(), node_b());
    bench.advance(Duration::from_secs(1));
    let refusal = log_unavailable();
    bench.receive(
        node_b(),
        NodeMessage::RunRefused {
            run: RUN,
            refusal: refusal.clone(),
        },
    );
    assert_eq!(bench.replies, [(1, CallerReply::RunRefused { refusal })]);
}

#[test]
fn a_refusal_of_one_copy_does_not_hide_that_another_was_taken() {
    let mut bench = start_sent_twice();
    refuse(&mut bench);
    bench.receive(node_a(), NodeMessage::RunStarted { run: RUN });
    assert_eq!(bench.replies, [(1, CallerReply::RunStarted { run: RUN })]);
}

#[test]
fn a_copy_that_nobody_answers_leaves_the_start_open() {
    // The connection ends with a copy unanswered: its refusal can no longer come.
    let mut broken = start_sent_twice();
    refuse(&mut broken);
    broken.event(Event::Disconnected { address: node_a() });
    broken.event(Event::Connected { address: node_a() });
    broken.advance(Duration::from_secs(1));
    broken.report_owner(node_b(), node_a());
    refuse(&mut broken);
    assert_eq!(broken.replies, [(1, CallerReply::NoAnswerFromNode)]);
    // Another node owns the partition: the silent one may still take its copies.
    let mut moved = start_sent_twice();
    moved.advance(Duration::from_secs(4));
    moved.report_owner(node_b(), node_b());
    moved.advance(Duration::from_secs(3));
    let refusal = log_unavailable();
    moved.receive(node_b(), NodeMessage::RunRefused { run: RUN, refusal });
    assert_eq!(moved.replies, [(1, CallerReply::NoAnswerFromNode)]);
}

#[test]
fn a_refusal_for_good_with_another_copy_open_says_nothing_of_the_start() {
    let mut bench = start_sent_twice();
    let refusal = Refusal {
        reason: RefusalReason::RunNotFound,
        retry_after: None,
    };
    bench.receive(node_a(), NodeMessage::RunRefused { run: RUN, refusal });
    assert_eq!(bench.replies, [(1, CallerReply::NoAnswerFromNode)]);
}

#[test]
fn a_copy_without_an_answer_is_waited_for_until_the_time_is_over() {
    let mut bench = start_sent_twice();
    refuse(&mut bench);
    bench.advance(Duration::from_secs(40));
    assert_eq!(bench.replies, [(1, CallerReply::NoAnswerFromNode)]);
}
