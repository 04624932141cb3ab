//! What the interface needs of the node behind it.

use elderworks_control::Change;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::OperatorRequest;
use elderworks_types::Offset;
use elderworks_types::resource::Kind;
use tokio::sync::mpsc;

/// The node gave no answer; what was asked may have happened all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node gave no answer")]
pub struct NoAnswer;

/// The way from an HTTP request to the node core and back.
pub trait OperatorBackend: Clone + 'static {
    /// Asks anything but a watch.
    fn ask(
        &self,
        question: OperatorRequest,
    ) -> impl Future<Output = Result<OperatorReply, NoAnswer>>;

    /// Begins a watch of the changes after a revision. `None` says that the watcher has to list
    /// anew. The watch ends when the receiver is dropped; a receiver that ends by itself fell too
    /// far behind.
    fn watch(
        &self,
        kind: Option<Kind>,
        after: Offset,
    ) -> impl Future<Output = Result<Option<mpsc::Receiver<Change>>, NoAnswer>>;
}
