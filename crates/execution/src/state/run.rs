//! Durable state of one run and its calls.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_protocol::journal::{CallTerms, RunLimits};
use elderworks_protocol::sidecar::SubmissionId;
use elderworks_types::{
    Attempt, CallNumber, CallSpec, Credits, EngineId, Epoch, Outcome, Refusal, RunId, RunPhase,
    RunSpec, Timestamp, Tokens,
};
use serde::{Deserialize, Serialize};

use super::history::ContextEntry;

/// Durable state of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunState {
    /// Specification given by the caller.
    pub spec: RunSpec,
    /// Limits of the run's program at the time of the start.
    pub limits: RunLimits,
    /// Time of the start.
    pub started: Timestamp,
    pub phase: RunPhase,
    /// Settled cost of ended calls and ended sub-agents.
    pub spent: Credits,
    /// Sum of the budgets reserved for active sub-agents.
    pub carved: Credits,
    /// Active sub-agents.
    pub children: BTreeSet<RunId>,
    /// Calls in ascending order of their numbers, which may have gaps. Only the last can be open.
    pub calls: Vec<CallState>,
    /// Messages that the next prompt can start with.
    pub context: Vec<ContextEntry>,
    /// Submissions that every owner refuses, with the refusal sent to the caller.
    pub barred: BTreeMap<(CallNumber, SubmissionId), Refusal>,
    /// Engines to which a call of this run was sent.
    pub engines: BTreeSet<EngineId>,
    /// Tokens prefilled and generated for this run; placement uses them as the engine time
    /// received.
    pub attained: Tokens,
}

impl RunState {
    /// Creates an active run without calls.
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

    /// Returns whether the run accepts calls.
    pub fn is_active(&self) -> bool {
        self.phase == RunPhase::Active
    }

    /// Returns the smallest number that the next call can have.
    pub fn next_number(&self) -> CallNumber {
        let last = self.calls.last().map(|call| call.spec.number);
        last.unwrap_or_default().next()
    }

    /// Returns the call with this number.
    pub fn call(&self, number: CallNumber) -> Option<&CallState> {
        let found = self
            .calls
            .binary_search_by_key(&number, |call| call.spec.number);
        self.calls.get(found.ok()?)
    }

    /// Returns the open call, if there is one.
    pub fn open_call(&self) -> Option<&CallState> {
        self.calls.last().filter(|call| call.end.is_none())
    }

    /// Returns the open call if it has this number.
    pub fn open_call_mut(&mut self, number: CallNumber) -> Option<&mut CallState> {
        self.calls
            .last_mut()
            .filter(|call| call.end.is_none() && call.spec.number == number)
    }

    /// Removes barred submissions whose number was used by a call that has ended: the number alone
    /// is enough to refuse their copies. A refused call does not use up its number.
    pub fn remove_barred_up_to(&mut self, ended: CallNumber, outcome: &Outcome) {
        if !matches!(outcome, Outcome::Refused(_)) {
            self.barred.retain(|(number, _), _| *number > ended);
        }
    }

    /// Returns the credits reserved for the open call and for sub-agents.
    pub fn reserved(&self) -> Credits {
        let open = self.open_call().map_or(Credits::ZERO, CallState::held);
        open + self.carved
    }

    /// Returns the credits that can still be reserved.
    pub fn available(&self) -> Credits {
        self.spec
            .budget
            .saturating_sub(self.spent + self.reserved())
    }
}

/// Durable state of an accepted call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallState {
    /// The call as submitted.
    pub spec: CallSpec,
    /// Prices and timeout of the call's service.
    pub terms: CallTerms,
    /// Credits reserved for the current attempt.
    pub reserved: Credits,
    /// Credits charged for earlier attempts.
    pub spent: Credits,
    /// The attempt that may currently run.
    pub permitted: Attempt,
    /// Epoch at whose start the permitted attempt was known not to have been sent, as stated by the
    /// previous owner's release.
    pub unsent_at: Option<Epoch>,
    /// Attempts sent to a back end.
    pub attempts: Vec<AttemptState>,
    /// Text of the answer that the current attempt continues.
    pub continue_text: String,
    /// Number of chunks in which that text was delivered.
    pub continue_chunks: u32,
    /// Context entries that this call removed by using a shorter prefix; restored if it is refused.
    pub dropped: Vec<ContextEntry>,
    /// Outcome, once the call has ended.
    pub end: Option<CallEnd>,
}

impl CallState {
    /// Returns all credits set aside for the call, charged or reserved.
    pub fn held(&self) -> Credits {
        self.spent + self.reserved
    }

    /// Returns the last attempt sent to a back end.
    pub fn last_attempt(&self) -> Option<&AttemptState> {
        self.attempts.last()
    }
}

/// An attempt that was sent to a back end, or was about to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AttemptState {
    pub attempt: Attempt,
    /// The engine of a model call, once placed.
    pub engine: Option<EngineId>,
}

/// Outcome of an ended call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallEnd {
    /// The outcome reported to the caller.
    pub outcome: Outcome,
    /// Number of chunks of the answer.
    pub chunks: u32,
}
