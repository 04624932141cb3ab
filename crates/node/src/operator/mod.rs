//! The operators' HTTP interface.
//!
//! [`respond`] turns one HTTP request into a question for the node core and its reply into a
//! response. It reaches the core through an [`OperatorBackend`].

mod backend;
mod body;
mod error;
mod report;
mod request;
mod respond;
mod watch;

pub use backend::{NoAnswer, OperatorBackend};
pub use respond::{OperatorContext, respond};
