//! Outputs of a partition, to be carried out by its node.

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
    /// Append a record to the partition's stream. It comes back as [`crate::Event::RecordRead`].
    Append {
        /// Epoch of the record.
        epoch: Epoch,
        /// Content of the record.
        body: JournalBody,
    },
    /// Send a message to a sidecar.
    Send {
        /// Connection on which to send the message.
        connection: Connection,
        /// Message to send.
        message: NodeMessage,
    },
    /// Pass an attempt to placement (model calls) or send it to its tool.
    Dispatch {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Number of the attempt.
        attempt: Attempt,
        /// The request to run.
        request: BackendRequest,
        /// Information for placement.
        hints: DispatchHints,
    },
    /// Resume the stream of an attempt that a previous owner started. Reported like a dispatched
    /// attempt; [`crate::event::AttemptFailure::NotSent`] means that the engine does not know it.
    Resume {
        /// Call to which the attempt belongs.
        call: CallId,
        /// The attempt number under which the engine received it.
        attempt: Attempt,
        /// The engine that was given the attempt.
        engine: EngineId,
        /// Index of the first chunk to stream.
        from_chunk: u32,
    },
    /// Query a tool for the result of an invocation by its idempotency key. Reported by
    /// [`crate::Event::AttemptCompleted`] or [`crate::Event::AttemptFailed`].
    QueryTool {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Name of the tool.
        tool: ToolName,
        /// Key with which the invocation was sent.
        idempotency_key: String,
    },
    /// Cancel an attempt, whose result is no longer needed.
    Cancel {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// The run has no open call. Placement decides how much of its engine memory to keep.
    RunPaused {
        /// Id of the run.
        run: RunId,
        /// Expected time until the next call, if given by the caller.
        expected_reuse: Option<std::time::Duration>,
    },
    /// Free the memory that an engine holds for an ended run. Repeated until acknowledged.
    ReleaseMemory {
        /// Id of the run.
        run: RunId,
        /// Engine that holds the memory.
        engine: EngineId,
    },
    /// Request an allotment from the partition that holds a tenant's budget.
    RequestAllotment {
        /// Tenant whose budget is meant.
        tenant: TenantId,
        /// Number of the request, ascending per tenant and requesting partition.
        request: Sequence,
        /// Requested credits.
        amount: Credits,
    },
    /// Respond to another partition's request for an allotment.
    GrantAllotment {
        /// Tenant whose budget is meant.
        tenant: TenantId,
        /// The requesting partition.
        partition: PartitionId,
        /// Number of the request, ascending per tenant and requesting partition.
        request: Sequence,
        /// Granted credits; zero if none can be granted.
        amount: Credits,
    },
    /// This node has become the owner of the partition, or has ceased to be it.
    OwnershipChanged {
        /// Epoch of the ownership, or `None`.
        owned: Option<Epoch>,
    },
}

/// A request to a back end.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendRequest {
    /// Generate text.
    Model {
        /// Name of the model.
        model: ModelName,
        /// Complete prompt: the history of the run and the call's own messages.
        messages: Vec<Message>,
        /// Text delivered by an earlier lost attempt, which this attempt continues; usually empty.
        /// The chunks of this attempt are numbered from `continue_chunks`.
        continue_text: String,
        /// Number of chunks already delivered.
        continue_chunks: u32,
        /// Maximum number of tokens of the answer, including the continued text.
        max_output: Tokens,
    },
    /// Invoke a tool.
    Tool {
        /// Name of the tool.
        tool: ToolName,
        /// Arguments as JSON text.
        arguments: String,
        /// Key by which the tool detects repeated invocations.
        idempotency_key: String,
    },
}

/// Information for placement in addition to the request.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchHints {
    /// Tenant of the run.
    pub tenant: TenantId,
    /// Program of the run.
    pub program: ResourceName,
    /// Start of the run.
    pub run_started: Timestamp,
    /// Engine time used by the run so far, in tokens prefilled and generated.
    pub attained: Tokens,
    /// Number of calls of the run so far.
    pub turns: u32,
    /// Time by which the run should be done.
    pub run_deadline: Option<Timestamp>,
    /// Time after which the answer is useless.
    pub call_deadline: Option<Timestamp>,
    /// Priority; higher values are more urgent.
    pub priority: i32,
    /// Parent run, if the run is a sub-agent.
    pub parent: Option<RunId>,
    /// Timeout of this attempt.
    pub timeout: std::time::Duration,
}
