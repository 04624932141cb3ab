//! Messages between a sidecar and the node that owns a run.

use elderworks_types::{
    Attempt, CallId, CallNumber, CallSpec, Credits, EngineId, Message, NodeId, Outcome,
    PartitionId, Refusal, RunId, RunPhase, RunSpec, TenantId, Timestamp,
};
use serde::{Deserialize, Serialize};

/// A message from a sidecar to a node. Requests are idempotent: nodes detect repeated requests by their
/// ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarMessage {
    /// Requests the owner of a partition and the number of partitions.
    Locate {
        /// The partition.
        partition: PartitionId,
    },
    /// Starts a run.
    StartRun {
        /// The run.
        spec: RunSpec,
    },
    /// Submits a call, or requests the answer of a call submitted earlier.
    SubmitCall {
        /// The calling tenant; a run of another tenant is reported as not found.
        tenant: TenantId,
        /// The run.
        run: RunId,
        /// The call.
        spec: CallSpec,
        /// The part of the answer that was already delivered to the caller.
        delivered: Delivered,
        /// Number of calls directly before this one that the sidecar has abandoned: it has reported an
        /// unknown outcome to their callers and doesn't resubmit them. The node skips those that are
        /// not in the journal.
        abandoned_before: u32,
        /// Identifies the submission, to distinguish its copies from other submissions of the same
        /// call.
        submission: SubmissionTag,
    },
    /// Confirms that the whole answer was delivered to the caller, so that the node may drop its chunks.
    Acknowledge {
        /// The call.
        call: CallId,
    },
    /// Requests the state of a run: its phase, budget, history and calls.
    ReadRun {
        /// Correlation id, repeated in the reply.
        query: u64,
        /// The calling tenant.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
    /// Ends a run.
    EndRun {
        /// The calling tenant.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
}

/// Identifies one submission of a call by one sidecar. All copies of the submission carry the same id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SubmissionId {
    /// The sidecar's id from [`Hello::Sidecar`](crate::peer::Hello::Sidecar).
    pub sidecar: u64,
    /// Number of the submission among the sidecar's, from 1.
    pub number: u64,
}

/// Identifies a submission and whether it was sent more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionTag {
    /// The submission.
    pub id: SubmissionId,
    /// Whether a node may have accepted an earlier copy. A refusal is then final only if the journal bars
    /// the submission for every owner.
    pub resubmitted: bool,
}

impl SubmissionTag {
    /// Returns the submission's id if it was resubmitted, so that a refusal must bar it in the journal.
    pub fn id_if_resubmitted(self) -> Option<SubmissionId> {
        self.resubmitted.then_some(self.id)
    }
}

/// The part of an answer that was delivered to the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delivered {
    /// The attempt whose chunks were delivered; `None` before the first chunk.
    pub attempt: Option<Attempt>,
    /// Number of delivered chunks of that attempt.
    pub chunks: u32,
    /// Text of the delivered chunks, so that another owner can continue the answer.
    pub text: String,
}

/// A message from a node to a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Reply to [`SidecarMessage::Locate`].
    Located {
        /// The partition.
        partition: PartitionId,
        /// The partition's owner in this node's view, if known.
        owner: Option<NodeAddress>,
        /// Total number of partitions.
        partition_count: u32,
    },
    /// The node does not own the run's partition. The sidecar should retry at the given owner, or locate
    /// the partition again.
    NotOwner {
        /// The run of the request.
        run: RunId,
        /// The call's number, if the request was a [`SidecarMessage::SubmitCall`].
        number: Option<CallNumber>,
        /// The owner in this node's view, if known.
        owner: Option<NodeAddress>,
    },
    /// The node lost ownership of the partition of a call that it had received. The sidecar should locate
    /// the partition again and resubmit the call to the new owner. The call may already be in the
    /// journal, so a refusal by a node that has not read it there doesn't prove that it was not run.
    CallMoved {
        /// The call.
        call: CallId,
    },
    /// The run has started, by this or an earlier request.
    RunStarted {
        /// The run.
        run: RunId,
    },
    /// The run was refused and has not started.
    RunRefused {
        /// The run.
        run: RunId,
        /// The reason, and when to retry.
        refusal: Refusal,
    },
    /// A chunk of an answer.
    Chunk(Chunk),
    /// The outcome of a call.
    CallEnded {
        /// The call.
        call: CallId,
        /// The attempt that produced the outcome, if one was made.
        attempt: Option<Attempt>,
        /// Number of chunks of that attempt.
        chunks: u32,
        /// Hash of the whole text, see [`answer_digest`].
        digest: u64,
        /// The outcome. [`Outcome::Completed`] contains the whole answer.
        outcome: Outcome,
        /// For a refusal, the submission that is barred in the journal, so that no owner will run it;
        /// `None` if the refusal is valid for the sending node only.
        barred: Option<SubmissionId>,
    },
    /// Reply to [`SidecarMessage::ReadRun`].
    RunView {
        /// Correlation id of the request.
        query: u64,
        /// The run, or `None` if the tenant has no such run.
        view: Option<Box<RunView>>,
    },
    /// The run has ended, by this or an earlier request.
    RunEnded {
        /// The run.
        run: RunId,
        /// The run's final phase.
        phase: RunPhase,
    },
    /// The node is draining: new calls should be sent to other nodes; open calls are completed or moved.
    Draining,
}

/// A numbered chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The call.
    pub call: CallId,
    /// The attempt. Chunks of different attempts are never combined.
    pub attempt: Attempt,
    /// Index of the chunk within the attempt, from 0.
    pub index: u32,
    /// The text.
    pub text: String,
}

/// Address on which a node accepts connections from sidecars and peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeAddress {
    /// The node.
    pub node: NodeId,
    /// Address of its internal listener.
    pub address: std::net::SocketAddr,
}

/// The state of a run, as shown to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunView {
    /// The run as specified by its caller.
    pub spec: RunSpec,
    /// The run's phase.
    pub phase: RunPhase,
    /// Credits spent so far.
    pub spent: Credits,
    /// Credits reserved by open calls and sub-agents.
    pub reserved: Credits,
    /// All messages in order.
    pub history: Vec<Message>,
    /// All calls in order, with their outcomes and attempts.
    pub calls: Vec<CallView>,
}

/// The state of a call, as shown by `explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallView {
    /// The call as submitted.
    pub spec: CallSpec,
    /// The outcome, once the call has completed.
    pub outcome: Option<Outcome>,
    /// All attempts in order.
    pub attempts: Vec<AttemptView>,
    /// Time at which the owner received the call.
    pub received: Timestamp,
    /// Time at which the call completed.
    pub ended: Option<Timestamp>,
    /// Log of what the call waited for and of the decisions made, one line each.
    pub notes: Vec<String>,
}

/// The state of one attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptView {
    /// The attempt.
    pub attempt: Attempt,
    /// The engine, for a model call.
    pub engine: Option<EngineId>,
    /// Time at which the attempt was sent.
    pub started: Timestamp,
    /// Time at which the first chunk was received.
    pub first_chunk: Option<Timestamp>,
}

/// Returns the hash of an answer's text, by which a sidecar verifies that it has received all of it.
pub fn answer_digest(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
