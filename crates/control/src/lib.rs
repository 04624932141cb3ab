//! Resource store replayed from the control stream: validation, revisions, watch, snapshots.
//!
//! [`Control`] is a deterministic state machine without I/O or clock. Racing operators are settled
//! by the order of the log, alike on every node; a revision is the log offset of the change.

pub mod body;
pub mod store;

pub use body::ControlBody;
pub use store::{Change, Control, ControlError, Effect, Event, RequestId};
