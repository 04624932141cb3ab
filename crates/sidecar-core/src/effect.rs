//! Outputs of the state machine, executed by its driver.

use std::net::SocketAddr;

use elderworks_protocol::sidecar::{RunView, SidecarMessage};
use elderworks_types::{Attempt, Outcome, Refusal, RunId, RunPhase};

use crate::event::RequestId;

/// An output of [`crate::SidecarCore::handle`].
#[derive(Clone, Debug)]
pub enum Effect {
    /// Connects to a node. The driver reports the result as `Event::Connected` or
    /// `Event::Disconnected`.
    Connect {
        /// The node's address.
        address: SocketAddr,
    },
    /// Sends a message on a ready connection.
    Send {
        /// The node's address.
        address: SocketAddr,
        /// The message.
        message: SidecarMessage,
    },
    /// Replies to a caller.
    Reply {
        /// The request being answered.
        request: RequestId,
        /// The reply.
        reply: CallerReply,
    },
}

/// A reply to a caller. A call receives any number of chunks and restarts, then one `CallEnded`.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    /// The run was started.
    RunStarted {
        /// The id of the run.
        run: RunId,
    },
    /// The run was not started.
    RunRefused {
        /// The reason, and when to retry.
        refusal: Refusal,
    },
    /// The next chunk of the answer; the concatenated chunks form the full answer.
    Chunk {
        /// The text.
        text: String,
    },
    /// The call was run again and its answer does not start with the chunks delivered so far. They
    /// must be discarded; the following chunks form the full answer.
    Restarted,
    /// The call has ended; the last reply to it.
    CallEnded {
        /// The attempt that produced the outcome, if any.
        attempt: Option<Attempt>,
        /// The outcome.
        outcome: Outcome,
    },
    /// A run, or `None` if it does not exist for that tenant.
    RunView {
        /// The run.
        view: Option<Box<RunView>>,
    },
    /// The run has ended.
    RunEnded {
        /// The phase in which it ended.
        phase: RunPhase,
    },
    /// No node settled the request in time, or the sidecar was too full to send it. Whether it took
    /// effect is unknown; it may be repeated.
    NoAnswerFromNode,
}
