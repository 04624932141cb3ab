//! Tests of the budgets of runs, sub-agents and tenants.

mod common;

use std::time::Duration;

use common::World;
use common::build::*;
use elderworks_execution::event::AttemptFailure;
use elderworks_execution::{Effect, Event, ExecutionSettings, tenant_budget_holder};
use elderworks_protocol::journal::RunLimits;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{
    Credits, Outcome, PartitionId, RefusalReason, RunId, RunSpec, Sequence, TenantId,
};

/// Maximum cost in credits of a call with the message `x`: the prompt `<|user|>x\n` has 3 tokens at
/// 1 credit, and the answer up to 10 tokens at 2 credits.
const CALL: u64 = 3 + 20;

fn started(budget: u64) -> World {
    let mut world = World::owned();
    world.event(0, start(RUN, budget));
    world.take_effects(0);
    world
}

fn spent_and_reserved(world: &World, run: RunId) -> (u64, u64) {
    let view = world.nodes[0].partition.view(run).expect("the run");
    (view.spent.0, view.reserved.0)
}

fn refusals(world: &mut World) -> Vec<RefusalReason> {
    let outcomes = world.take_outcomes(0);
    outcomes
        .into_iter()
        .filter_map(|(_, outcome)| match outcome {
            Outcome::Refused(refusal) => Some(refusal.reason),
            _ => None,
        })
        .collect()
}

#[test]
fn maximum_cost_is_reserved_and_actual_cost_is_settled() {
    let mut world = started(100);
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    assert_eq!(spent_and_reserved(&world, RUN), (0, CALL));
    world.place(0, call(RUN, 1), 1, "engine-a");
    world.complete(0, call(RUN, 1), 1, "ok");
    assert_eq!(spent_and_reserved(&world, RUN), (4 + 2 * 2, 0));
}

#[test]
fn call_exceeding_the_run_budget_is_refused() {
    let mut world = started(CALL - 1);
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    assert_eq!(refusals(&mut world), [RefusalReason::RunBudgetExhausted]);
    assert!(world.take_dispatches(0).is_empty());
}

#[test]
fn retry_requires_budget_beyond_the_lost_attempt() {
    for (budget, attempts) in [(2 * CALL, 2), (2 * CALL - 1, 1)] {
        let mut world = started(budget);
        world.event(0, submit(RUN, model_call(1, 0, "x")));
        world.place(0, call(RUN, 1), 1, "engine-a");
        world.fail(0, call(RUN, 1), 1, lost_failure());
        world.advance_time(Duration::from_secs(1));
        assert_eq!(world.take_dispatches(0).len(), attempts, "budget {budget}");
        let (spent, reserved) = spent_and_reserved(&world, RUN);
        assert!(spent + reserved <= budget);
    }
}

#[test]
fn an_attempt_that_was_not_run_costs_nothing() {
    for failure in [
        AttemptFailure::NotSent,
        AttemptFailure::Rejected { retry_after: None },
    ] {
        let mut world = started(CALL);
        world.event(0, submit(RUN, model_call(1, 0, "x")));
        world.place(0, call(RUN, 1), 1, "engine-a");
        world.fail(0, call(RUN, 1), 1, failure);
        world.advance_time(Duration::from_secs(1));
        assert_eq!(world.take_dispatches(0).len(), 2);
        assert_eq!(spent_and_reserved(&world, RUN), (0, CALL));
    }
}

fn sub_agent(number: u64, budget: u64) -> RunSpec {
    RunSpec {
        parent: Some(RUN),
        ..run_spec(RUN.child(number), budget)
    }
}

#[test]
fn sub_agent_budget_is_reserved_from_the_parent_and_the_rest_is_returned() {
    let mut world = started(100);
    world.event(0, start_with(sub_agent(1, 60), limits()));
    assert_eq!(spent_and_reserved(&world, RUN), (0, 60));
    world.event(0, start_with(sub_agent(2, 41), limits()));
    let refused = world.take_messages(0).into_iter().any(|message| {
        matches!(message, NodeMessage::RunRefused { refusal, .. }
            if refusal.reason == RefusalReason::RunBudgetExhausted)
    });
    assert!(refused, "41 requested, 40 available");

    let child = RUN.child(1);
    world.event(0, submit(child, model_call(1, 0, "x")));
    world.place(0, call(child, 1), 1, "engine-a");
    world.complete(0, call(child, 1), 1, "ok");
    let end = Event::EndRun {
        connection: 1,
        tenant: tenant(),
        run: child,
    };
    world.event(0, end);
    assert_eq!(spent_and_reserved(&world, RUN), (8, 0));
}

