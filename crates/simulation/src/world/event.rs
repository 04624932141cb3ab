//! What can happen next in the simulated world.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_node_core::effect::{Generate, OperatorReply};
use elderworks_node_core::event::{OperatorRequest, RequestId};
use elderworks_placement::Ticket;
use elderworks_protocol::peer::{FromNode, ToNode};
use elderworks_protocol::record::StreamName;
use elderworks_sidecar_core::CallerReply;
use elderworks_types::{CallNumber, Offset, RunId, ToolName};

use super::connection::ConnectionId;
use crate::kernel::ProcessId;

/// One start of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeStart {
    /// Its slot.
    pub node: usize,
    /// Which start.
    pub generation: u32,
}

/// One start of one sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SidecarStart {
    /// Its slot.
    pub sidecar: usize,
    /// Which start.
    pub generation: u32,
}

/// What a connection carries.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    /// Towards the node that accepted it.
    ToNode(Box<ToNode>),
    /// Back from that node.
    FromNode(Box<FromNode>),
}

/// A request on its way to an engine.
#[derive(Clone, Debug)]
pub(crate) enum EngineRequest {
    Generate(Box<Generate>),
    Resume { ticket: Ticket, from_chunk: u32 },
    Cancel { ticket: Ticket },
    Release { run: RunId },
    Retain { run: RunId },
    Import { run: RunId },
    Poll,
}

/// A request on its way to a tool.
#[derive(Clone, Debug)]
pub(crate) enum ToolRequest {
    Invoke {
        arguments: String,
        key: String,
        timeout: Duration,
    },
    Query {
        key: String,
    },
}

/// Something for a caller.
#[derive(Clone, Debug)]
pub(crate) enum CallerEvent {
    /// Time to go on with the program.
    Continue,
    /// Time to hand a call over again.
    Resubmit { number: CallNumber },
    /// Time to start the run, to read it or to end it once more.
    RetryRequest,
    /// The caller has waited long enough for a reply.
    ReplyTimeout { request: RequestId },
    /// A reply from a sidecar.
    Reply {
        request: RequestId,
        reply: Box<CallerReply>,
    },
    /// The connection to the sidecar broke.
    Disconnected { request: RequestId },
}

/// Something for an operator.
#[derive(Clone, Debug)]
pub(crate) enum OperatorEvent {
    /// Time for the next action.
    Continue,
    /// A node's reply.
    Reply {
        request: RequestId,
        reply: Box<OperatorReply>,
    },
    /// No reply came in time.
    Timeout { request: RequestId },
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    ToNode {
        to: NodeStart,
        input: Box<elderworks_node_core::Event>,
    },
    ToSidecar {
        to: SidecarStart,
        input: Box<elderworks_sidecar_core::Event>,
    },
    NodeTick(NodeStart),
    SidecarTick(SidecarStart),
    Resume(ProcessId),
    Start(ProcessId),
    MessageArrival {
        connection: ConnectionId,
        payload: Payload,
    },
    Break(ConnectionId),
    Connect {
        from: SidecarStart,
        address: SocketAddr,
    },
    LogAppend {
        from: NodeStart,
        stream: StreamName,
        token: u64,
        bytes: Vec<u8>,
    },
    LogRead {
        from: NodeStart,
        stream: StreamName,
        offset: Offset,
        wait: Duration,
    },
    LogReadTimeout {
        waiter: u64,
    },
    ToEngine {
        from: NodeStart,
        engine: usize,
        request: EngineRequest,
    },
    EngineStep {
        engine: usize,
        generation: u32,
        ticket: Ticket,
    },
    EngineStart(usize),
    EngineGone {
        engine: usize,
        generation: u32,
        restart_after: Duration,
    },
    AttemptTimeout {
        from: NodeStart,
        ticket: Ticket,
    },
    EnginePoll {
        from: NodeStart,
        engine: usize,
    },
    ToTool {
        from: NodeStart,
        ticket: Ticket,
        tool: ToolName,
        request: ToolRequest,
    },
    MachineList,
    Caller {
        caller: usize,
        event: CallerEvent,
    },
    Operator {
        operator: usize,
        event: OperatorEvent,
    },
    OperatorRequest {
        to: NodeStart,
        request: RequestId,
        question: Box<OperatorRequest>,
    },
    Fault(usize),
}
