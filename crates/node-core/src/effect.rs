//! What a node asks of its driver.

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
    /// Append to a stream; answered by [`crate::Event::LogAppended`].
    Append {
        /// The stream.
        stream: StreamName,
        /// Matches the result.
        token: AppendToken,
        /// One encoded batch.
        bytes: Vec<u8>,
    },
    /// Read a stream; answered by [`crate::Event::LogRead`]. At most one read per stream is open.
    Read {
        /// The stream.
        stream: StreamName,
        /// First offset wanted.
        from: Offset,
        /// How long the log may hold the read while there is nothing new.
        wait: Duration,
    },
    /// Send a datagram.
    SendDatagram {
        /// To this address.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Send on a connection that the other side opened.
    Send {
        /// The connection.
        connection: Connection,
        /// The message.
        message: FromNode,
    },
    /// Send to a peer, connecting first if need be. May be lost.
    SendPeer {
        /// The peer.
        peer: NodeAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Begin to poll an engine's load, cache events, holdings and state, until forgotten; at the
    /// pace of rest until told otherwise.
    WatchEngine {
        /// Which.
        engine: EngineId,
        /// Base URL.
        url: String,
    },
    /// Poll a watched engine at another pace from now on.
    PaceEngine {
        /// Which.
        engine: EngineId,
        /// How often.
        pace: EnginePace,
    },
    /// Stop polling an engine.
    ForgetEngine {
        /// Which.
        engine: EngineId,
    },
    /// Send an attempt to an engine.
    Generate(Box<Generate>),
    /// Take up an attempt that an engine may still be running or remember.
    ResumeStream {
        /// Which attempt.
        ticket: Ticket,
        /// The engine.
        engine: EngineId,
        /// Its base URL.
        url: String,
        /// First chunk wanted.
        from_chunk: u32,
    },
    /// Stop an attempt wherever it is.
    CancelAttempt {
        /// Which attempt.
        ticket: Ticket,
    },
    /// Stop reading an attempt without stopping it: the partition's next owner takes it up.
    DetachAttempt {
        /// Which attempt.
        ticket: Ticket,
    },
    /// Invoke a tool.
    InvokeTool {
        /// Which attempt.
        ticket: Ticket,
        /// The tool.
        tool: ToolName,
        /// Its base URL.
        url: String,
        /// Arguments as JSON text.
        arguments: String,
        /// Key under which the tool recognises a repeat.
        idempotency_key: String,
        /// Longest wait.
        timeout: Duration,
    },
    /// Ask a tool what became of an invocation.
    QueryTool {
        /// Which attempt.
        ticket: Ticket,
        /// The tool.
        tool: ToolName,
        /// Its base URL.
        url: String,
        /// The key it was sent under.
        idempotency_key: String,
    },
    /// Free what an engine holds for a run.
    ReleaseMemory {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
        /// Its base URL.
        url: String,
    },
    /// Keep a run's blocks on an engine under a lease.
    RetainMemory {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
        /// Its base URL.
        url: String,
        /// For how long.
        lease: Duration,
    },
    /// Copy a run's blocks between engines.
    TransferMemory {
        /// The run.
        run: RunId,
        /// Exporting engine's base URL.
        from_url: String,
        /// Importing engine's base URL.
        to_url: String,
    },
    /// Answer an operator.
    OperatorReply {
        /// Which request.
        request: RequestId,
        /// The answer.
        reply: OperatorReply,
    },
    /// A change for an operator's watch.
    WatchEvent {
        /// The watch's request id.
        watch: RequestId,
        /// The change.
        change: Change,
    },
    /// The node is ready to serve (`true`) or not (`false`).
    Ready(bool),
    /// Draining is done: the process may exit.
    Drained,
}

/// An attempt for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Generate {
    /// Names the attempt; also the engine's request id, by which it resumes and cancels.
    pub ticket: Ticket,
    /// The engine.
    pub engine: EngineId,
    /// Its base URL.
    pub url: String,
    /// The model.
    pub model: ModelName,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Text of the answer to continue; usually empty.
    pub continue_text: String,
    /// Number of the first chunk.
    pub first_chunk: u32,
    /// Most tokens to generate.
    pub max_output: Tokens,
    /// Smaller goes first in the engine's queue.
    pub engine_priority: i64,
    /// Longest time for the attempt.
    pub timeout: Duration,
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// A change was accepted, or why not.
    Changed(Result<Change, ControlError>),
    /// One resource.
    Resource(Option<Resource>),
    /// All of a kind, with the revision up to which the list is complete.
    Resources {
        /// In order of name.
        items: Vec<Resource>,
        /// Watch from here to miss nothing.
        revision: Offset,
    },
    /// The watch has begun, or why not.
    Watching(Result<(), WatchError>),
    /// Members of the fleet.
    Nodes(Vec<Member>),
    /// Engines.
    Engines(Vec<EngineView>),
    /// Runs that this node owns, the latest first.
    Runs(Vec<RunSummary>),
    /// A run.
    Run(Option<Box<RunView>>),
    /// This node does not own the run; ask there.
    RunElsewhere(Option<NodeAddress>),
}

/// An engine as this node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Which.
    pub id: EngineId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Its base URL.
    pub url: String,
    /// What it serves.
    pub models: Vec<ModelName>,
    /// Whether it gets new work.
    pub state: EngineState,
}

/// Whether an engine gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Yes.
    Serving,
    /// No; its streams finish.
    Leaving,
    /// No; it does not answer.
    Silent,
}
