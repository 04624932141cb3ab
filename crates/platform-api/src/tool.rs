//! A tool service: `POST /v1/invocations` and `GET /v1/invocations/{key}`.
//!
//! The body of an invocation is any JSON value. Its idempotency key is given by the header
//! [`IDEMPOTENCY_KEY`](crate::headers::IDEMPOTENCY_KEY). An invocation with a repeated key returns the
//! first result without running again, unless the tool doesn't store keys.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Response to an invocation that completed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvocationResponse {
    /// The tool's result.
    pub result: Value,
    /// Whether this is the result of an earlier invocation with the same key.
    pub repeated: bool,
}

/// Status of an invocation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum InvocationStatus {
    /// The invocation completed.
    Completed {
        /// The tool's result.
        result: Value,
    },
    /// The invocation ran and failed.
    Failed {
        /// The tool's error message.
        message: String,
    },
    /// The invocation is running or hangs.
    Running,
    /// The tool doesn't know the key. Always returned by tools that don't store keys.
    Unknown,
}
