//! Checkers of the invariants. They use only [`Observations`] as input.

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

/// Property that must hold in every simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// The calls of a run take effect in the order of their numbers.
    Order,
    /// A run's history contains every answer that its caller received.
    HistoryLost,
    /// A run's history and prompts contain no messages of another run.
    HistoryMixed,
    /// Neither a run nor a tenant exceeds its budget.
    Budget,
    /// Engines hold no memory for runs that have ended.
    MemoryFreed,
    /// A completed call returns one complete answer that was produced for it.
    WholeAnswer,
    /// A refused call was not executed.
    RefusedNotRun,
    /// A non-repeatable call is executed at most once.
    AtMostOnce,
    /// A leaving back end receives no new requests.
    LeavingBackend,
    /// A planned stop of a node interrupts no request.
    PlannedStop,
    /// An accepted configuration is applied on all nodes within bounded time and never reverted.
    Configuration,
    /// Every call completes in bounded time once faults have stopped.
    FinalOutcome,
    /// A refusal is returned promptly, and with a retry delay if the refusal is temporary.
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

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Violated invariant.
    pub invariant: Invariant,
    /// Time of the observation.
    pub at: Instant,
    /// Description of the observation.
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

/// Runs every checker and returns all violations, in the order of the checkers.
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
