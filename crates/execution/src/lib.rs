//! The state machine of one partition: call order, budgets, at-most-once dispatch and recovery.
//!
//! [`Partition`] is deterministic and does no I/O. It takes the events of [`event`], each with the
//! current time, and returns the effects of [`effect`]. Durable state changes only when a record is
//! read back from the partition's stream ([`event::Event::RecordRead`]), so every reader of the
//! stream computes the same state. All other state belongs to the current owner and is lost when
//! the ownership changes.

pub mod counters;
pub mod effect;
pub mod event;
pub mod partition;
pub mod settings;

mod retry;
mod soft_state;
mod state;

pub use counters::Counters;
pub use effect::{BackendRequest, Effect};
pub use event::{Event, SubmittedCall};
pub use partition::{LOG_RETRY_AFTER, Partition, RunSummary, tenant_budget_holder};
pub use settings::{ExecutionSettings, Faults};
