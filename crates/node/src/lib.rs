//! The node process: an actix-rt driver around `elderworks-node-core`.
//!
//! One task owns the state machine and drains a bounded queue; every other task only turns bytes
//! into inputs or effects into bytes. [`run`] is the whole process, [`start`] embeds a node.

mod admin;
mod attempts;
mod clock;
mod counters;
mod driver;
mod engine_polls;
mod gossip;
mod input;
mod listener;
mod log_io;
mod machine_polls;
mod memory;
pub mod metrics;
mod node;
pub mod operator;
mod peers;

pub use driver::NodeStatus;
pub use node::{NodeHandle, StartError, run, start};
