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
    let mut bench = Bench::located(node_a());
    start(&mut bench);
    bench.event(Event::Disconnected { address: node_a() });
    bench.pass(Duration::from_secs(1));
    bench.say_located(node_b(), node_b());
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
        (true, CallerReply::Unreachable),
    ] {
        let mut bench = Bench::located(node_a());
        start(&mut bench);
        if is_broken {
            bench.event(Event::Disconnected { address: node_a() });
            bench.event(Event::Connected { address: node_a() });
            bench.pass(Duration::from_secs(1));
            bench.say_located(node_b(), node_a());
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
    bench.pass(Duration::from_secs(31));
    assert!(matches!(
        &bench.replies[0],
        (1, CallerReply::RunRefused { refusal }) if refusal.reason == RefusalReason::NoNodeReachable
    ));
    assert_eq!(
        bench.replies[1..],
        [(2, CallerReply::Unreachable), (3, CallerReply::Unreachable)]
    );
}

#[test]
fn a_silent_node_is_asked_again() {
    let mut bench = Bench::located(node_a());
    let tenant = TenantId::new("office");
    bench.event(Event::EndRun {
        request: 3,
        tenant,
        run: RUN,
    });
    bench.pass(Duration::from_secs(3));
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
    let mut bench = Bench::located(node_a());
    bench.event(Event::ReadRun {
        request: 3,
        tenant: TenantId::new("office"),
        run: RUN,
    });
    bench.sent.clear();
    bench.pass(Duration::from_secs(10));
    let asks_for_owner = |(to, message): &(_, SidecarMessage)| {
        *to == node_b() && matches!(message, SidecarMessage::Locate { .. })
    };
    assert!(bench.sent.iter().any(asks_for_owner), "{:?}", bench.sent);
    bench.say_located(node_b(), node_b());
    bench.pass(Duration::from_secs(3));
    let is_read_there = |(to, message): &(_, SidecarMessage)| {
        *to == node_b() && matches!(message, SidecarMessage::ReadRun { .. })
    };
    assert!(bench.sent.iter().any(is_read_there), "{:?}", bench.sent);
}

#[test]
fn a_view_reaches_only_the_request_that_asked_for_it() {
    let mut bench = Bench::located(node_a());
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
