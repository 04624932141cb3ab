//! Decides on which engine a model call runs, and when.
//!
//! [`Placement`] is a deterministic state machine without I/O: it takes an [`Event`] and returns
//! [`Effect`]s, and its random choices come from a seeded generator. It covers routing by cached
//! prefix and load, admission, priorities, and the retention of the blocks of paused runs.
//!
//! Load reports arrive late and cache events can be lost, so placement corrects the reported load by
//! the attempts it has dispatched and completed since the last report.

pub mod cost;
pub mod counters;
pub mod effect;
mod engines;
mod estimates;
pub mod event;
mod health;
mod index;
pub mod policy;
mod queue;
mod runs;

pub use counters::Counters;
pub use effect::Effect;
pub use event::{Event, Ticket};
pub use policy::{Placement, PlacementSettings};
