//! Paths of the HTTP interfaces.
//!
//! The functions build a path from names; [`segments`] splits a path and decodes its segments.

use elderworks_types::{ModelName, RunId};
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Path of an engine's chat completions.
pub const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
/// Path of an engine's load report.
pub const LOAD: &str = "/v1/load";
/// Path of an engine's cache events.
pub const CACHE_EVENTS: &str = "/v1/cache/events";
/// Path of the list of runs for which an engine holds memory.
pub const RUNS: &str = "/v1/runs";
/// Path for fenced commands to an engine.
pub const COMMANDS: &str = "/v1/commands";
/// Path of an engine's state.
pub const STATE: &str = "/v1/state";
/// Path of a tool's invocations.
pub const INVOCATIONS: &str = "/v1/invocations";
/// Path of the machine list.
pub const MACHINES: &str = "/v1/machines";

/// Returns the path of the records of a log stream.
pub fn records(stream: &str) -> String {
    format!("/v1/streams/{}/records", encode(stream))
}

/// Returns the path of the answer stream of a request to an engine.
pub fn answer_stream(request_id: &str) -> String {
    format!("/v1/streams/{}", encode(request_id))
}

/// Returns the path of a run on an engine.
pub fn run(run: RunId) -> String {
    format!("/v1/runs/{run}")
}

/// Returns the path of a run's retention lease on an engine.
pub fn retention(run: RunId) -> String {
    format!("/v1/runs/{run}/retention")
}

/// Returns the path for exporting a run's KV cache from an engine.
pub fn export(run: RunId) -> String {
    format!("/v1/runs/{run}/export")
}

/// Returns the path for importing a run's KV cache into an engine.
pub fn import(run: RunId) -> String {
    format!("/v1/runs/{run}/import")
}

/// Returns the path of one invocation of a tool.
pub fn invocation(idempotency_key: &str) -> String {
    format!("/v1/invocations/{}", encode(idempotency_key))
}

/// Returns the path of a model's weights.
pub fn weights(model: &ModelName) -> String {
    format!("/v1/weights/{}", encode(model.as_str()))
}

/// Splits a path into its percent-decoded segments. Returns `None` if a segment isn't valid UTF-8.
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
