//! The gateway that callers connect to: drives the state machines of `elderworks-gateway-core`.
//!
//! All tasks run on one thread and share one `gateway::Gateway`. This crate does the I/O and the
//! encoding; decisions are made in `elderworks-gateway-core`. The platform's own names and formats
//! are confined to the adapter behind [`ports::Platform`].

mod admission;
mod caller;
mod clock;
mod cross_zone_bytes;
mod end_records;
mod endpoints;
mod engines;
mod feed;
mod forward;
mod gateway;
mod ledger;
mod log_outage;
mod log_output;
mod memory;
mod metrics;
mod open_work;
mod peers;
pub mod ports;
mod process;
mod quota_records;
mod reply;
mod server;
pub mod settings;
mod socket;
mod start;
mod upstream;
mod version_records;
mod watch;
mod worker_probes;
mod worker_witness;

pub use log_output::{LogFlush, LogOutput};
pub use process::{Reload, RunningGateway, run, start};
