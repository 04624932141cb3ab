//! The operators' HTTP interface.
//!
//! [`respond`] turns one HTTP request into a question for the node core and its reply into a
//! response. It talks to the driver through an [`OperatorHandle`]; the driver keeps an
//! [`OperatorBridge`] that matches replies and changes to whoever waits for them.

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
