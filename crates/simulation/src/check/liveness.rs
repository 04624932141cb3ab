//! Every call ends in bounded time, and a refusal comes at once and says when to come back.

use std::time::Duration;

use elderworks_types::{Outcome, RefusalReason};

use super::{Invariant, Violation};
use crate::observation::{CallerOutcome, Observations};

/// A refusal takes no longer than this, where processes and network are whole.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(10);

/// A call that waits for something that may yet come (an engine's turn, an earlier call, a node) is
/// given up after this time.
const MAX_WAIT: Duration = Duration::from_secs(35);

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let unfinished = observations.unfinished.iter().map(|(run, waiting)| {
        let detail = format!("{run} is not done: {waiting}");
        Violation::new(Invariant::FinalOutcome, observations.ended, detail)
    });
    let refusals = observations.outcomes.iter();
    unfinished
        .chain(refusals.filter_map(|ended| check_refusal(ended, observations)))
        .collect()
}

fn check_refusal(ended: &CallerOutcome, observations: &Observations) -> Option<Violation> {
    let Outcome::Refused(refusal) = &ended.outcome else {
        return None;
    };
    let took = ended.at.since(ended.submitted);
    let detail = if is_temporary(refusal.reason) && refusal.retry_after.is_none() {
        format!("{} is not told when to come back: {refusal:?}", ended.call)
    } else if took > max_refusal_time(refusal.reason) && !observations.had_process_fault {
        format!("{} was refused after {took:?}: {refusal:?}", ended.call)
    } else {
        return None;
    };
    Some(Violation::new(Invariant::PromptRefusal, ended.at, detail))
}

fn max_refusal_time(reason: RefusalReason) -> Duration {
    match reason {
        RefusalReason::Overloaded
        | RefusalReason::EarlierCallMissing
        | RefusalReason::NoNodeReachable => MAX_WAIT,
        _ => MAX_REFUSAL_TIME,
    }
}

/// Whether asking again later may succeed.
fn is_temporary(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::LogUnavailable
        | RefusalReason::Overloaded
        | RefusalReason::NoBackend
        | RefusalReason::EarlierCallMissing
        | RefusalReason::NoNodeReachable => true,
        RefusalReason::RunBudgetExhausted
        | RefusalReason::TenantBudgetExhausted
        | RefusalReason::RunLimitReached
        | RefusalReason::RunEnded
        | RefusalReason::RunNotFound
        | RefusalReason::UnknownService
        | RefusalReason::CallNumberReused
        | RefusalReason::HistoryMissing
        | RefusalReason::DeadlinePassed => false,
    }
}
