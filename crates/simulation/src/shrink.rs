//! Makes a failing schedule as short as it can be while it still fails.

use std::collections::BTreeSet;

use crate::check::Invariant;
use crate::run::{Plan, Report, run};

/// Drops faults one at a time for as long as one of the invariants of `failed` is still violated;
/// gives the report of the shortest schedule, with its trace.
pub fn shrink(plan: &Plan, failed: &Report) -> Report {
    let invariants: BTreeSet<Invariant> = failed
        .violations
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    let mut shortest = plan.clone();
    let mut index = 0;
    while index < shortest.schedule.len() {
        let mut shorter = shortest.clone();
        shorter.schedule.remove(index);
        if still_fails(&run(&shorter), &invariants) {
            shortest = shorter;
        } else {
            index += 1;
        }
    }
    shortest.keep_trace = true;
    run(&shortest)
}

fn still_fails(report: &Report, invariants: &BTreeSet<Invariant>) -> bool {
    let mut violations = report.violations.iter();
    violations.any(|violation| invariants.contains(&violation.invariant))
}
