//! Checkers, one an invariant. Each judges only from [`Observations`].

mod at_most_once;
mod budget;
mod configuration;
mod departure;
mod executions;
mod history;
mod liveness;
mod memory;
mod order;
mod planned_stop;
mod refusal;
mod whole_answer;

use std::fmt;

use serde::Serialize;

use crate::kernel::Instant;
use crate::observation::Observations;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// The calls of one run take effect in the order of their numbers.
    Order,
    /// A run's history contains everything that its caller was told.
    HistoryLost,
    /// A run's history and prompts contain nothing of another run.
    HistoryMixed,
    /// Neither a run nor a tenant spends past its budget.
    Budget,
    /// Engines hold nothing for runs that have ended.
    MemoryFreed,
    /// A completed call gives the whole of one answer of its own.
    WholeAnswer,
    /// What was refused was not run.
    RefusedNotRun,
    /// What must not be repeated runs at most once.
    AtMostOnce,
    /// A leaving back end gets no new work.
    LeavingBackend,
    /// A planned stop cuts off no request.
    PlannedStop,
    /// An accepted configuration is soon in force everywhere and never reverts.
    Configuration,
    /// Every call ends in bounded time once faults have stopped.
    FinalOutcome,
    /// A call that is given up on is answered at once, with when to come back.
    PromptRefusal,
}

impl Invariant {
    /// Every invariant.
    pub const ALL: [Invariant; 13] = [
        Invariant::Order,
        Invariant::HistoryLost,
        Invariant::HistoryMixed,
        Invariant::Budget,
        Invariant::MemoryFreed,
        Invariant::WholeAnswer,
        Invariant::RefusedNotRun,
        Invariant::AtMostOnce,
        Invariant::LeavingBackend,
        Invariant::PlannedStop,
        Invariant::Configuration,
        Invariant::FinalOutcome,
        Invariant::PromptRefusal,
    ];
}

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// When it was seen.
    pub at: Instant,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    fn new(invariant: Invariant, at: Instant, detail: String) -> Self {
        Self {
            invariant,
            at,
            detail,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation {
            invariant,
            at,
            detail,
        } = self;
        write!(formatter, "{at} {invariant:?}: {detail}")
    }
}

/// Every violation, in the order of the checkers.
pub fn check(observations: &Observations) -> Vec<Violation> {
    let checkers = [
        order::check,
        history::check,
        budget::check,
        memory::check,
        whole_answer::check,
        refusal::check,
        at_most_once::check,
        departure::check,
        planned_stop::check,
        configuration::check,
        liveness::check,
    ];
    checkers
        .iter()
        .flat_map(|checker| checker(observations))
        .collect()
}
