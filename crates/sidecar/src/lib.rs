//! The sidecar process: the HTTP API for callers, the driver that runs the state machine of
//! `elderworks-sidecar-core`, and a client of the API.

pub mod client;
mod connection;
mod core_client;
mod driver;
mod http;
mod known_runs;
mod metrics;
mod process;
pub mod wire;

pub use process::{SidecarHandle, start};
