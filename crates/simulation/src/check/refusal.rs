//! A refused call was not run before the refusal, nor after it until the caller asked again.

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
            let detail = format!("{} ran at {ran}, refused {:?}", ended.call, ended.outcome);
            Some(Violation::new(Invariant::RefusedNotRun, ended.at, detail))
        })
        .collect()
}

/// Until when the refusal covers the call: the next submission, or the refusal itself where the
/// caller had hung up on an earlier submission, which may still run.
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