fn tenant_limits() -> RunLimits {
    RunLimits {
        tenant_budget: true,
        ..limits()
    }
}

fn small_allotments() -> ExecutionSettings {
    ExecutionSettings {
        allotment_size: Credits(CALL),
        ..ExecutionSettings::default()
    }
}

fn requests(world: &mut World) -> Vec<(Sequence, Credits)> {
    let effects = world.take_effects(0);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::RequestAllotment {
                request, amount, ..
            } => Some((request, amount)),
            _ => None,
        })
        .collect()
}

fn grant(request: u64, amount: u64) -> Event {
    Event::AllotmentGranted {
        tenant: tenant(),
        request: Sequence(request),
        amount: Credits(amount),
    }
}

#[test]
fn a_call_waits_for_its_tenants_allotment() {
    let mut world = World::owned_with(small_allotments());
    world.event(0, start_with(run_spec(RUN, 1_000), tenant_limits()));
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    assert!(world.take_dispatches(0).is_empty());
    assert_eq!(requests(&mut world), [(Sequence(1), Credits(CALL))]);
    world.advance_time(Duration::from_secs(1));
    let repeats = requests(&mut world);
    assert!(!repeats.is_empty() && repeats.iter().all(|(request, _)| *request == Sequence(1)));
    world.event(0, grant(1, CALL));
    assert_eq!(world.take_dispatches(0).len(), 1);
    world.event(0, grant(1, CALL));
    assert_eq!(world.nodes[0].partition.counters().records_inconsistent, 0);
}

#[test]
fn call_is_refused_when_the_tenant_budget_is_exhausted() {
    let mut world = World::owned_with(small_allotments());
    world.event(0, start_with(run_spec(RUN, 1_000), tenant_limits()));
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    world.event(0, grant(1, 0));
    assert_eq!(refusals(&mut world), [RefusalReason::TenantBudgetExhausted]);
}

fn allotment_request(partition: u32, request: u64, amount: u64) -> Event {
    Event::AllotmentRequested {
        tenant: tenant(),
        partition: PartitionId(partition),
        request: Sequence(request),
        amount: Credits(amount),
    }
}

fn grants(world: &mut World, node: usize) -> Vec<(PartitionId, Credits)> {
    let effects = world.take_effects(node);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::GrantAllotment {
                partition, amount, ..
            } => Some((partition, amount)),
            _ => None,
        })
        .collect()
}

#[test]
fn holder_never_grants_more_than_the_limit_and_repeats_are_free() {
    let mut world = World::owned();
    for node in 0..2 {
        let limit = Event::TenantLimit {
            tenant: tenant(),
            limit: Some(Credits(100)),
        };
        world.event(node, limit);
    }
    world.event(0, allotment_request(3, 1, 60));
    world.event(0, allotment_request(3, 1, 60));
    world.event(0, allotment_request(4, 1, 60));
    let expected = [
        (PartitionId(3), Credits(60)),
        (PartitionId(3), Credits(60)),
        (PartitionId(4), Credits(40)),
    ];
    assert_eq!(grants(&mut world, 0), expected);

    world.nodes[0].paused = true;
    world.take_over(1);
    world.event(1, allotment_request(3, 1, 60));
    world.event(1, allotment_request(5, 1, 1));
    let expected = [(PartitionId(3), Credits(60)), (PartitionId(5), Credits(0))];
    assert_eq!(grants(&mut world, 1), expected);
}

#[test]
fn concurrent_requests_do_not_exceed_the_limit() {
    let mut world = World::owned();
    let limit = Event::TenantLimit {
        tenant: tenant(),
        limit: Some(Credits(100)),
    };
    world.event(0, limit);
    world.feed(0, allotment_request(3, 1, 60));
    world.feed(0, allotment_request(4, 1, 60));
    world.settle();
    let total: u64 = grants(&mut world, 0)
        .iter()
        .map(|(_, amount)| amount.0)
        .sum();
    assert_eq!(total, 100);
}

#[test]
fn every_tenant_has_one_holder() {
    let holder = tenant_budget_holder(&tenant(), 64);
    assert_eq!(holder, tenant_budget_holder(&tenant(), 64));
    assert!(holder.0 < 64);
    assert_eq!(tenant_budget_holder(&TenantId::new("x"), 0), PartitionId(0));
}
