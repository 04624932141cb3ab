//! Paths of the interfaces.
//!
//! Functions build a path from names; [`segments`] takes one apart again.

use elderworks_types::{ModelName, RunId};
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Chat completions of an engine.
pub const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
/// An engine's load report.
pub const LOAD: &str = "/v1/load";
/// An engine's cache events.
pub const CACHE_EVENTS: &str = "/v1/cache/events";
/// Runs for which an engine holds memory.
pub const RUNS: &str = "/v1/runs";
/// Fenced commands to an engine.
pub const COMMANDS: &str = "/v1/commands";
/// An engine's state.
pub const STATE: &str = "/v1/state";
/// Invocations of a tool.
pub const INVOCATIONS: &str = "/v1/invocations";
/// The list of machines.
pub const MACHINES: &str = "/v1/machines";

/// Records of a stream of the log.
pub fn records(stream: &str) -> String {
    format!("/v1/streams/{}/records", encode(stream))
}

/// A request's answer stream on an engine.
pub fn answer_stream(request_id: &str) -> String {
    format!("/v1/streams/{}", encode(request_id))
}

/// A run on an engine.
pub fn run(run: RunId) -> String {
    format!("/v1/runs/{run}")
}

/// A run's retention lease on an engine.
pub fn retention(run: RunId) -> String {
    format!("/v1/runs/{run}/retention")
}

/// Export of a run's KV cache.
pub fn export(run: RunId) -> String {
    format!("/v1/runs/{run}/export")
}

/// Import of a run's KV cache.
pub fn import(run: RunId) -> String {
    format!("/v1/runs/{run}/import")
}

/// One invocation of a tool.
pub fn invocation(idempotency_key: &str) -> String {
    format!("/v1/invocations/{}", encode(idempotency_key))
}

/// A model's weights.
pub fn weights(model: &ModelName) -> String {
    format!("/v1/weights/{}", encode(model.as_str()))
}

/// The decoded segments of a path; `None` where one is not UTF-8.
pub fn segments(path: &str) -> Option<Vec<String>> {
    path.trim_start_matches('/')
        .split('/')
        .map(|segment| {
            let decoded = percent_decode_str(segment).decode_utf8().ok()?;
            Some(decoded.into_owned())
        })
        .collect()
}

fn encode(name: &str) -> String {
    utf8_percent_encode(name, NON_ALPHANUMERIC).to_string()
}
