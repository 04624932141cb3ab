//! The node process: an actix-rt driver around the state machine of `elderworks-node-core`.
//!
//! One task owns the state machine and drains a bounded queue. All other tasks only do I/O: they
//! decode bytes into inputs and encode effects into bytes. [`run`] runs a node until a stop signal,
//! [`start`] starts one inside an existing actix system.

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
