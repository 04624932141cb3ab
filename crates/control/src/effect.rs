//! Outputs of the control state machine.

use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{Offset, ResourceName};

use crate::{ControlBody, ControlError, RequestId};

/// A change that has taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Revision of the change.
    pub revision: Offset,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: ResourceName,
    /// New state of the resource, or `None` if deleted.
    pub resource: Option<Resource>,
}

/// An output of [`crate::Control::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a record, which is later received as [`crate::Event::RecordRead`]. A retry after a lost
    /// answer must use the same sequence number.
    Append(ControlBody),
    /// Reply to a proposal.
    Reply {
        /// The request that made the proposal.
        request: RequestId,
        /// The accepted change, or the reason for its rejection.
        result: Result<Change, ControlError>,
    },
    /// Notify watchers and the other components of the node of a change.
    Changed(Change),
}
