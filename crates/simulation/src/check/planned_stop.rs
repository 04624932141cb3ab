//! Planned stops cut off no request, and come to their end.

use std::time::Duration;

use elderworks_types::{FailureReason, Outcome};

use super::{Invariant, Violation};
use crate::observation::Observations;

/// A node asked to stop has exited by then, where nothing else is wrong.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(60);

/// A call cancelled by the end of its run, or of its parent's run, was cut off by its own caller or
/// limit, not by a stop.
fn is_cut_off(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Failed(failure) => failure.reason != FailureReason::Cancelled,
        Outcome::Unknown(_) => true,
        Outcome::Completed(_) | Outcome::Refused(_) => false,
    }
}

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    if observations.had_abrupt_fault {
        return Vec::new();
    }
    let cut = observations
        .outcomes
        .iter()
        .filter(|ended| is_cut_off(&ended.outcome))
        .map(|ended| {
            let detail = format!("{} was cut off: {:?}", ended.call, ended.outcome);
            Violation::new(Invariant::PlannedStop, ended.at, detail)
        });
    let stuck = observations
        .planned_stops
        .iter()
        .filter(|stop| {
            let latest = stop.at.after(MAX_DRAIN_TIME);
            latest < observations.ended && stop.exited.is_none_or(|exited| exited > latest)
        })
        .map(|stop| {
            let detail = format!("node-{} is still draining", stop.node);
            Violation::new(Invariant::PlannedStop, stop.at, detail)
        });
    cut.chain(stuck).collect()
}
