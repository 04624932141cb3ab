//! Messages between a sidecar and the node that owns a run.

use elderworks_types::{
    Attempt, CallId, CallNumber, CallSpec, Credits, EngineId, Message, NodeId, Outcome,
    PartitionId, Refusal, RunId, RunPhase, RunSpec, TenantId, Timestamp,
};
use serde::{Deserialize, Serialize};

/// From sidecar to node. Every request may be repeated: nodes recognise repeats by their ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarMessage {
    /// Asks which node owns a partition, and how many partitions there are.
    Locate {
        /// The partition.
        partition: PartitionId,
    },
    /// Starts a run.
    StartRun {
        /// What to start.
        spec: RunSpec,
    },
    /// Makes a call, or asks again for the answer of one made before.
    SubmitCall {
        /// On whose behalf; a run of another tenant is reported as not found.
        tenant: TenantId,
        /// The run.
        run: RunId,
        /// The call.
        spec: CallSpec,
        /// What of the answer was already delivered to the caller.
        delivered: Delivered,
        /// How many calls directly before this one the sidecar has given up: it told their callers
        /// that it cannot know what became of them, and will not ask for them again. Those that
        /// are not in the journal are passed over.
        abandoned_before: u32,
        /// Tells copies of one submission from other submissions of the same call.
        submission: SubmissionTag,
    },
    /// The whole answer has reached the caller; its chunks may be forgotten.
    Acknowledge {
        /// The call.
        call: CallId,
    },
    /// Reads a run: its phase, budget and history.
    ReadRun {
        /// Matches the reply.
        query: u64,
        /// On whose behalf.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
    /// Ends a run.
    EndRun {
        /// On whose behalf.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
}

/// Names one submission of a call by one sidecar; all copies of it carry the same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SubmissionId {
    /// The sidecar's name on connections.
    pub sidecar: u64,
    /// Counts the sidecar's submissions, from 1.
    pub number: u64,
}

/// What a copy of a submission says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionTag {
    /// Which submission.
    pub id: SubmissionId,
    /// Whether another copy may have been taken: a refusal is then worth something only if it
    /// binds every owner.
    pub resubmitted: bool,
}

impl SubmissionTag {
    /// The submission, if a refusal of it must bind every owner.
    pub fn id_if_resubmitted(self) -> Option<SubmissionId> {
        self.resubmitted.then_some(self.id)
    }
}

/// How far an answer has reached its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delivered {
    /// The attempt whose chunks were delivered; `None` before the first chunk.
    pub attempt: Option<Attempt>,
    /// How many of its chunks.
    pub chunks: u32,
    /// Their text, so that another owner can continue the answer where it broke off.
    pub text: String,
}

/// From node to sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Answers [`SidecarMessage::Locate`].
    Located {
        /// The partition.
        partition: PartitionId,
        /// Its owner as this node believes, with the address to reach it.
        owner: Option<NodeAddress>,
        /// Partitions in all.
        partition_count: u32,
    },
    /// The node does not own the run's partition; ask the named one, or locate again.
    NotOwner {
        /// The run asked about.
        run: RunId,
        /// Matches a [`SidecarMessage::SubmitCall`], if that was the request.
        number: Option<CallNumber>,
        /// A better address, if one is known.
        owner: Option<NodeAddress>,
    },
    /// The node no longer owns the partition of a call that it had taken: locate again and ask the
    /// new owner. The call may be in the journal already, so a refusal by a node that has not read
    /// it there does not show that it was not run.
    CallMoved {
        /// The call.
        call: CallId,
    },
    /// The run is started (or was, by an earlier request).
    RunStarted {
        /// The run.
        run: RunId,
    },
    /// The run was not started.
    RunRefused {
        /// The run.
        run: RunId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// A piece of an answer.
    Chunk(Chunk),
    /// The end of a call.
    CallEnded {
        /// The call.
        call: CallId,
        /// The attempt that the outcome is of, if one was made.
        attempt: Option<Attempt>,
        /// How many chunks that attempt had.
        chunks: u32,
        /// Hash of the whole text ([`answer_digest`]).
        digest: u64,
        /// The outcome; a completed one repeats the whole answer.
        outcome: Outcome,
        /// For a refusal: the submission that no owner will run, as the journal shows; `None` if
        /// the refusal speaks only for the node that sends it.
        barred: Option<SubmissionId>,
    },
    /// Answers [`SidecarMessage::ReadRun`].
    RunView {
        /// Matches the question.
        query: u64,
        /// The run, or `None` if it does not exist for that tenant.
        view: Option<Box<RunView>>,
    },
    /// The run has ended (or had, by an earlier request).
    RunEnded {
        /// The run.
        run: RunId,
        /// How.
        phase: RunPhase,
    },
    /// The node is leaving: new calls should go elsewhere; open ones will be finished or moved.
    Draining,
}

/// A numbered piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The call.
    pub call: CallId,
    /// The attempt; chunks of different attempts are never joined.
    pub attempt: Attempt,
    /// Its position within the attempt, from 0.
    pub index: u32,
    /// The text.
    pub text: String,
}

/// Where a node takes connections from sidecars and peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeAddress {
    /// Which node.
    pub node: NodeId,
    /// `IP:port` of its internal listener.
    pub address: std::net::SocketAddr,
}

/// A run as its caller may read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunView {
    /// What the caller fixed.
    pub spec: RunSpec,
    /// Where it stands.
    pub phase: RunPhase,
    /// Spent so far.
    pub spent: Credits,
    /// Reserved by open calls and by sub-agents.
    pub reserved: Credits,
    /// Every message in order.
    pub history: Vec<Message>,
    /// Every call in order, with what became of it and why.
    pub calls: Vec<CallView>,
}

/// One call as `explain` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallView {
    /// The call as made.
    pub spec: CallSpec,
    /// Its outcome, once it has one.
    pub outcome: Option<Outcome>,
    /// Each attempt in order.
    pub attempts: Vec<AttemptView>,
    /// When the owner received it.
    pub received: Timestamp,
    /// When it ended.
    pub ended: Option<Timestamp>,
    /// What it waited for and what was decided, one line each.
    pub notes: Vec<String>,
}

/// One attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptView {
    /// Which.
    pub attempt: Attempt,
    /// Where, for a model call.
    pub engine: Option<EngineId>,
    /// When it was sent.
    pub started: Timestamp,
    /// When its first chunk came back.
    pub first_chunk: Option<Timestamp>,
}

/// Hash by which a sidecar checks that it holds the whole of an answer.
pub fn answer_digest(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
