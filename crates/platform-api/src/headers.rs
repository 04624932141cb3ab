//! Names of HTTP headers.

/// Id of a request to an engine, chosen by the client and unique per attempt.
pub const REQUEST_ID: &str = "x-request-id";

/// The run to which a request belongs.
pub const RUN_ID: &str = "x-run-id";

/// Key by which a tool detects a repeated invocation.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Time after which a refused request may be retried, in seconds.
pub const RETRY_AFTER: &str = "retry-after";

/// The invoked tool, for services that host several.
pub const TOOL: &str = "x-tool";
