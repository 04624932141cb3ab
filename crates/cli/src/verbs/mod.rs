//! Operator verbs of the command line, which use the HTTP interface of any node.

pub mod apply;
pub mod client;
pub mod delete;
pub mod error;
pub mod explain;
pub mod get;
pub mod output;
mod table;
pub mod watch;

pub use client::ApiClient;
pub use error::VerbError;
pub use output::OutputFormat;
