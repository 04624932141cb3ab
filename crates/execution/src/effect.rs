//! What a partition asks of its node.

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{
    Attempt, CallId, Credits, EngineId, Epoch, Message, ModelName, PartitionId, ResourceName,
    RunId, Sequence, TenantId, Timestamp, Tokens, ToolName,
};

use crate::event::Connection;

/// An output of [`crate::Partition::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a record at `epoch`; its read-back returns as [`crate::Event::RecordRead`].
    Append {
        /// Epoch to stamp.
        epoch: Epoch,
        /// The body.
        body: JournalBody,
    },
    /// Send to a sidecar.
    Send {
        /// On this connection.
        connection: Connection,
        /// The message.
        message: NodeMessage,
    },
    /// Hand an attempt to placement (model) or straight to its tool.
    Dispatch {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// What to run.
        request: BackendRequest,
        /// What placement may weigh.
        hints: DispatchHints,
    },
    /// Try to take up an attempt that an earlier owner started, from a chunk on. Answered like a
    /// dispatch; [`crate::event::AttemptFailure::NotSent`] says the engine does not know it.
    Resume {
        /// The call.
        call: CallId,
        /// The attempt, as the engine knows it.
        attempt: Attempt,
        /// Where it ran.
        engine: EngineId,
        /// First chunk wanted.
        from_chunk: u32,
    },
    /// Ask a tool what became of an invocation, by its idempotency key. Answered by
    /// [`crate::Event::AttemptCompleted`] or [`crate::Event::AttemptFailed`].
    QueryTool {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The tool.
        tool: ToolName,
        /// The key it was sent under.
        idempotency_key: String,
    },
    /// Stop an attempt; its end is no longer of interest.
    Cancel {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The run paused between calls: placement decides what of its memory to keep.
    RunPaused {
        /// The run.
        run: RunId,
        /// When the next call is expected, if the caller said so.
        expected_reuse: Option<std::time::Duration>,
    },
    /// The run has ended: free what this engine holds for it. Repeated until acknowledged.
    ReleaseMemory {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
    },
    /// Ask the partition that holds a tenant's budget for an allotment.
    RequestAllotment {
        /// Whose budget.
        tenant: TenantId,
        /// Number of the request.
        request: Sequence,
        /// How much.
        amount: Credits,
    },
    /// Answer another partition's request.
    GrantAllotment {
        /// Whose budget.
        tenant: TenantId,
        /// To this partition.
        partition: PartitionId,
        /// Number of the request.
        request: Sequence,
        /// How much.
        amount: Credits,
    },
    /// Ownership changed: this node now owns the partition at `epoch`, or no longer does.
    OwnershipChanged {
        /// The epoch owned, or `None`.
        owned: Option<Epoch>,
    },
}

/// What a back end is asked to run.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendRequest {
    /// Generate text.
    Model {
        /// The model.
        model: ModelName,
        /// The whole prompt.
        messages: Vec<Message>,
        /// Text of the answer already delivered by a lost attempt, to be continued; usually empty.
        /// Chunks of this attempt are numbered on from `continue_chunks`.
        continue_text: String,
        /// Chunks of the answer already delivered.
        continue_chunks: u32,
        /// Most tokens of the whole answer, the continued text included.
        max_output: Tokens,
    },
    /// Invoke a tool.
    Tool {
        /// The tool.
        tool: ToolName,
        /// Arguments as JSON text.
        arguments: String,
        /// Key under which the tool recognises a repeat.
        idempotency_key: String,
    },
}

/// What placement may weigh beside the request itself.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchHints {
    /// Whose run.
    pub tenant: TenantId,
    /// Its program.
    pub program: ResourceName,
    /// When the run started.
    pub run_started: Timestamp,
    /// Engine time that the run has had so far, in tokens prefilled and generated.
    pub attained: Tokens,
    /// Calls made so far.
    pub turns: u32,
    /// When the run should be done.
    pub run_deadline: Option<Timestamp>,
    /// When this answer stops being useful.
    pub call_deadline: Option<Timestamp>,
    /// Larger is more urgent.
    pub priority: i32,
    /// The parent, if the run is a sub-agent.
    pub parent: Option<RunId>,
    /// Longest time for this attempt.
    pub timeout: std::time::Duration,
}
