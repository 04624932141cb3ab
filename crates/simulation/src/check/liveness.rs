//! Checks that every call completes in bounded time, and that refusals are prompt and, if temporary,
//! give a retry delay.

use std::time::Duration;

use elderworks_types::{Outcome, RefusalReason};

use super::{Invariant, Violation};
use crate::observation::{CallerOutcome, Observations};

/// Maximum time until a refusal in the absence of process and network faults.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(10);

/// Maximum time until a refusal for which the call first waits: for engine capacity, an earlier call
/// or a reachable node.
const MAX_WAIT: Duration = Duration::from_secs(35);

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let unfinished = observations.unfinished.iter().map(|(run, waiting)| {
        let detail = format!("{run} is unfinished: {waiting}");
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
        format!(
            "{} was refused without a retry delay: {refusal:?}",
            ended.call
        )
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

/// Returns whether a later retry may succeed.
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
