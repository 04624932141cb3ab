//! Inputs of the control state machine.

use elderworks_protocol::record::Record;
use elderworks_types::Offset;

use crate::ControlBody;

/// Identifier that matches a request to its reply.
pub type RequestId = u64;

/// An input of [`crate::Control::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A record of the control stream was read, in offset order. Records that have already been
    /// applied are ignored, so that the same record may be received from several sources.
    RecordRead {
        /// Offset of the batch that contains the record.
        offset: Offset,
        /// Index within the batch, from 0.
        index: u32,
        /// The record.
        record: Record<ControlBody>,
    },
    /// An operator requests a change (`Put` or `Delete`).
    Propose {
        /// Identifier for the reply.
        request: RequestId,
        /// The requested change.
        body: ControlBody,
    },
    /// This node should write a snapshot if one is due.
    TakeSnapshot,
    /// The log became unreachable (`false`) or reachable again (`true`).
    LogReachable(bool),
    /// Time passed.
    Tick,
}
