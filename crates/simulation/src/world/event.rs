//! Events of the simulated world.

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

/// A node process, identified by its slot and generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeStart {
    /// Index of the slot.
    pub node: usize,
    /// Generation of the slot.
    pub generation: u32,
}

/// A sidecar process, identified by its slot and generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SidecarStart {
    /// Index of the slot.
    pub sidecar: usize,
    /// Generation of the slot.
    pub generation: u32,
}

/// Message on a connection.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    /// Message to the node that accepted the connection.
    ToNode(Box<ToNode>),
    /// Message from that node.
    FromNode(Box<FromNode>),
}

/// Request to an engine.
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

/// Request to a tool.
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

/// Event of a caller.
#[derive(Clone, Debug)]
pub(crate) enum CallerEvent {
    /// The caller continues its program.
    Continue,
    /// The caller submits a call, possibly again.
    Resubmit { number: CallNumber },
    /// The caller retries to start, read or end its run.
    RetryRequest,
    /// The caller stops waiting for a reply.
    ReplyTimeout { request: RequestId },
    /// A sidecar's reply arrives.
    Reply {
        request: RequestId,
        reply: Box<CallerReply>,
    },
    /// The connection to the sidecar is broken.
    Disconnected { request: RequestId },
}

/// Event of an operator.
#[derive(Clone, Debug)]
pub(crate) enum OperatorEvent {
    /// The operator performs its next action.
    Continue,
    /// A node's reply arrives.
    Reply {
        request: RequestId,
        reply: Box<OperatorReply>,
    },
    /// The operator stops waiting for a reply.
    Timeout { request: RequestId },
}

/// Event of the simulation.
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
