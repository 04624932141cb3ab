//! An engine's load and memory: what it publishes, and what it holds for runs.

use elderworks_types::RunId;
use elderworks_types::text::BlockHash;
use serde::{Deserialize, Serialize};

/// Answer to `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// How old the figures are, in milliseconds: reports are published with a lag.
    pub age_ms: u64,
    /// Sequences being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens waiting to be prefilled.
    pub waiting_prefill_tokens: u64,
    /// Cache blocks in use.
    pub blocks_used: u32,
    /// Cache blocks in all.
    pub blocks_total: u32,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks are now held.
    Stored(Vec<BlockHash>),
    /// Blocks are no longer held.
    Evicted(Vec<BlockHash>),
    /// Everything was dropped.
    Cleared,
}

/// Most cache events in one answer.
pub const MAX_CACHE_EVENTS: usize = 1_024;

/// One published cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number, from 1. Published numbers may have gaps: those events were lost.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// Query of `GET /v1/cache/events`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsQuery {
    /// Number of the last event that the reader has.
    #[serde(default)]
    pub after: u64,
}

/// Answer to `GET /v1/cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsResponse {
    /// Changes with the engine's every start; numbers of different starts do not compare.
    pub instance: u64,
    /// Published events in order, at most [`MAX_CACHE_EVENTS`].
    pub events: Vec<CacheEvent>,
}

/// A run of which an engine holds blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The run.
    pub run: RunId,
    /// Blocks held.
    pub blocks: u32,
    /// Time left of the retention lease, in milliseconds; 0 without one.
    pub lease_ms: u64,
}

/// Answer to `GET /v1/runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsResponse {
    /// In order of run id.
    pub runs: Vec<Holding>,
}

/// Body of `PUT /v1/runs/{run}/retention`; answered by the [`Holding`] that results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionRequest {
    /// Keep the run's blocks for so long from now, in milliseconds; at most [`MAX_LEASE_MS`].
    pub lease_ms: u64,
}

/// Longest retention lease, in milliseconds. A longer one is cut to it.
pub const MAX_LEASE_MS: u64 = 3_600_000;

/// Answer to `DELETE /v1/runs/{run}`: the engine holds nothing for the run, and its requests are
/// cancelled. Succeeds for unknown runs as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseResponse {
    /// The run.
    pub run: RunId,
    /// Blocks that were let go by this request.
    pub blocks: u32,
}

/// Answer to `POST /v1/runs/{run}/export`, and body of `POST /v1/runs/{run}/import`. Stands for
/// the KV cache itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Hashes of the run's blocks, in prompt order.
    pub blocks: Vec<BlockHash>,
}

/// Answer to an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportResponse {
    /// Blocks that the engine now holds of those offered; a prefix of them.
    pub blocks: u32,
}
