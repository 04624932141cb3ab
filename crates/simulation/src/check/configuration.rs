//! Checks that accepted changes are applied on all nodes within seconds, are never reverted, and
//! that only one of several changes based on the same revision is accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Offset;
use elderworks_types::resource::Kind;

use super::{Invariant, Violation};
use crate::observation::{Observations, OperatorChange, OperatorRead};

/// Maximum time until a change is applied on every ready node in the absence of faults.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// Maximum time after the last fault until nodes have caught up with delayed changes.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let accepted: Vec<Accepted<'_>> = observations
        .changes
        .iter()
        .filter_map(Accepted::of)
        .collect();
    let mut violations = check_races(&accepted);
    violations.extend(check_reverts(observations));
    violations.extend(check_in_force(&accepted, observations));
    violations
}

/// A change of the raced configuration whose acceptance was reported to its operator.
struct Accepted<'a> {
    change: &'a OperatorChange,
    revision: Offset,
}

impl<'a> Accepted<'a> {
    fn of(change: &'a OperatorChange) -> Option<Self> {
        let revision = change.result.as_ref().ok()?.revision;
        let is_raced = change.resource.spec.kind() == Kind::Configuration;
        is_raced.then_some(Self { change, revision })
    }
}

fn check_races(accepted: &[Accepted<'_>]) -> Vec<Violation> {
    let mut winners: BTreeMap<Offset, Offset> = BTreeMap::new();
    let mut violations = Vec::new();
    for Accepted { change, revision } in accepted {
        let Some(expected) = change.expected else {
            continue;
        };
        let winner = *winners.entry(expected).or_insert(*revision);
        if winner != *revision {
            let detail = format!("{winner} and {revision} both replaced {expected}");
            violations.push(Violation::new(Invariant::Configuration, change.at, detail));
        }
    }
    violations
}

fn check_reverts(observations: &Observations) -> Vec<Violation> {
    let mut seen: BTreeMap<(usize, u32), Offset> = BTreeMap::new();
    let mut violations = Vec::new();
    for read in &observations.reads {
        let revision = revision_of(read);
        let latest = seen.entry((read.node, read.generation)).or_default();
        if revision < *latest {
            let detail = format!("node-{} reverted from {latest} to {revision}", read.node);
            violations.push(Violation::new(Invariant::Configuration, read.at, detail));
        }
        *latest = revision.max(*latest);
    }
    violations
}

fn check_in_force(accepted: &[Accepted<'_>], observations: &Observations) -> Vec<Violation> {
    let recovered_at = observations.faults_stopped.after(RECOVERY_TIME);
    let mut violations = Vec::new();
    for read in &observations.reads {
        let undisturbed = !observations.had_abrupt_fault || read.submitted > recovered_at;
        let due = accepted.iter().filter(|accepted| {
            undisturbed && accepted.change.at.after(MAX_PROPAGATION_TIME) < read.submitted
        });
        let expected = due.map(|accepted| accepted.revision).max();
        if expected > Some(revision_of(read)) {
            let detail = format!(
                "node-{} has {}, but {expected:?} was accepted",
                read.node,
                revision_of(read)
            );
            violations.push(Violation::new(Invariant::Configuration, read.at, detail));
        }
    }
    violations
}

fn revision_of(read: &OperatorRead) -> Offset {
    let resource = read.resource.as_ref();
    resource.map_or(Offset(0), |resource| resource.metadata.revision)
}
