//! Checks that planned stops interrupt no request and complete in bounded time.

use std::time::Duration;

use elderworks_types::{FailureReason, Outcome};

use super::{Invariant, Violation};
use crate::observation::Observations;

/// Maximum time from a stop request to the exit of the node in the absence of other faults.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(60);

/// Returns whether the call was interrupted. A cancellation does not count, since it follows from the
/// end of the run or of its parent's run, not from a stop.
fn is_interrupted(outcome: &Outcome) -> bool {
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
    let interrupted = observations
        .outcomes
        .iter()
        .filter(|ended| is_interrupted(&ended.outcome))
        .map(|ended| {
            let detail = format!("{} was interrupted: {:?}", ended.call, ended.outcome);
            Violation::new(Invariant::PlannedStop, ended.at, detail)
        });
    let overdue = observations
        .planned_stops
        .iter()
        .filter(|stop| {
            let latest = stop.at.after(MAX_DRAIN_TIME);
            latest < observations.ended && stop.exited.is_none_or(|exited| exited > latest)
        })
        .map(|stop| {
            let detail = format!("node-{} did not finish draining in time", stop.node);
            Violation::new(Invariant::PlannedStop, stop.at, detail)
        });
    interrupted.chain(overdue).collect()
}
