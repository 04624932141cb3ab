//! Where a call runs and when: routing, admission, priority, cache index, retention.
//!
//! [`Placement`] is a deterministic state machine without I/O; its random choices come from a
//! seeded generator. It sees engines through lagging load reports and gappy cache events and counts
//! its own dispatches in between.

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
