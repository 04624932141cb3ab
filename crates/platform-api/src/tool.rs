//! A tool service: `POST /v1/invocations` and `GET /v1/invocations/{key}`.
//!
//! The body of an invocation is any JSON value; [`crate::headers::IDEMPOTENCY_KEY`] names it. A
//! repeated key gives the first invocation's result without running again, unless the tool does
//! not keep keys at all.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Answer to an invocation that completed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvocationResponse {
    /// What the tool returned.
    pub result: Value,
    /// Whether this is the result of an earlier invocation of the same key.
    pub repeated: bool,
}

/// Answer to a question after an invocation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum InvocationStatus {
    /// It ran to its end.
    Completed {
        /// What the tool returned.
        result: Value,
    },
    /// It ran and failed.
    Failed {
        /// What the tool said.
        message: String,
    },
    /// It is running, or hangs.
    Running,
    /// The tool knows no such key. A tool that does not keep keys always says so.
    Unknown,
}
