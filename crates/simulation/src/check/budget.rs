//! Checks that the cost of all executions stays within the budgets of runs, including their
//! sub-agents, and of tenants.

use std::collections::BTreeMap;

use elderworks_types::{CallId, Credits, RunId, RunSpec, TenantId};

use super::{Invariant, Violation};
use crate::observation::Observations;

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let specs = observations
        .run_starts
        .iter()
        .map(|start| (start.spec.id, &start.spec));
    let specs: BTreeMap<RunId, &RunSpec> = specs.collect();
    let mut by_run: BTreeMap<RunId, Credits> = BTreeMap::new();
    let mut by_tenant: BTreeMap<TenantId, Credits> = BTreeMap::new();
    for (call, cost) in costs(observations) {
        let mut next = Some(call.run);
        while let Some(run) = next {
            *by_run.entry(run).or_default() += cost;
            next = specs.get(&run).and_then(|spec| spec.parent);
        }
        if let Some(spec) = specs.get(&call.run) {
            *by_tenant.entry(spec.tenant.clone()).or_default() += cost;
        }
    }
    let runs = by_run.into_iter().filter_map(|(run, spent)| {
        let budget = specs.get(&run)?.budget;
        overspending(&run, spent, budget)
    });
    let tenants = by_tenant.into_iter().filter_map(|(tenant, spent)| {
        let limit = *observations.tenant_limits.get(&tenant)?;
        overspending(&tenant, spent, limit)
    });
    runs.chain(tenants)
        .map(|detail| Violation::new(Invariant::Budget, observations.ended, detail))
        .collect()
}

/// Returns a description of the violation if `spent` exceeds `limit`.
fn overspending(name: &impl std::fmt::Display, spent: Credits, limit: Credits) -> Option<String> {
    (spent > limit).then(|| format!("{name} spent {spent} of {limit}"))
}

/// Returns the cost of every execution with its call.
fn costs(observations: &Observations) -> impl Iterator<Item = (CallId, Credits)> {
    let prices = observations.prices;
    let generations = observations
        .generations
        .iter()
        .map(move |generation| (generation.ticket.call, prices.cost_of(&generation.usage)));
    let invocations = observations
        .invocations
        .iter()
        .map(move |invocation| (invocation.ticket.call, prices.invocation));
    generations.chain(invocations)
}
