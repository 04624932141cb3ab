//! The outputs of a node, executed by its driver.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_control::watch::WatchError;
use elderworks_control::{Change, ControlError};
use elderworks_execution::RunSummary;
use elderworks_membership::Member;
use elderworks_placement::Ticket;
use elderworks_protocol::gossip::Datagram;
use elderworks_protocol::peer::{FromNode, PeerMessage};
use elderworks_protocol::record::StreamName;
use elderworks_protocol::sidecar::{NodeAddress, RunView};
use elderworks_types::resource::Resource;
use elderworks_types::{EngineId, Message, ModelName, Offset, RunId, Tokens, ToolName, ZoneId};

use crate::event::{AppendToken, Connection, RequestId};
use crate::pace::EnginePace;

/// An output of [`crate::NodeCore::handle`].
#[derive(Clone, Debug)]
pub enum Effect {
    /// Append a batch to a stream; answered by [`crate::Event::LogAppended`].
    Append {
        /// The stream.
        stream: StreamName,
        /// Identifies the append in its result.
        token: AppendToken,
        /// One encoded batch.
        bytes: Vec<u8>,
    },
    /// Read a stream; answered by [`crate::Event::LogRead`]. At most one read per stream is open.
    Read {
        /// The stream.
        stream: StreamName,
        /// First offset to read.
        from: Offset,
        /// Maximum time to wait for new records at the end of the stream.
        wait: Duration,
    },
    /// Send a datagram.
    SendDatagram {
        /// Destination address.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Send a message on a connection that the remote side opened.
    Send {
        /// The connection.
        connection: Connection,
        /// The message.
        message: FromNode,
    },
    /// Send a message to a peer, connecting first if necessary. The message may be lost.
    SendPeer {
        /// The peer.
        peer: NodeAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Start to poll an engine's state, load, cache events and held runs, at the idle pace until a
    /// [`Effect::PaceEngine`] and until a [`Effect::ForgetEngine`].
    WatchEngine {
        /// The engine.
        engine: EngineId,
        /// Base URL.
        url: String,
    },
    /// Change the pace at which a watched engine is polled.
    PaceEngine {
        /// The engine.
        engine: EngineId,
        /// The new pace.
        pace: EnginePace,
    },
    /// Stop polling an engine.
    ForgetEngine {
        /// The engine.
        engine: EngineId,
    },
    /// Send an attempt to an engine.
    Generate(Box<Generate>),
    /// Resume reading an attempt that an engine may still run or store.
    ResumeStream {
        /// The attempt.
        ticket: Ticket,
        /// The engine.
        engine: EngineId,
        /// Base URL of the engine.
        url: String,
        /// Index of the first chunk to read.
        from_chunk: u32,
    },
    /// Cancel an attempt at its back end.
    CancelAttempt {
        /// The attempt.
        ticket: Ticket,
    },
    /// Stop reading an attempt without cancelling it; the next owner of the partition resumes it.
    DetachAttempt {
        /// The attempt.
        ticket: Ticket,
    },
    /// Invoke a tool.
    InvokeTool {
        /// The attempt.
        ticket: Ticket,
        /// The tool.
        tool: ToolName,
        /// Base URL of the tool.
        url: String,
        /// Arguments as JSON text.
        arguments: String,
        /// Key by which the tool recognises a repeated invocation.
        idempotency_key: String,
        /// Maximum time to wait for the result.
        timeout: Duration,
    },
    /// Ask a tool for the result of an earlier invocation.
    QueryTool {
        /// The attempt.
        ticket: Ticket,
        /// The tool.
        tool: ToolName,
        /// Base URL of the tool.
        url: String,
        /// Idempotency key of the invocation.
        idempotency_key: String,
    },
    /// Release the memory that an engine holds for a run.
    ReleaseMemory {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
        /// Base URL of the engine.
        url: String,
    },
    /// Keep a run's blocks on an engine under a lease.
    RetainMemory {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
        /// Base URL of the engine.
        url: String,
        /// Maximum time to keep the blocks.
        lease: Duration,
    },
    /// Copy a run's blocks between engines.
    TransferMemory {
        /// The run.
        run: RunId,
        /// Base URL of the exporting engine.
        from_url: String,
        /// Base URL of the importing engine.
        to_url: String,
    },
    /// Answer an operator.
    OperatorReply {
        /// The request that is answered.
        request: RequestId,
        /// The answer.
        reply: OperatorReply,
    },
    /// Send a change to an operator's watch.
    WatchEvent {
        /// Id of the request that opened the watch.
        watch: RequestId,
        /// The change.
        change: Change,
    },
    /// Report that the node is ready to serve (`true`) or not (`false`).
    Ready(bool),
    /// Report that the drain is complete and the process may exit.
    Drained,
}

/// A model attempt to send to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Generate {
    /// The attempt; also the request id by which the engine resumes or cancels it.
    pub ticket: Ticket,
    /// The engine.
    pub engine: EngineId,
    /// Base URL of the engine.
    pub url: String,
    /// The requested model.
    pub model: ModelName,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Beginning of the answer, to be continued by the engine; usually empty.
    pub continue_text: String,
    /// Index of the first chunk of this attempt.
    pub first_chunk: u32,
    /// Maximum number of tokens to generate.
    pub max_output: Tokens,
    /// Priority in the engine's queue; smaller values are served first.
    pub engine_priority: i64,
    /// Maximum duration of the attempt.
    pub timeout: Duration,
}

/// A reply to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// Result of a requested change.
    Changed(Result<Change, ControlError>),
    /// The requested resource, if it exists.
    Resource(Option<Resource>),
    /// All resources of a kind, as of a revision.
    Resources {
        /// The resources, ordered by name.
        items: Vec<Resource>,
        /// Revision of the list, from which a watch misses no change.
        revision: Offset,
    },
    /// Result of opening a watch.
    Watching(Result<(), WatchError>),
    /// Members of the fleet.
    Nodes(Vec<Member>),
    /// Engines and their states.
    Engines(Vec<EngineView>),
    /// Runs that this node owns, most recent first.
    Runs(Vec<RunSummary>),
    /// The requested run, if it exists.
    Run(Option<Box<RunView>>),
    /// The run belongs to another node, given if it is known.
    RunElsewhere(Option<NodeAddress>),
}

/// State of an engine as observed by this node.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub id: EngineId,
    /// Zone of the engine.
    pub zone: ZoneId,
    /// Base URL of the engine.
    pub url: String,
    /// Models that it serves.
    pub models: Vec<ModelName>,
    /// State of the engine.
    pub state: EngineState,
}

/// Availability of an engine for new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It takes new attempts.
    Serving,
    /// It takes no new attempts and finishes the open ones.
    Leaving,
    /// It does not answer and gets no new attempts.
    Silent,
}
