//! What the control state machine asks for.

use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{Offset, ResourceName};

use crate::{ControlBody, ControlError, RequestId};

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its revision.
    pub revision: Offset,
    /// Kind of the resource.
    pub kind: Kind,
    /// Its name.
    pub name: ResourceName,
    /// The resource as it is now; `None` if deleted.
    pub resource: Option<Resource>,
}

/// An output of [`crate::Control::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a record; its read-back returns as [`crate::Event::RecordRead`]. A retry after a lost
    /// answer must repeat the record's sequence.
    Append(ControlBody),
    /// Answer a proposal.
    Reply {
        /// Which.
        request: RequestId,
        /// The change as accepted, or why not.
        result: Result<Change, ControlError>,
    },
    /// A change took effect; watchers and the rest of the node are told.
    Changed(Change),
}
