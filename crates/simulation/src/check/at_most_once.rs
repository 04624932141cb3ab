//! Checks that a non-repeatable call is executed at most once.

use std::collections::BTreeMap;

use elderworks_types::CallId;

use super::executions::executions;
use super::{Invariant, Violation};
use crate::observation::Observations;

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let submissions = observations.submissions.iter();
    let repeatable = submissions.map(|made| (made.call, made.spec.repeatable));
    let repeatable: BTreeMap<CallId, bool> = repeatable.collect();
    let executions = executions(observations);
    let repeated = executions
        .iter()
        .filter(|(call, starts)| starts.len() > 1 && repeatable.get(call) == Some(&false));
    repeated
        .map(|(call, starts)| {
            let detail = format!("{call} was executed {} times: {starts:?}", starts.len());
            Violation::new(Invariant::AtMostOnce, starts[1], detail)
        })
        .collect()
}
