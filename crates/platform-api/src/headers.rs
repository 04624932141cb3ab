//! Header names that the interfaces use beside the standard ones.

/// Names one request to an engine; chosen by the client, unique per attempt.
pub const REQUEST_ID: &str = "x-request-id";

/// The run on whose behalf a request is made.
pub const RUN_ID: &str = "x-run-id";

/// Key under which a tool recognises a repeated invocation.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Seconds after which a refused request may be accepted.
pub const RETRY_AFTER: &str = "retry-after";

/// The tool that an invocation is for, where one service hosts several.
pub const TOOL: &str = "x-tool";
