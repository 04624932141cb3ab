//! An engine's load, its published cache events, and the cache blocks that it holds for runs.

use elderworks_types::RunId;
use elderworks_types::text::BlockHash;
use serde::{Deserialize, Serialize};

/// Response to `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Age of the values, in milliseconds. Engines publish reports with a delay.
    pub age_ms: u64,
    /// Number of sequences being decoded.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of prompt tokens waiting to be prefilled.
    pub waiting_prefill_tokens: u64,
    /// Number of cache blocks in use.
    pub blocks_used: u32,
    /// Total number of cache blocks.
    pub blocks_total: u32,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks were added.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Evicted(Vec<BlockHash>),
    /// All blocks were dropped.
    Cleared,
}

/// Maximum number of cache events in one response.
pub const MAX_CACHE_EVENTS: usize = 1_024;

/// A published cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from 1. A gap between published numbers means that events were lost.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// Query parameters of `GET /v1/cache/events`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsQuery {
    /// Number of the last event that the client has received.
    #[serde(default)]
    pub after: u64,
}

/// Response to `GET /v1/cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsResponse {
    /// Identifies the engine's process start. Event numbers of different starts aren't comparable.
    pub instance: u64,
    /// Published events in order, at most [`MAX_CACHE_EVENTS`].
    pub events: Vec<CacheEvent>,
}

/// Cache blocks that an engine holds for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The run.
    pub run: RunId,
    /// Number of blocks.
    pub blocks: u32,
    /// Remaining time of the retention lease, in milliseconds; 0 without a lease.
    pub lease_ms: u64,
}

/// Response to `GET /v1/runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsResponse {
    /// Runs for which the engine holds blocks, ordered by id.
    pub runs: Vec<Holding>,
}

/// Body of `PUT /v1/runs/{run}/retention`. The response is the resulting [`Holding`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionRequest {
    /// Time for which the run's blocks are retained, in milliseconds; at most [`MAX_LEASE_MS`].
    pub lease_ms: u64,
}

/// Maximum duration of a retention lease, in milliseconds. Longer leases are limited to it.
pub const MAX_LEASE_MS: u64 = 3_600_000;

/// Response to `DELETE /v1/runs/{run}`, which releases the run's blocks and cancels its requests. Also
/// succeeds for unknown runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseResponse {
    /// The run.
    pub run: RunId,
    /// Number of blocks released by this request.
    pub blocks: u32,
}

/// Response to `POST /v1/runs/{run}/export`, and body of `POST /v1/runs/{run}/import`. Contains the
/// hashes of the blocks in place of the KV cache itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Hashes of the run's blocks, in prompt order.
    pub blocks: Vec<BlockHash>,
}

/// Response to an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportResponse {
    /// Number of imported blocks that the engine holds now; they form a prefix of the offered blocks.
    pub blocks: u32,
}
