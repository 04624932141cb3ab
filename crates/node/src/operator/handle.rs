//! The channel between HTTP requests and the driver of the node core.

use elderworks_control::Change;
use elderworks_control::watch::WatchError;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::OperatorRequest;
use elderworks_types::Offset;
use elderworks_types::resource::Kind;
use tokio::sync::{mpsc, oneshot};

/// Requests that may wait for the driver; more are refused.
const WAITING_COMMANDS: usize = 256;

/// Changes that may wait for one watcher. A watcher that falls further behind is cut off and
/// resumes from its last revision.
const WAITING_CHANGES: usize = 1_024;

/// Something for the driver to pass to the node core.
#[derive(Debug)]
pub enum OperatorCommand {
    /// A question with one reply.
    Ask {
        /// The question; never a watch.
        question: OperatorRequest,
        /// Where the reply goes.
        reply: oneshot::Sender<OperatorReply>,
    },
    /// A watch.
    Watch {
        /// Kind, or all kinds.
        kind: Option<Kind>,
        /// Last revision seen.
        after: Offset,
        /// Where the changes go; the watch ends when the receiver is gone.
        changes: mpsc::Sender<WatchMessage>,
    },
}

/// What a watcher is sent.
#[derive(Debug)]
pub enum WatchMessage {
    /// The first message: the watch began, or why not.
    Begun(Result<(), WatchError>),
    /// A change.
    Change(Box<Change>),
}

/// The driver did not take the question: nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotTaken;

/// The driver took the question but will not answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoReply;

/// The side of the channel that HTTP requests use.
#[derive(Clone, Debug)]
pub struct OperatorHandle {
    commands: mpsc::Sender<OperatorCommand>,
}

/// The channel; the driver keeps the receiver.
pub fn operator_channel() -> (OperatorHandle, mpsc::Receiver<OperatorCommand>) {
    let (commands, receiver) = mpsc::channel(WAITING_COMMANDS);
    (OperatorHandle { commands }, receiver)
}

impl OperatorHandle {
    /// Asks a question; the returned future gives the reply.
    pub fn ask(
        &self,
        question: OperatorRequest,
    ) -> Result<impl Future<Output = Result<OperatorReply, NoReply>> + use<>, NotTaken> {
        let (reply, receiver) = oneshot::channel();
        let command = OperatorCommand::Ask { question, reply };
        self.commands.try_send(command).map_err(|_| NotTaken)?;
        Ok(async move { receiver.await.map_err(|_| NoReply) })
    }

    /// Begins a watch.
    pub fn watch(
        &self,
        kind: Option<Kind>,
        after: Offset,
    ) -> Result<mpsc::Receiver<WatchMessage>, NotTaken> {
        let (changes, receiver) = mpsc::channel(WAITING_CHANGES);
        let command = OperatorCommand::Watch {
            kind,
            after,
            changes,
        };
        self.commands.try_send(command).map_err(|_| NotTaken)?;
        Ok(receiver)
    }
}
