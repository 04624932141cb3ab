//! The sidecar process: callers' HTTP interface and the driver around sidecar-core.

mod connection;
mod core_client;
mod driver;
mod http;
mod known_runs;
mod metrics;
mod process;

pub use process::{SidecarHandle, start};
