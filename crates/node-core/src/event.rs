//! The inputs of a node.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_control::ControlBody;
use elderworks_execution::event::AttemptFailure;
pub use elderworks_logstream::{NoAnswer, ReadRecords};
use elderworks_placement::Ticket;
use elderworks_placement::event::{CacheChange, LoadReport};
use elderworks_protocol::gossip::Datagram;
use elderworks_protocol::peer::{PeerMessage, ToNode};
use elderworks_protocol::record::StreamName;
use elderworks_types::resource::Kind;
use elderworks_types::{EngineId, NodeId, Offset, ResourceName, RunId, Usage};

/// Identifies an accepted connection until it is closed.
pub type Connection = u64;

/// Identifies an append in its result.
pub type AppendToken = u64;

/// Identifies an operator's request in its replies.
pub type RequestId = u64;

/// An input of [`crate::NodeCore::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// An append ended.
    LogAppended {
        /// Identifies the append.
        token: AppendToken,
        /// Offset of the batch, or no answer.
        result: Result<Offset, NoAnswer>,
    },
    /// A read ended.
    LogRead {
        /// The stream.
        stream: StreamName,
        /// The requested offset.
        from: Offset,
        /// The records, or no answer.
        result: Result<ReadRecords, NoAnswer>,
    },
    /// A datagram was received.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// The platform's machine list was fetched.
    MachineList {
        /// Machines listed as live.
        live: Vec<NodeId>,
        /// Machines listed as leaving.
        leaving: Vec<NodeId>,
        /// Engines listed as leaving.
        leaving_engines: Vec<EngineId>,
    },
    /// A message was received on a connection that a sidecar or peer opened.
    Received {
        /// The connection.
        connection: Connection,
        /// The message.
        message: ToNode,
    },
    /// A message was received from a peer on a connection that this node opened.
    PeerReply {
        /// The peer.
        node: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection was closed.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// A chunk of an answer arrived.
    AttemptChunk {
        /// The attempt.
        ticket: Ticket,
        /// Index of the chunk, from 0.
        index: u32,
        /// Text of the chunk.
        text: String,
    },
    /// An attempt completed with an answer.
    AttemptCompleted {
        /// The attempt.
        ticket: Ticket,
        /// The whole answer of this attempt.
        content: String,
        /// Tokens consumed.
        usage: Usage,
    },
    /// An attempt ended without an answer.
    AttemptFailed {
        /// The attempt.
        ticket: Ticket,
        /// The reason.
        failure: AttemptFailure,
    },
    /// An engine acknowledged the release of a run's memory.
    MemoryReleased {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
    },
    /// An engine listed the runs for which it holds memory.
    EngineHoldings {
        /// The engine.
        engine: EngineId,
        /// The runs.
        runs: Vec<RunId>,
    },
    /// An engine answered a poll.
    EngineAnswered {
        /// The engine.
        engine: EngineId,
    },
    /// An engine reported its load.
    EngineLoad {
        /// The engine.
        engine: EngineId,
        /// The report.
        report: LoadReport,
    },
    /// The contents of an engine's cache changed.
    EngineCache {
        /// The engine.
        engine: EngineId,
        /// The change.
        change: CacheChange,
    },
    /// An engine announced that it is leaving.
    EngineLeaving {
        /// The engine.
        engine: EngineId,
    },
    /// An engine did not answer a poll.
    EngineSilent {
        /// The engine.
        engine: EngineId,
        /// Time since its last answer.
        silent_for: Duration,
    },
    /// An operator sent a request.
    Operator {
        /// Identifies the request in its reply.
        request: RequestId,
        /// The request.
        question: OperatorRequest,
    },
    /// The process was asked to shut down gracefully (SIGTERM).
    Drain,
    /// Time passed. Sent every [`crate::core::TICK_INTERVAL`].
    Tick,
}

/// A request by an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Change a resource.
    Change(ControlBody),
    /// Read one resource.
    Get {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: ResourceName,
    },
    /// Read all resources of a kind.
    List {
        /// The kind.
        kind: Kind,
    },
    /// Watch all changes after a revision, until [`OperatorRequest::Unwatch`].
    Watch {
        /// The kind to watch; all kinds if `None`.
        kind: Option<Kind>,
        /// The last revision known to the watcher.
        after: Offset,
    },
    /// Stop a watch.
    Unwatch {
        /// Id of the request that opened the watch.
        watch: RequestId,
    },
    /// List the members of the fleet as known to this node.
    Nodes,
    /// List the engines as known to this node.
    Engines,
    /// List the runs of the partitions that this node owns.
    Runs,
    /// Read a run; only its owner can answer.
    Run {
        /// The run.
        run: RunId,
    },
}
