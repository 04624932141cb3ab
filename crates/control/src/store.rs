//! The control state machine.

use elderworks_protocol::record::{Record, Writer};
use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{Offset, ResourceName, Timestamp};

use crate::ControlBody;

/// Matches a request to its reply.
pub type RequestId = u64;

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The resource changed since the operator read it.
    #[error("conflict: expected revision {expected}, found {found}")]
    Conflict {
        /// What the operator saw.
        expected: Offset,
        /// What is there (0: nothing).
        found: Offset,
    },
    /// There is no such resource.
    #[error("not found")]
    NotFound,
    /// A field is wrong.
    #[error("{path}: {problem}")]
    Invalid {
        /// Path of the field, for example `spec.services[1]`.
        path: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The log does not answer, so the change cannot be accepted now.
    #[error("the platform's log does not answer")]
    Unavailable,
}

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

/// An input of [`Control::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The next record of the control stream, in offset order.
    RecordRead {
        /// Its offset (several records of one batch share it).
        offset: Offset,
        /// Its position within that batch, from 0.
        index: u32,
        /// The record.
        record: Record<ControlBody>,
    },
    /// An operator asks for a change (`Put` or `Delete`).
    Propose {
        /// Matches the reply.
        request: RequestId,
        /// The change.
        body: ControlBody,
    },
    /// The log has not answered for some time (`false`), or answers again (`true`).
    LogReachable(bool),
    /// Time passed.
    Tick,
}

/// An output of [`Control::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a record; its read-back returns as [`Event::RecordRead`].
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

/// The control state of one node.
pub struct Control {
    _writer: Writer,
}

impl Control {
    /// Empty; `writer` tells its own records from others'.
    pub fn new(writer: Writer) -> Self {
        Self { _writer: writer }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        Vec::new()
    }

    /// The next offset to be applied.
    pub fn next(&self) -> Offset {
        Offset(0)
    }

    /// One resource.
    pub fn get(&self, _kind: Kind, _name: &ResourceName) -> Option<&Resource> {
        None
    }

    /// All resources of a kind, in order of name.
    pub fn list(&self, _kind: Kind) -> impl Iterator<Item = &Resource> {
        [].iter()
    }

    /// Changes after `revision`, or `None` if they are no longer remembered and the watcher has to
    /// list anew.
    pub fn changes_since(&self, _revision: Offset) -> Option<Vec<Change>> {
        Some(Vec::new())
    }
}
