//! How the operators' HTTP interface reaches the node.

use elderworks_control::Change;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::OperatorRequest;
use elderworks_types::Offset;
use elderworks_types::resource::Kind;
use tokio::sync::{mpsc, oneshot};

use crate::input::{Input, InputSender, WATCH_QUEUE};
use crate::metrics::MetricsSnapshot;

/// The node has stopped, so nothing can be asked of it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node has stopped")]
pub struct NodeStopped;

/// Asks the node on behalf of operators. Cheap to clone, and usable from any thread.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    inputs: InputSender,
}

impl OperatorClient {
    pub(crate) fn new(inputs: InputSender) -> Self {
        Self { inputs }
    }

    /// Asks anything but a watch.
    pub async fn ask(&self, question: OperatorRequest) -> Result<OperatorReply, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Input::Operator { question, reply }).await?;
        answer.await.map_err(|_| NodeStopped)
    }

    /// Begins a watch of the changes after a revision. `None` says that the watcher has to list
    /// anew. The watch ends when the receiver is dropped; a receiver that ends by itself fell too
    /// far behind.
    pub async fn watch(
        &self,
        kind: Option<Kind>,
        after: Offset,
    ) -> Result<Option<mpsc::Receiver<Change>>, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        let (changes, receiver) = mpsc::channel(WATCH_QUEUE);
        let watch = Input::Watch {
            kind,
            after,
            reply,
            changes,
        };
        self.send(watch).await?;
        let reply = answer.await.map_err(|_| NodeStopped)?;
        let accepted = matches!(reply, OperatorReply::Watching { accepted: true });
        Ok(accepted.then_some(receiver))
    }

    /// The node's counters.
    pub async fn metrics(&self) -> Result<MetricsSnapshot, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Input::Metrics { reply }).await?;
        answer.await.map_err(|_| NodeStopped)
    }

    async fn send(&self, input: Input) -> Result<(), NodeStopped> {
        self.inputs.send(input).await.map_err(|_| NodeStopped)
    }
}
