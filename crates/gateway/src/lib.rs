//! The callers' gateway: a driver around `elderworks-gateway-core`.
//!
//! Every task runs on one thread and shares one [`gateway::Gateway`]. Bytes become typed calls and
//! decisions become bytes here; what the platform calls things is known only to the adapter behind
//! [`ports::Platform`].

mod admission;
mod buffered;
mod caller;
mod clock;
mod cross_zone_bytes;
mod engines;
mod entry;
mod feed;
mod forward;
mod gateway;
mod ledger;
mod log_outage;
mod log_output;
mod memory;
mod metrics;
mod peers;
pub mod ports;
mod process;
mod reply;
mod server;
pub mod settings;
mod socket;
mod start;
mod upstream;
mod watch;

pub use log_output::LogOutput;
pub use process::{Reload, RunningGateway, run, start};
