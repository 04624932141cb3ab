//! What the control state machine is told.

use elderworks_protocol::record::Record;
use elderworks_types::Offset;

use crate::ControlBody;

/// Matches a request to its reply.
pub type RequestId = u64;

/// An input of [`crate::Control::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The next record of the control stream, in offset order. Records at or before the position
    /// already applied are ignored, so a relayed record may be offered again.
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
    /// This node is the one to write a snapshot, if one is due.
    TakeSnapshot,
    /// The log has not answered for some time (`false`), or answers again (`true`).
    LogReachable(bool),
    /// Time passed.
    Tick,
}
