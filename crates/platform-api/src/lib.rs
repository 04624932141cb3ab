//! Wire types of the platform's published interfaces: log, engines, tools, machine list, weight
//! store.
//!
//! Everything is JSON over HTTP unless a type says otherwise. Paths are built and taken apart by
//! [`paths`]; names that callers choose are percent-encoded there, so any text is a valid name.

pub mod engine;
pub mod error;
pub mod headers;
pub mod log;
pub mod machines;
pub mod paths;
pub mod tool;
pub mod weights;

pub use error::{ErrorBody, ErrorCode};

/// Largest body that any interface accepts, in bytes. Larger ones are answered by 413.
pub const MAX_BODY_BYTES: usize = 1 << 20;
