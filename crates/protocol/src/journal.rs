//! Bodies of records on a partition's stream.

use elderworks_types::{
    Attempt, CallId, CallSpec, Credits, EngineId, NodeId, Outcome, Refusal, RunId, RunPhase,
    RunSpec, Sequence, TenantId, Timestamp,
};
use serde::{Deserialize, Serialize};

use crate::sidecar::SubmissionId;

/// One step in the life of a partition. Replay in offset order rebuilds its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalBody {
    /// Claims ownership at the record's epoch, which must be one above the current.
    Claim {
        /// The claiming node.
        owner: NodeId,
    },
    /// The owner lets go in order; the next claim needs no failure to be detected.
    Release {
        /// Open calls of which surely no back end has seen the present attempt, so that the next
        /// owner need not charge it.
        unsent: Vec<CallId>,
    },
    /// Changes nothing: once read back it shows its writer that it still owned the partition after
    /// it was asked something.
    Barrier,
    /// Starts a run.
    RunStarted {
        /// What the caller fixed.
        spec: RunSpec,
        /// Limits of the program as they stood, so that replay needs no other stream.
        limits: RunLimits,
        /// When, by the owner's clock; the run's longest life counts from here.
        started: Timestamp,
    },
    /// Accepts a call: its place in the order is fixed and the most that it can cost is reserved.
    CallAccepted {
        /// The run.
        run: RunId,
        /// The call as made.
        spec: CallSpec,
        /// Reserved from the run's budget for the first attempt.
        reserved: Credits,
        /// Prices and limits as they stood, so that another owner can go on with the call.
        terms: CallTerms,
    },
    /// Settles a lost attempt and reserves what the next one can cost. The next attempt is
    /// dispatched only after this record was read back accepted.
    AttemptReserved {
        /// The call.
        call: CallId,
        /// The attempt that is to follow.
        attempt: Attempt,
        /// What the attempts before it cost, or may have cost where that is not known.
        spent: Credits,
        /// Reserved for the attempt that is to follow.
        reserved: Credits,
        /// Text of the answer that earlier attempts delivered and the next one continues.
        continue_text: String,
        /// How many chunks that text came in.
        continue_chunks: u32,
    },
    /// An attempt was given to a back end. A call that is not repeatable is sent only after this
    /// record was read back accepted.
    AttemptStarted {
        /// The call.
        call: CallId,
        /// Which attempt.
        attempt: Attempt,
        /// The engine, for a model call.
        engine: Option<EngineId>,
    },
    /// Ends a call and settles its reservation.
    CallEnded {
        /// The call.
        call: CallId,
        /// Its one outcome. After a refusal the call's number may be used again.
        outcome: Outcome,
        /// How many chunks the answer had.
        chunks: u32,
    },
    /// No owner takes a copy of this submission any more. Other submissions of the call may be.
    SubmissionRefused {
        /// The call; it is not in the journal.
        call: CallId,
        /// Which submission of it.
        submission: SubmissionId,
        /// Why; the caller is told so once this record was read back accepted.
        refusal: Refusal,
    },
    /// Ends a run. What engines hold for it is to be released.
    RunEnded {
        /// The run.
        run: RunId,
        /// How.
        phase: RunPhase,
        /// When, by the owner's clock; the run is kept for reading for some time from here.
        at: Timestamp,
    },
    /// Forgets ended runs whose time for reading is over.
    RunsForgotten {
        /// Which; each has ended and its memory is released.
        runs: Vec<RunId>,
    },
    /// Every engine that held memory for an ended run has acknowledged its release.
    MemoryReleased {
        /// The run.
        run: RunId,
    },
    /// A tenant's budget holder sets part of the budget aside for another partition.
    AllotmentGranted {
        /// Whose budget.
        tenant: TenantId,
        /// Asked for by this partition.
        partition: elderworks_types::PartitionId,
        /// Number of the request among that partition's, so that a repeat grants nothing more.
        request: Sequence,
        /// How much.
        amount: Credits,
    },
    /// A partition takes a granted allotment into its books.
    AllotmentReceived {
        /// Whose budget.
        tenant: TenantId,
        /// Number of the request.
        request: Sequence,
        /// How much.
        amount: Credits,
    },
    /// State of the partition after all records before this one, in parts.
    Snapshot {
        /// Which part, from 0.
        part: u32,
        /// How many there are.
        parts: u32,
        /// Encoded state.
        bytes: Vec<u8>,
    },
    /// The snapshot whose first part stands at an offset was read back accepted by its writer. A
    /// reader that begins in the middle of the stream trusts only snapshots confirmed so: one
    /// written by an owner that had been fenced out is void, and cannot be told by itself.
    SnapshotConfirmed {
        /// Where the first part stands.
        first: elderworks_types::Offset,
    },
}

/// Limits of one run, copied from its `Program` when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLimits {
    /// Most calls.
    pub max_turns: u32,
    /// Most tokens of history.
    pub max_history: elderworks_types::Tokens,
    /// Longest life.
    pub max_duration: std::time::Duration,
    /// Urgency; larger goes first.
    pub priority: i32,
    /// Whether the run draws on its tenant's budget beside its own.
    pub tenant_budget: bool,
}

/// Prices and limits of one call, from its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTerms {
    /// Price of one prompt token; 0 for a tool.
    pub per_prompt_token: Credits,
    /// Price of one generated token; 0 for a tool.
    pub per_output_token: Credits,
    /// Price of one invocation; 0 for a model.
    pub per_invocation: Credits,
    /// Longest time for one attempt.
    pub timeout: std::time::Duration,
}
