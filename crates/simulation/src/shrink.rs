//! Minimizes a failing fault schedule.

use std::collections::BTreeSet;

use crate::check::Invariant;
use crate::run::{Plan, Report, run};

/// Removes faults one at a time as long as an invariant violated in `failed` is still violated.
/// Returns the report of the shortest schedule found, including its trace.
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
