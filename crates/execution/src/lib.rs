//! Run journals of one partition: call order, budgets, at-most-once dispatch, recovery.
//!
//! [`Partition`] is a deterministic state machine. Its only inputs are the events of [`event`], each
//! with the reading of its node's clock; its only outputs are the effects of [`effect`]. State that
//! must survive changes only in answer to [`event::Event::RecordRead`], that is, by replay of the
//! partition's stream; everything else is soft and dies with its owner.

pub mod counters;
pub mod effect;
pub mod event;
pub mod partition;
pub mod settings;

mod retry;
mod soft;
mod state;

pub use counters::Counters;
pub use effect::{BackendRequest, Effect};
pub use event::{Event, SubmittedCall};
pub use partition::{Partition, RunSummary, tenant_budget_holder};
pub use settings::{ExecutionSettings, Faults};
