//! What a node is told.

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

/// Names one accepted connection for as long as it lasts.
pub type Connection = u64;

/// Matches an append to its result.
pub type AppendToken = u64;

/// Matches an operator's request to its reply.
pub type RequestId = u64;

/// An input of [`crate::NodeCore::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// An append ended.
    LogAppended {
        /// Which.
        token: AppendToken,
        /// The offset given, or no answer.
        result: Result<Offset, NoAnswer>,
    },
    /// A read ended.
    LogRead {
        /// The stream.
        stream: StreamName,
        /// The offset asked for.
        from: Offset,
        /// What was read, or no answer.
        result: Result<ReadRecords, NoAnswer>,
    },
    /// A datagram came in.
    Datagram {
        /// From this address.
        from: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// The platform's machine list was read.
    MachineList {
        /// Machines listed as live.
        live: Vec<NodeId>,
        /// Machines listed as leaving.
        leaving: Vec<NodeId>,
        /// Engines listed as leaving.
        leaving_engines: Vec<EngineId>,
    },
    /// A sidecar or peer sent a message on a connection it opened.
    Received {
        /// On this connection.
        connection: Connection,
        /// The message.
        message: ToNode,
    },
    /// A peer sent a message on the connection that this node opened to it.
    PeerReply {
        /// Which peer.
        node: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection is gone.
    Closed {
        /// Which.
        connection: Connection,
    },
    /// A piece of an answer.
    AttemptChunk {
        /// Which attempt.
        ticket: Ticket,
        /// Position, from 0.
        index: u32,
        /// The text.
        text: String,
    },
    /// An attempt ran to its end.
    AttemptCompleted {
        /// Which attempt.
        ticket: Ticket,
        /// The whole answer of this attempt.
        content: String,
        /// What was consumed.
        usage: Usage,
    },
    /// An attempt ended without an answer.
    AttemptFailed {
        /// Which attempt.
        ticket: Ticket,
        /// Why.
        failure: AttemptFailure,
    },
    /// An engine acknowledged a release.
    MemoryReleased {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
    },
    /// An engine lists the runs for which it holds retained memory.
    EngineHoldings {
        /// The engine.
        engine: EngineId,
        /// The runs.
        runs: Vec<RunId>,
    },
    /// An engine answered a poll.
    EngineAnswered {
        /// Which.
        engine: EngineId,
    },
    /// A load report arrived.
    EngineLoad {
        /// From this engine.
        engine: EngineId,
        /// The report.
        report: LoadReport,
    },
    /// A cache event arrived.
    EngineCache {
        /// From this engine.
        engine: EngineId,
        /// The change.
        change: CacheChange,
    },
    /// An engine says of itself that it is leaving.
    EngineLeaving {
        /// Which.
        engine: EngineId,
    },
    /// An engine could not be reached for this long.
    EngineSilent {
        /// Which.
        engine: EngineId,
        /// Since its last answer.
        silent_for: Duration,
    },
    /// An operator asks for something.
    Operator {
        /// Matches the reply.
        request: RequestId,
        /// What.
        question: OperatorRequest,
    },
    /// This node was told to leave in order (SIGTERM).
    Drain,
    /// Time passed; sent every [`crate::core::TICK_INTERVAL`].
    Tick,
}

/// What an operator can ask of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Change a resource.
    Change(ControlBody),
    /// Read one resource.
    Get {
        /// Kind.
        kind: Kind,
        /// Name.
        name: ResourceName,
    },
    /// Read all of a kind.
    List {
        /// Kind.
        kind: Kind,
    },
    /// Receive every change after a revision, until unwatched.
    Watch {
        /// Kind, or all kinds.
        kind: Option<Kind>,
        /// Last revision seen.
        after: Offset,
    },
    /// Stop a watch, named by its request id.
    Unwatch {
        /// The watch's request id.
        watch: RequestId,
    },
    /// What this node knows of nodes.
    Nodes,
    /// What this node knows of engines.
    Engines,
    /// The runs of the partitions that this node owns.
    Runs,
    /// A run as its owner sees it; answered only by the owner.
    Run {
        /// Which.
        run: RunId,
    },
}
