//! What a sidecar is told.

use std::net::SocketAddr;

use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{CallSpec, RunId, RunSpec, TenantId};

/// Matches a caller's request to its replies.
pub type RequestId = u64;

/// An input of [`crate::SidecarCore::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller starts a run.
    StartRun {
        /// Matches the reply.
        request: RequestId,
        /// What to start.
        spec: RunSpec,
    },
    /// A caller makes a call.
    Call {
        /// Matches the replies.
        request: RequestId,
        /// On whose behalf.
        tenant: TenantId,
        /// The run.
        run: RunId,
        /// The call.
        spec: CallSpec,
    },
    /// A caller reads a run.
    ReadRun {
        /// Matches the reply.
        request: RequestId,
        /// On whose behalf.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
    /// A caller ends a run.
    EndRun {
        /// Matches the reply.
        request: RequestId,
        /// On whose behalf.
        tenant: TenantId,
        /// The run.
        run: RunId,
    },
    /// The caller hung up; its request goes on, and asking again returns the same answer.
    CallerGone {
        /// Which.
        request: RequestId,
    },
    /// A connection to a node is ready.
    Connected {
        /// The node's address.
        address: SocketAddr,
    },
    /// A connection could not be made, or broke.
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
    /// Time passed; sent every [`crate::core::TICK_INTERVAL`].
    Tick,
}
