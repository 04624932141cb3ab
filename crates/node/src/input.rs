//! What reaches the task that owns the node's state machine.

use elderworks_node_core::Event;
use elderworks_node_core::event::Connection;
use elderworks_protocol::peer::FromNode;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::MetricsSnapshot;

/// Inputs waiting for the owning task; senders wait while it is full.
pub const INPUT_QUEUE: usize = 8_192;

/// The sending side of the queue.
pub(crate) type InputSender = mpsc::Sender<Input>;

/// An input of the owning task.
#[derive(Debug)]
pub(crate) enum Input {
    /// For the state machine as it is.
    Event(Box<Event>),
    /// A connection was accepted; messages for it go into `outgoing`.
    Accepted {
        /// Its name.
        connection: Connection,
        /// Queue of its writer.
        outgoing: mpsc::Sender<FromNode>,
    },
    /// Asks for the counters.
    Metrics {
        /// Takes them.
        reply: oneshot::Sender<MetricsSnapshot>,
    },
}
