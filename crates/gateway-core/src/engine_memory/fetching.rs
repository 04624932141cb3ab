//! Decides whether an engine fetches a prompt's prefix from another engine instead of processing it.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

use crate::config::MemoryMoves;
use crate::peer_loads::WorkerKey;
use crate::placement::demand::PrefixKey;

/// Assumed prefill speed of an engine in tokens per millisecond.
const READ_TOKENS_PER_MS: u64 = 200;

/// Minimum time that a fetch must save.
const MIN_SAVING: Duration = Duration::from_millis(20);

/// Maximum number of bytes that one engine fetches within [`BYTES_WINDOW`].
const MAX_BYTES: u64 = 2_000_000_000;

/// Time window of the limit on an engine's fetched bytes.
const BYTES_WINDOW: Duration = Duration::from_secs(1);

/// Minimum time between two fetches of the same prefix by an engine, within which a new snapshot of
/// the engine's memory arrives.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Factor by which transfers between zones take longer.
const CROSS_ZONE_FACTOR: u32 = 2;

/// A possible fetch of a prefix from another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The prefix.
    pub prefix: PrefixKey,
    /// Length of the prefix in tokens.
    pub tokens: u64,
    /// Whether the source is in another zone.
    pub crosses_zones: bool,
}

impl Fetch {
    /// Returns the number of bytes to transfer.
    pub fn bytes(&self, moves: &MemoryMoves) -> u64 {
        self.tokens.saturating_mul(moves.token_bytes)
    }

    /// Returns the expected transfer time, or `None` if engines don't support transfers.
    pub fn transfer_time(&self, moves: &MemoryMoves) -> Option<Duration> {
        if moves.token_bytes == 0 || moves.link_mbps <= 0.0 {
            return None;
        }
        let megabits = self.bytes(moves) as f64 * 8.0 / 1e6;
        let time = Duration::try_from_secs_f64(megabits / moves.link_mbps).ok()?;
        Some(match self.crosses_zones {
            true => time * CROSS_ZONE_FACTOR,
            false => time,
        })
    }

    /// Returns the expected time to process the prefix instead.
    pub fn reading_time(&self) -> Duration {
        Duration::from_millis(self.tokens / READ_TOKENS_PER_MS)
    }

    /// Returns whether the fetch saves at least `MIN_SAVING`.
    pub fn saves_time(&self, moves: &MemoryMoves) -> bool {
        self.transfer_time(moves)
            .is_some_and(|transfer| transfer + MIN_SAVING <= self.reading_time())
    }
}

/// Limits the fetches of each engine.
#[derive(Clone, Debug, Default)]
pub struct FetchLimiter {
    /// Recent fetches by fetching engine: start time, prefix and bytes.
    fetches: BTreeMap<WorkerKey, Vec<(Timestamp, PrefixKey, u64)>>,
}

impl FetchLimiter {
    /// Records a fetch if the limits of the engine allow it; returns whether they do.
    pub fn try_start(
        &mut self,
        engine: WorkerKey,
        fetch: &Fetch,
        moves: &MemoryMoves,
        now: Timestamp,
    ) -> bool {
        self.drop_old(now);
        let bytes = fetch.bytes(moves);
        let of_engine = self.fetches.get(&engine).into_iter().flatten();
        let recent = of_engine
            .clone()
            .filter(|(at, _, _)| now.since(*at) < BYTES_WINDOW);
        let moved: u64 = recent.map(|(_, _, bytes)| *bytes).sum();
        let is_repeat = of_engine
            .clone()
            .any(|(_, prefix, _)| *prefix == fetch.prefix);
        if is_repeat || moved.saturating_add(bytes) > MAX_BYTES {
            return false;
        }
        let recorded = self.fetches.entry(engine).or_default();
        recorded.push((now, fetch.prefix, bytes));
        true
    }

    fn drop_old(&mut self, now: Timestamp) {
        self.fetches.retain(|_, fetches| {
            fetches.retain(|(at, _, _)| now.since(*at) < REPEAT_INTERVAL);
            !fetches.is_empty()
        });
    }
}
