//! Checks that the calls of a run start at back ends in the order of their numbers.

use std::collections::BTreeMap;

use elderworks_types::{CallId, RunId};

use super::executions::executions;
use super::{Invariant, Violation};
use crate::kernel::Instant;
use crate::observation::Observations;

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let mut latest: BTreeMap<RunId, (CallId, Instant)> = BTreeMap::new();
    let mut violations = Vec::new();
    for (call, starts) in executions(observations) {
        let Some(first) = starts.first().copied() else {
            continue;
        };
        if let Some((earlier, started)) = latest.get(&call.run).copied()
            && first < started
        {
            let detail = format!("{call} started before {earlier}, which started at {started}");
            violations.push(Violation::new(Invariant::Order, first, detail));
        }
        let entry = latest.entry(call.run).or_insert((call, first));
        if first > entry.1 {
            *entry = (call, first);
        }
    }
    violations
}
