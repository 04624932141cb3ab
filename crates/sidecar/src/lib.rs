//! The sidecar process: callers' HTTP interface and the driver around sidecar-core; and a client of
//! that interface.

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
