//! What a partition is told.

pub use elderworks_protocol::journal::CallTerms;
use elderworks_protocol::journal::{JournalBody, RunLimits};
use elderworks_protocol::record::Record;
use elderworks_protocol::sidecar::{Delivered, SubmissionTag};
use elderworks_types::{
    Attempt, CallId, CallSpec, Credits, EngineId, FailureReason, Offset, PartitionId, Refusal,
    RunId, RunSpec, Sequence, TenantId, Usage,
};

/// Names a connection of a sidecar to this node; replies go to it.
pub type Connection = u64;

/// A call as a caller submits it.
#[derive(Clone, Debug)]
pub struct SubmittedCall {
    /// Where to reply.
    pub connection: Connection,
    /// On whose behalf.
    pub tenant: TenantId,
    /// The run.
    pub run: RunId,
    /// The call.
    pub spec: CallSpec,
    /// What the caller already has of the answer.
    pub delivered: Delivered,
    /// How many calls directly before it will not be made (any more); those that are not in
    /// the journal are passed over.
    pub abandoned_before: u32,
    /// Which submission of the call this is a copy of.
    pub submission: SubmissionTag,
    /// What the call can cost and how its service behaves; the refusal where no service
    /// offers what it asks for.
    pub terms: Result<CallTerms, Refusal>,
}

/// An input of [`crate::Partition::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The next record of the partition's stream, in offset order, including void and repeated
    /// ones: the partition judges.
    RecordRead {
        /// Its offset (several records of one batch share it).
        offset: Offset,
        /// The record.
        record: Record<JournalBody>,
    },
    /// This node should own the partition. `forced` means that the present owner is believed dead
    /// (or has overstayed a hand-over); otherwise the claim waits for its release.
    Claim {
        /// Claim without waiting for a release.
        forced: bool,
    },
    /// This node should hand the partition over in order.
    Release,
    /// The log has not answered for some time (`false`), or answers again (`true`).
    LogReachable(bool),
    /// A caller starts a run. `limits` is `None` where the program does not exist.
    StartRun {
        /// Where to reply.
        connection: Connection,
        /// What to start.
        spec: RunSpec,
        /// The program's limits as of now.
        limits: Option<RunLimits>,
    },
    /// A caller makes a call, or asks again for its answer.
    SubmitCall(SubmittedCall),
    /// The caller has the whole answer.
    Acknowledge {
        /// Of this call.
        call: CallId,
    },
    /// A caller reads a run.
    ReadRun {
        /// Where to reply.
        connection: Connection,
        /// Matches the reply.
        query: u64,
        /// On whose behalf.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
    /// A caller ends a run.
    EndRun {
        /// Where to reply.
        connection: Connection,
        /// On whose behalf.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
    /// A sidecar's connection is gone; nothing more can be sent on it.
    ConnectionClosed {
        /// Which.
        connection: Connection,
    },
    /// Placement has chosen an engine for an attempt and is about to send it.
    AttemptPlaced {
        /// The call.
        call: CallId,
        /// The attempt, as named in [`crate::Effect::Dispatch`].
        attempt: Attempt,
        /// The engine, for a model call.
        engine: Option<EngineId>,
        /// Why there, and how long it waited, for `explain`.
        note: String,
    },
    /// Placement gave the attempt up before any back end saw it.
    AttemptRefused {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// A piece of the answer.
    AttemptChunk {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// Position, from 0.
        index: u32,
        /// The text.
        text: String,
    },
    /// The attempt ran to its end.
    AttemptCompleted {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// All that this attempt generated, from its own first chunk on. The text that a dispatch
        /// asked to continue is no part of it.
        content: String,
        /// What was consumed.
        usage: Usage,
    },
    /// The attempt ended without an answer.
    AttemptFailed {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// Why.
        failure: AttemptFailure,
    },
    /// An engine acknowledged that it holds nothing more for an ended run.
    MemoryReleased {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
    },
    /// An engine is gone for good, with all that it held.
    EngineGone {
        /// Which.
        engine: EngineId,
    },
    /// Another partition wants part of a tenant's budget that this one holds.
    AllotmentRequested {
        /// Whose budget.
        tenant: TenantId,
        /// For this partition.
        partition: PartitionId,
        /// Number of the request.
        request: Sequence,
        /// How much is wanted.
        amount: Credits,
    },
    /// Answer to this partition's own request.
    AllotmentGranted {
        /// Whose budget.
        tenant: TenantId,
        /// Number of the request.
        request: Sequence,
        /// How much was granted.
        amount: Credits,
    },
    /// The operators' limit of a tenant's budget, on its holder; `None` once deleted.
    TenantLimit {
        /// Whose budget.
        tenant: TenantId,
        /// The limit in force.
        limit: Option<Credits>,
    },
    /// Enough records followed the last snapshot: append another.
    TakeSnapshot,
    /// Time passed; sent at least every 100 ms while anything is open.
    Tick,
}

/// How an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The request surely never reached the back end (for example, connection refused).
    NotSent,
    /// The back end surely did not run it and said so (for example, queue full).
    Rejected {
        /// When it may take it.
        retry_after: Option<std::time::Duration>,
    },
    /// The connection broke, or time ran out, after the request may have been seen.
    Lost {
        /// What happened.
        reason: FailureReason,
        /// What the attempt had consumed as far as known.
        usage: Usage,
    },
    /// The back end ran it and answered with an error.
    Errored {
        /// What it said.
        detail: String,
        /// What was consumed.
        usage: Usage,
    },
}
