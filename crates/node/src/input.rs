//! Inputs of the task that owns the node's state machine.

use elderworks_node_core::Event;
use elderworks_node_core::event::Connection;
use elderworks_protocol::peer::FromNode;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::MetricsSnapshot;

/// Capacity of the input queue; senders wait while it is full.
pub const INPUT_QUEUE_CAPACITY: usize = 8_192;

/// The sender of the input queue.
pub(crate) type InputSender = mpsc::Sender<Input>;

/// An input of the driver.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the state machine.
    Event(Box<Event>),
    /// A connection was accepted.
    Accepted {
        /// The id of the connection.
        connection: Connection,
        /// The queue of the connection's writer.
        outgoing: mpsc::Sender<FromNode>,
    },
    /// Requests a snapshot of the metrics.
    Metrics {
        /// Receives the snapshot.
        reply: oneshot::Sender<MetricsSnapshot>,
    },
}
