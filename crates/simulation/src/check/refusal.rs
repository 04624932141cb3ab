//! Checks that a refused call was not executed before its next submission.

use elderworks_types::{CallId, Outcome};

use super::executions::executions;
use super::{Invariant, Violation};
use crate::kernel::Instant;
use crate::observation::{CallerOutcome, Observations};

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let executions = executions(observations);
    let refused = observations
        .outcomes
        .iter()
        .filter(|ended| matches!(ended.outcome, Outcome::Refused(_)));
    refused
        .filter_map(|ended| {
            let until = covered_until(ended, observations);
            let starts = executions.get(&ended.call)?;
            let ran = starts.iter().find(|start| **start < until)?;
            let detail = format!(
                "{} was executed at {ran} but refused: {:?}",
                ended.call, ended.outcome
            );
            Some(Violation::new(Invariant::RefusedNotRun, ended.at, detail))
        })
        .collect()
}

/// Returns the time until which the refusal rules out an execution: the next submission of the call.
/// If an earlier submission is unanswered, that one may still be executed, so the result is the time
/// of the refused submission.
fn covered_until(ended: &CallerOutcome, observations: &Observations) -> Instant {
    if has_unanswered_submission(ended.call, ended.submitted, observations) {
        return ended.submitted;
    }
    let submissions = observations.submissions.iter();
    let mut later =
        submissions.filter(|submission| submission.call == ended.call && submission.at > ended.at);
    later
        .next()
        .map_or(Instant(u64::MAX), |submission| submission.at)
}

/// Returns whether some submission of the call before `submitted` received no outcome.
fn has_unanswered_submission(
    call: CallId,
    submitted: Instant,
    observations: &Observations,
) -> bool {
    let submissions = observations.submissions.iter();
    let made = submissions.filter(|made| made.call == call && made.at < submitted);
    let outcomes = observations.outcomes.iter();
    let answered = outcomes.filter(|ended| ended.call == call && ended.submitted < submitted);
    made.count() > answered.count()
}
