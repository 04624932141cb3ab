//! Inputs of the state machine.

use std::net::SocketAddr;

use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{CallSpec, RunId, RunSpec, TenantId};

/// Identifies a caller's request in its replies.
pub type RequestId = u64;

/// An input of [`crate::SidecarCore::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller starts a run.
    StartRun {
        /// Id for the reply.
        request: RequestId,
        /// The run to start.
        spec: RunSpec,
    },
    /// A caller makes a call.
    Call {
        /// Id for the replies.
        request: RequestId,
        /// Tenant of the caller.
        tenant: TenantId,
        /// The run.
        run: RunId,
        /// The call.
        spec: CallSpec,
    },
    /// A caller reads a run.
    ReadRun {
        /// Id for the reply.
        request: RequestId,
        /// Tenant of the caller.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
    /// A caller ends a run.
    EndRun {
        /// Id for the reply.
        request: RequestId,
        /// Tenant of the caller.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
    /// The caller disconnected. Its request stays open; a repeated one gets the same answer.
    CallerDisconnected {
        /// The request whose caller disconnected.
        request: RequestId,
    },
    /// A connection to a node is ready.
    Connected {
        /// The node's address.
        address: SocketAddr,
    },
    /// A connection attempt failed or a connection was lost.
    Disconnected {
        /// The node's address.
        address: SocketAddr,
    },
    /// A node sent a message.
    Received {
        /// The node's address.
        address: SocketAddr,
        /// The message.
        message: NodeMessage,
    },
    /// Periodic tick, sent every [`crate::core::TICK_INTERVAL`].
    Tick,
}
