//! The operators' HTTP interface.
//!
//! [`respond`] translates an HTTP request into a request to the node core, and the reply into a
//! response. It sends commands to the driver through an [`OperatorHandle`]. The driver has an
//! [`OperatorBridge`] that routes replies and changes to the HTTP requests that wait for them.

mod body;
mod bridge;
mod error;
mod handle;
mod questions;
mod report;
mod request;
mod respond;
mod watch;

pub use bridge::OperatorBridge;
pub use handle::{OperatorCommand, OperatorHandle, WatchMessage, operator_channel};
pub use respond::{OperatorContext, respond};
