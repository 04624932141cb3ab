//! What reaches the task that owns the node's state machine.

use elderworks_control::Change;
use elderworks_node_core::Event;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::{Connection, OperatorRequest};
use elderworks_protocol::peer::FromNode;
use elderworks_types::Offset;
use elderworks_types::resource::Kind;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::MetricsSnapshot;

/// Inputs waiting for the owning task; senders wait while it is full.
pub const INPUT_QUEUE: usize = 8_192;

/// Changes waiting for one watcher; a watcher that falls further behind is cut off.
pub const WATCH_QUEUE: usize = 1_024;

/// The sending side of the queue.
pub type InputSender = mpsc::Sender<Input>;

/// An input of the owning task.
#[derive(Debug)]
pub enum Input {
    /// For the state machine as it is.
    Event(Event),
    /// A connection was accepted; messages for it go into `outgoing`.
    Accepted {
        /// Its name.
        connection: Connection,
        /// Queue of its writer.
        outgoing: mpsc::Sender<FromNode>,
    },
    /// An operator's request other than a watch.
    Operator {
        /// The request.
        question: OperatorRequest,
        /// Takes the reply.
        reply: oneshot::Sender<OperatorReply>,
    },
    /// An operator's watch; it ends when `changes` is closed.
    Watch {
        /// Kind, or all kinds.
        kind: Option<Kind>,
        /// Last revision seen.
        after: Offset,
        /// Takes whether the watch began.
        reply: oneshot::Sender<OperatorReply>,
        /// Takes the changes.
        changes: mpsc::Sender<Change>,
    },
    /// Asks for the counters.
    Metrics {
        /// Takes them.
        reply: oneshot::Sender<MetricsSnapshot>,
    },
}
