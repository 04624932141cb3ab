//! A node as a deterministic state machine, composed of control, membership, execution and placement.
//!
//! The driver in `elderworks-node` turns sockets, timers and HTTP streams into [`Event`]s and
//! executes the resulting [`Effect`]s; the simulator does the same on a virtual clock. Drivers make no
//! decisions of their own.

mod assignment;
mod attempt_reports;
mod configuration;
mod control_plane;
pub mod core;
pub mod counters;
mod dispatch;
pub mod drain;
pub mod effect;
mod engines;
pub mod event;
mod loading;
mod log_outage;
mod operator;
mod ownership;
pub mod pace;
mod partition_pace;
mod partitions;
mod peers;
mod services;
mod sidecars;
mod snapshot_search;
mod step;
mod streams;

pub use crate::core::{NodeCore, NodeSettings};
pub use counters::Counters;
pub use effect::Effect;
pub use event::Event;
