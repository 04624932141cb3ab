//! Record bodies of the control stream.

use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{NodeId, Offset, ResourceName};
use serde::{Deserialize, Serialize};

/// Body of a control record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlBody {
    /// Creates or replaces a resource, provided that its current revision matches `expected`.
    Put {
        /// The resource. The revision in its metadata is ignored.
        resource: Resource,
        /// Required current revision. 0 requires that the resource does not exist, and `None`
        /// accepts any revision.
        expected: Option<Offset>,
    },
    /// Deletes a resource, provided that its current revision matches `expected`.
    Delete {
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: ResourceName,
        /// Required current revision, or `None` to accept any.
        expected: Option<Offset>,
    },
    /// Announces the start of a node. The offset of the first such record becomes the node's
    /// incarnation.
    ///
    /// On the control stream itself, where the offset is not known in advance, the nonce identifies
    /// the writer and serves as the incarnation in all of its records. Other records of a writer are
    /// ignored unless they follow its announcement.
    NodeStarted {
        /// The node.
        node: NodeId,
        /// Random number by which the node recognizes its own record.
        nonce: u64,
    },
    /// One part of a snapshot of the control state.
    Snapshot {
        /// Offset of the last record included in the snapshot, from which replay resumes.
        covers: Offset,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// A chunk of the encoded state. The chunks concatenated in order form the whole.
        bytes: Vec<u8>,
    },
}
