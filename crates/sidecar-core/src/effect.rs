//! What a sidecar asks of its driver.

use std::net::SocketAddr;

use elderworks_protocol::sidecar::{RunView, SidecarMessage};
use elderworks_types::{Attempt, Outcome, Refusal, RunId, RunPhase};

use crate::event::RequestId;

/// An output of [`crate::SidecarCore::handle`].
#[derive(Clone, Debug)]
pub enum Effect {
    /// Connect to a node; answered by `Connected` or `Disconnected`.
    Connect {
        /// Its address.
        address: SocketAddr,
    },
    /// Send on a ready connection.
    Send {
        /// The node's address.
        address: SocketAddr,
        /// The message.
        message: SidecarMessage,
    },
    /// Reply to a caller.
    Reply {
        /// Which request.
        request: RequestId,
        /// The reply.
        reply: CallerReply,
    },
}

/// A reply to a caller. A call gets any number of chunks and then one end.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    /// The run is started.
    RunStarted {
        /// Which.
        run: RunId,
    },
    /// The run was not started.
    RunRefused {
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// The next piece of the answer; the pieces of one request join to the whole.
    Chunk {
        /// The text.
        text: String,
    },
    /// The answer was made anew and does not begin with the pieces passed on so far: they are
    /// void, and the pieces that follow join to the whole.
    Restarted,
    /// The call's one outcome.
    CallEnded {
        /// The attempt it is of, if one was made.
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
        /// How.
        phase: RunPhase,
    },
    /// No node answered in time; whether the run was started, read or ended is not known. The
    /// request may be repeated.
    Unreachable,
}
