//! Bodies of records on the control stream.

use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{NodeId, Offset, ResourceName};
use serde::{Deserialize, Serialize};

/// One change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlBody {
    /// Creates or replaces a resource if its revision is still the expected one (0: it must not
    /// exist; `None`: whatever it is).
    Put {
        /// The resource; its metadata's revision is ignored.
        resource: Resource,
        /// Revision that the operator saw.
        expected: Option<Offset>,
    },
    /// Deletes a resource under the same condition.
    Delete {
        /// Kind.
        kind: Kind,
        /// Name.
        name: ResourceName,
        /// Revision that the operator saw.
        expected: Option<Offset>,
    },
    /// A node started; its incarnation is the offset of the first such record. On the control
    /// stream itself, where no record can know its offset beforehand, writers are told apart by
    /// the nonce: it stands as the incarnation of every record that this start writes there. Other
    /// records of a writer count only after this one.
    NodeStarted {
        /// Which.
        node: NodeId,
        /// Random, to recognise its own record when read back.
        nonce: u64,
    },
    /// The state after a given record, in parts.
    Snapshot {
        /// Offset of the last record that the state includes; a reader goes on from here.
        covers: Offset,
        /// Which part, from 0.
        part: u32,
        /// How many there are.
        parts: u32,
        /// A piece of the encoded state; the pieces joined in order form the whole.
        bytes: Vec<u8>,
    },
}
