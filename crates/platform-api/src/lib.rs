//! Wire types of the platform's HTTP interfaces: log, engines, tools, machine list and weight store.
//!
//! Bodies are JSON unless documented otherwise. [`paths`] builds and parses paths; names within paths
//! are percent-encoded, so any string is a valid name.

pub mod engine;
pub mod error;
pub mod headers;
pub mod log;
pub mod machines;
pub mod paths;
pub mod tool;
pub mod weights;

pub use error::{ErrorBody, ErrorCode};

/// Maximum size of a request body on all interfaces, in bytes. Larger ones are rejected with status 413.
pub const MAX_BODY_BYTES: usize = 1 << 20;
