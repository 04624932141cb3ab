//! Starting, reading and ending runs, with silent and lost nodes.

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
fn a_start_is_resent_after_a_lost_connection_and_answered_once() {
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
fn a_start_is_refused_only_if_no_other_node_may_have_accepted_it() {
    let refusal = Refusal {
        reason: RefusalReason::Overloaded,
        retry_after: None,
    };
    for (is_connection_lost, expected) in [
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
        if is_connection_lost {
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
fn requests_end_within_the_timeout_without_any_node() {
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
fn a_request_is_resent_to_a_silent_node() {
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

/// Guards against requests stuck at a paused node, whose connections stay open.
#[test]
fn a_request_moves_from_a_silent_node_to_the_new_owner() {
    let mut bench = Bench::with_owner(node_a());
    bench.event(Event::ReadRun {
        request: 3,
        tenant: TenantId::new("office"),
        run: RUN,
    });
    bench.sent.clear();
    bench.advance(Duration::from_secs(10));
    let is_locate = |(to, message): &(_, SidecarMessage)| {
        *to == node_b() && matches!(message, SidecarMessage::Locate { .. })
    };
    assert!(bench.sent.iter().any(is_locate), "{:?}", bench.sent);
    bench.report_owner(node_b(), node_b());
    bench.advance(Duration::from_secs(3));
    let is_read_there = |(to, message): &(_, SidecarMessage)| {
        *to == node_b() && matches!(message, SidecarMessage::ReadRun { .. })
    };
    assert!(bench.sent.iter().any(is_read_there), "{:?}", bench.sent);
}

#[test]
fn a_run_view_is_delivered_only_to_its_query() {
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

/// A start that was resent because its node was busy for longer than the resend timeout.
fn start_sent_twice() -> Bench {
    let mut bench = Bench::with_owner(node_a());
    start(&mut bench);
    bench.advance(Duration::from_millis(2_100));
    assert_eq!(starts(&bench), 2);
    bench
}

#[test]
fn a_start_is_refused_once_every_copy_was_refused() {
    let mut bench = start_sent_twice();
    refuse(&mut bench);
    assert_eq!(bench.replies, [], "the second copy may still be accepted");
    refuse(&mut bench);
    let refusal = log_unavailable();
    assert_eq!(bench.replies, [(1, CallerReply::RunRefused { refusal })]);
}

#[test]
fn a_redirected_copy_was_not_accepted() {
    let mut bench = start_sent_twice();
    let not_owner = NodeMessage::NotOwner {
        run: RUN,
        number: None,
        owner: None,
    };
    bench.receive(node_a(), not_owner.clone());
    bench.receive(node_a(), not_owner);
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
fn a_start_succeeds_if_one_copy_is_refused_and_another_accepted() {
    let mut bench = start_sent_twice();
    refuse(&mut bench);
    bench.receive(node_a(), NodeMessage::RunStarted { run: RUN });
    assert_eq!(bench.replies, [(1, CallerReply::RunStarted { run: RUN })]);
}

#[test]
fn an_unanswered_copy_leaves_the_start_unsettled() {
    // The connection is lost before the second copy is answered.
    let mut broken = start_sent_twice();
    refuse(&mut broken);
    broken.event(Event::Disconnected { address: node_a() });
    broken.event(Event::Connected { address: node_a() });
    broken.advance(Duration::from_secs(1));
    broken.report_owner(node_b(), node_a());
    refuse(&mut broken);
    assert_eq!(broken.replies, [(1, CallerReply::NoAnswerFromNode)]);
    // The partition moves while the silent node may still accept its copies.
    let mut moved = start_sent_twice();
    moved.advance(Duration::from_secs(4));
    moved.report_owner(node_b(), node_b());
    moved.advance(Duration::from_secs(3));
    let refusal = log_unavailable();
    moved.receive(node_b(), NodeMessage::RunRefused { run: RUN, refusal });
    assert_eq!(moved.replies, [(1, CallerReply::NoAnswerFromNode)]);
}

#[test]
fn a_permanent_refusal_with_an_unanswered_copy_leaves_the_start_unsettled() {
    let mut bench = start_sent_twice();
    let refusal = Refusal {
        reason: RefusalReason::RunNotFound,
        retry_after: None,
    };
    bench.receive(node_a(), NodeMessage::RunRefused { run: RUN, refusal });
    assert_eq!(bench.replies, [(1, CallerReply::NoAnswerFromNode)]);
}

#[test]
fn an_unanswered_copy_is_awaited_until_the_timeout() {
    let mut bench = start_sent_twice();
    refuse(&mut bench);
    bench.advance(Duration::from_secs(40));
    assert_eq!(bench.replies, [(1, CallerReply::NoAnswerFromNode)]);
}
