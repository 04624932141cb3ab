//! Run journals of one partition: call order, budgets, at-most-once dispatch, recovery.
//!
//! [`Partition`] is a deterministic state machine. Its only inputs are the events of [`event`], each
//! with the reading of its node's clock; its only outputs are the effects of [`effect`]. State that
//! must survive changes only in answer to [`event::Event::RecordRead`], that is, by replay of the
//! partition's stream; everything else is soft.

pub mod effect;
pub mod event;
mod inspect;
pub mod partition;

pub use effect::{BackendRequest, Effect};
pub use event::Event;
pub use partition::{ExecutionSettings, Partition};
