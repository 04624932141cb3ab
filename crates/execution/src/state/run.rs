//! One run and its calls.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_protocol::journal::{CallTerms, RunLimits};
use elderworks_protocol::sidecar::SubmissionId;
use elderworks_types::{
    Attempt, CallNumber, CallSpec, Credits, EngineId, Epoch, Outcome, Refusal, RunId, RunPhase,
    RunSpec, Timestamp, Tokens,
};
use serde::{Deserialize, Serialize};

use super::history::ContextEntry;

/// A run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunState {
    /// What its caller fixed.
    pub spec: RunSpec,
    /// Limits of its program when it started.
    pub limits: RunLimits,
    /// When it started.
    pub started: Timestamp,
    /// Where it stands.
    pub phase: RunPhase,
    /// Settled cost of its ended calls and ended sub-agents.
    pub spent: Credits,
    /// Budgets of its active sub-agents.
    pub carved: Credits,
    /// Its active sub-agents.
    pub children: BTreeSet<RunId>,
    /// Its calls in order of their numbers, some of which may be passed over; only the last can be
    /// open.
    pub calls: Vec<CallState>,
    /// The messages with which the next prompt may begin.
    pub context: Vec<ContextEntry>,
    /// Submissions that no owner takes any more, by call, with the reason that was given.
    pub barred: BTreeMap<(CallNumber, SubmissionId), Refusal>,
    /// Engines that were given a call of this run.
    pub engines: BTreeSet<EngineId>,
    /// Tokens prefilled and generated for it.
    pub attained: Tokens,
}

impl RunState {
    /// A run that has just started.
    pub fn new(spec: RunSpec, limits: RunLimits, started: Timestamp) -> Self {
        Self {
            spec,
            limits,
            started,
            phase: RunPhase::Active,
            spent: Credits::ZERO,
            carved: Credits::ZERO,
            children: BTreeSet::new(),
            calls: Vec::new(),
            context: Vec::new(),
            barred: BTreeMap::new(),
            engines: BTreeSet::new(),
            attained: Tokens::ZERO,
        }
    }

    /// Whether it takes calls.
    pub fn is_active(&self) -> bool {
        self.phase == RunPhase::Active
    }

    /// The smallest number that its next call can have.
    pub fn next_number(&self) -> CallNumber {
        let last = self.calls.last().map(|call| call.spec.number);
        last.unwrap_or_default().next()
    }

    /// A call by its number.
    pub fn call(&self, number: CallNumber) -> Option<&CallState> {
        let found = self
            .calls
            .binary_search_by_key(&number, |call| call.spec.number);
        self.calls.get(found.ok()?)
    }

    /// The open call, if there is one.
    pub fn open_call(&self) -> Option<&CallState> {
        self.calls.last().filter(|call| call.end.is_none())
    }

    /// The open call, if it has this number.
    pub fn open_call_mut(&mut self, number: CallNumber) -> Option<&mut CallState> {
        self.calls
            .last_mut()
            .filter(|call| call.end.is_none() && call.spec.number == number)
    }

    /// Forgets barred submissions whose number is used for good by a call that has ended: their
    /// copies are turned away by the number alone. After a refusal the number is free again.
    pub fn forget_barred(&mut self, ended: CallNumber, outcome: &Outcome) {
        if !matches!(outcome, Outcome::Refused(_)) {
            self.barred.retain(|(number, _), _| *number > ended);
        }
    }

    /// Set aside for the open call and for sub-agents.
    pub fn reserved(&self) -> Credits {
        let open = self.open_call().map_or(Credits::ZERO, CallState::held);
        open + self.carved
    }

    /// What can still be reserved.
    pub fn available(&self) -> Credits {
        self.spec
            .budget
            .saturating_sub(self.spent + self.reserved())
    }
}

/// A call that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallState {
    /// The call as made.
    pub spec: CallSpec,
    /// Prices and limits.
    pub terms: CallTerms,
    /// Reserved for the present attempt.
    pub reserved: Credits,
    /// Charged for the attempts before it.
    pub spent: Credits,
    /// The attempt that may run now.
    pub permitted: Attempt,
    /// The epoch at whose beginning surely no back end had seen the permitted attempt.
    pub unsent_at: Option<Epoch>,
    /// Attempts given to a back end.
    pub attempts: Vec<AttemptState>,
    /// Text of the answer that the present attempt continues.
    pub continue_text: String,
    /// How many chunks that text came in.
    pub continue_chunks: u32,
    /// Context that the call dropped by a shorter prefix, in case it is refused.
    pub dropped: Vec<ContextEntry>,
    /// How it ended.
    pub end: Option<CallEnd>,
}

impl CallState {
    /// All that is set aside for it.
    pub fn held(&self) -> Credits {
        self.spent + self.reserved
    }

    /// The last attempt given to a back end.
    pub fn last_attempt(&self) -> Option<&AttemptState> {
        self.attempts.last()
    }
}

/// An attempt that was given to a back end, or was about to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AttemptState {
    /// Which.
    pub attempt: Attempt,
    /// The engine, for a model call, once placed.
    pub engine: Option<EngineId>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallEnd {
    /// Its one outcome.
    pub outcome: Outcome,
    /// Chunks of the answer.
    pub chunks: u32,
}
