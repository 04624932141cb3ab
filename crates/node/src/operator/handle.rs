//! The channel between HTTP requests and the driver of the node core.

use elderworks_control::Change;
use elderworks_control::watch::WatchError;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::OperatorRequest;
use elderworks_types::Offset;
use elderworks_types::resource::Kind;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of commands queued for the driver; further ones are refused.
const MAX_PENDING_COMMANDS: usize = 256;

/// Maximum number of changes queued for one watcher. A watch that exceeds it is closed; the client
/// can resume from its last revision.
const MAX_PENDING_CHANGES: usize = 1_024;

/// A command that the driver passes to the node core.
#[derive(Debug)]
pub enum OperatorCommand {
    /// A request with a single reply.
    Ask {
        /// The request; not [`OperatorRequest::Watch`].
        question: OperatorRequest,
        /// Receives the reply.
        reply: oneshot::Sender<OperatorReply>,
    },
    /// A request to watch changes.
    Watch {
        /// Kind of the watched resources; `None` for all kinds.
        kind: Option<Kind>,
        /// Last revision that the watcher has seen.
        after: Offset,
        /// Receives the changes; the watch ends when the receiver is dropped.
        changes: mpsc::Sender<WatchMessage>,
    },
}

/// A message to a watcher.
#[derive(Debug)]
pub enum WatchMessage {
    /// The first message: the watch has started, or the reason why it has not.
    Started(Result<(), WatchError>),
    /// A change to a watched resource.
    Change(Box<Change>),
}

/// Error: the driver did not accept the command, so it has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAccepted;

/// Error: the driver accepted the command but dropped it without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoReply;

/// The sending side of the command channel, used by HTTP requests.
#[derive(Clone, Debug)]
pub struct OperatorHandle {
    commands: mpsc::Sender<OperatorCommand>,
}

/// Creates the command channel; the receiver is for the driver.
pub fn operator_channel() -> (OperatorHandle, mpsc::Receiver<OperatorCommand>) {
    let (commands, receiver) = mpsc::channel(MAX_PENDING_COMMANDS);
    (OperatorHandle { commands }, receiver)
}

impl OperatorHandle {
    /// Queues a request and returns a future of its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the command queue is full or closed.
    pub fn ask(
        &self,
        question: OperatorRequest,
    ) -> Result<impl Future<Output = Result<OperatorReply, NoReply>> + use<>, NotAccepted> {
        let (reply, receiver) = oneshot::channel();
        let command = OperatorCommand::Ask { question, reply };
        self.commands.try_send(command).map_err(|_| NotAccepted)?;
        Ok(async move { receiver.await.map_err(|_| NoReply) })
    }

    /// Queues a request to watch changes and returns the receiver of the watch.
    ///
    /// # Errors
    ///
    /// Returns an error if the command queue is full or closed.
    pub fn watch(
        &self,
        kind: Option<Kind>,
        after: Offset,
    ) -> Result<mpsc::Receiver<WatchMessage>, NotAccepted> {
        let (changes, receiver) = mpsc::channel(MAX_PENDING_CHANGES);
        let command = OperatorCommand::Watch {
            kind,
            after,
            changes,
        };
        self.commands.try_send(command).map_err(|_| NotAccepted)?;
        Ok(receiver)
    }
}
