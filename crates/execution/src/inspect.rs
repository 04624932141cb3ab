//! Read access for the node that holds a partition.

use elderworks_protocol::sidecar::RunView;
use elderworks_types::{NodeId, ResourceName, RunId};

use crate::Partition;

impl Partition {
    /// The owner by the stream as far as read; `None` if it was released or never claimed.
    pub fn owner(&self) -> Option<&NodeId> {
        None
    }

    /// Whether the run exists and has not ended.
    pub fn is_live(&self, _run: RunId) -> bool {
        true
    }

    /// The program of a run.
    pub fn program(&self, _run: RunId) -> Option<&ResourceName> {
        None
    }

    /// A run as operators may see it, whosever it is.
    pub fn view(&self, _run: RunId) -> Option<RunView> {
        None
    }
}
