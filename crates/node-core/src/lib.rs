//! One node as a deterministic state machine: control, membership, execution and placement composed.
//!
//! The driver in `elderworks-node` turns sockets, timers and HTTP streams into [`Event`]s and
//! carries out [`Effect`]s; the simulator does the same on a virtual clock. No decision is made
//! outside this crate and the ones that it composes.

pub mod core;
pub mod effect;
pub mod event;

pub use crate::core::{NodeCore, NodeSettings};
pub use effect::Effect;
pub use event::Event;
