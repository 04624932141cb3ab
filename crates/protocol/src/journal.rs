//! Bodies of the records in a partition's journal.

use elderworks_types::{
    Attempt, CallId, CallSpec, Credits, EngineId, NodeId, Outcome, Refusal, RunId, RunPhase,
    RunSpec, Sequence, TenantId, Timestamp,
};
use serde::{Deserialize, Serialize};

use crate::sidecar::SubmissionId;

/// A state transition of a partition. Replaying the records in offset order rebuilds its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalBody {
    /// Claims ownership of the partition at the record's epoch, which must be the current epoch plus
    /// one.
    Claim {
        /// The claiming node.
        owner: NodeId,
    },
    /// Releases ownership voluntarily, so that another node can claim the partition without waiting for
    /// failure detection.
    Release {
        /// Open calls whose current attempt was not sent to a back end, so that the next owner doesn't
        /// charge for it.
        unsent: Vec<CallId>,
    },
    /// Has no effect. Reading it back proves to its writer that it still owned the partition when the
    /// record was appended.
    Barrier,
    /// Starts a run.
    RunStarted {
        /// The run as specified by its caller.
        spec: RunSpec,
        /// The program's limits at that time, copied so that replay needs no other stream.
        limits: RunLimits,
        /// Start time by the owner's clock, from which the run's maximum duration is measured.
        started: Timestamp,
    },
    /// Accepts a call: fixes its position in the run and reserves its maximum cost.
    CallAccepted {
        /// The run.
        run: RunId,
        /// The call as submitted.
        spec: CallSpec,
        /// Credits reserved from the run's budget for the first attempt.
        reserved: Credits,
        /// Prices and limits at that time, so that another owner can continue the call.
        terms: CallTerms,
    },
    /// Settles a lost attempt and reserves the maximum cost of the next one, which is dispatched only
    /// after this record has been read back as accepted.
    AttemptReserved {
        /// The call.
        call: CallId,
        /// The next attempt.
        attempt: Attempt,
        /// Cost of the previous attempts; their maximum cost where the actual cost is unknown.
        spent: Credits,
        /// Credits reserved for the next attempt.
        reserved: Credits,
        /// Text delivered by earlier attempts, which the next attempt continues.
        continue_text: String,
        /// Number of chunks of that text.
        continue_chunks: u32,
    },
    /// Records that an attempt is sent to a back end. A call that is not repeatable is sent only after
    /// this record has been read back as accepted.
    AttemptStarted {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The engine, for a model call.
        engine: Option<EngineId>,
    },
    /// Ends a call and settles its reservation.
    CallEnded {
        /// The call.
        call: CallId,
        /// The call's outcome. After a refusal, the call's number may be reused.
        outcome: Outcome,
        /// Number of chunks of the answer.
        chunks: u32,
    },
    /// Bars a submission of a call: no owner accepts a copy of it from here on. Other submissions of the
    /// same call may still be accepted.
    SubmissionRefused {
        /// The call, which the journal has not accepted.
        call: CallId,
        /// The barred submission.
        submission: SubmissionId,
        /// The refusal, sent to the caller after this record has been read back as accepted.
        refusal: Refusal,
    },
    /// Ends a run, after which engines must release the memory held for it.
    RunEnded {
        /// The run.
        run: RunId,
        /// The run's final phase.
        phase: RunPhase,
        /// End time by the owner's clock, from which the retention of the ended run is measured.
        at: Timestamp,
    },
    /// Drops ended runs whose retention has expired.
    RunsForgotten {
        /// The runs, all of which have ended and whose engine memory has been released.
        runs: Vec<RunId>,
    },
    /// Records that every engine with memory for an ended run has acknowledged its release.
    MemoryReleased {
        /// The run.
        run: RunId,
    },
    /// Allots part of a tenant's budget to another partition. Written by the owner of the budget.
    AllotmentGranted {
        /// The tenant.
        tenant: TenantId,
        /// The partition that receives the allotment.
        partition: elderworks_types::PartitionId,
        /// Number of the partition's request, by which a repeated request is detected and granted only
        /// once.
        request: Sequence,
        /// Amount of the allotment.
        amount: Credits,
    },
    /// Credits a granted allotment to the receiving partition.
    AllotmentReceived {
        /// The tenant.
        tenant: TenantId,
        /// Number of the request.
        request: Sequence,
        /// Amount of the allotment.
        amount: Credits,
    },
    /// One part of a snapshot of the partition's state after all earlier records.
    Snapshot {
        /// Index of the part, from 0.
        part: u32,
        /// Total number of parts.
        parts: u32,
        /// Encoded state of this part.
        bytes: Vec<u8>,
    },
    /// Confirms that the writer of a snapshot has read it back as accepted. A reader that starts in the
    /// middle of the stream uses confirmed snapshots only, since it cannot detect otherwise that a
    /// snapshot is void because its writer had already lost ownership.
    SnapshotConfirmed {
        /// Offset of the snapshot's first part.
        first: elderworks_types::Offset,
    },
}

/// Limits of one run, copied from its `Program` when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLimits {
    /// Maximum number of calls.
    pub max_turns: u32,
    /// Maximum length of the history, in tokens.
    pub max_history: elderworks_types::Tokens,
    /// Maximum duration of the run.
    pub max_duration: std::time::Duration,
    /// Priority; larger values are served first.
    pub priority: i32,
    /// Whether the run is also charged to its tenant's budget, in addition to its own.
    pub tenant_budget: bool,
}

/// Prices and limits of one call, copied from its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTerms {
    /// Price of one prompt token; 0 for a tool.
    pub per_prompt_token: Credits,
    /// Price of one generated token; 0 for a tool.
    pub per_output_token: Credits,
    /// Price of one invocation; 0 for a model.
    pub per_invocation: Credits,
    /// Timeout of one attempt.
    pub timeout: std::time::Duration,
}
