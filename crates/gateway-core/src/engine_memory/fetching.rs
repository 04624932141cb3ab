//! Whether an engine takes a prompt's first part from another one in place of reading it.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

use crate::config::MemoryMoves;
use crate::peer_loads::WorkerKey;
use crate::placement::demand::PrefixKey;

/// Tokens that an engine is taken to read in a millisecond.
const READ_TOKENS_PER_MS: u64 = 200;

/// Time that a fetch must save at least.
const LEAST_GAIN: Duration = Duration::from_millis(20);

/// Most bytes that one engine is made to take in [`BYTES_WINDOW`].
const MOST_BYTES: u64 = 2_000_000_000;

/// Time over which the bytes of an engine's fetches are added up.
const BYTES_WINDOW: Duration = Duration::from_secs(1);

/// A part that an engine was told to fetch is not asked of it again for this long: by then it is
/// known whether it holds it.
const FETCH_PAUSE: Duration = Duration::from_secs(2);

/// Moves between zones take this many times as long.
const FAR_FACTOR: u32 = 2;

/// A fetch that could be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The part.
    pub part: PrefixKey,
    /// Its length.
    pub tokens: u64,
    /// Whether it comes from another zone.
    pub crosses_zones: bool,
}

impl Fetch {
    /// Bytes that it moves.
    pub fn bytes(&self, moves: &MemoryMoves) -> u64 {
        self.tokens.saturating_mul(moves.token_bytes)
    }

    /// How long the move takes; `None` if engines pass nothing on.
    pub fn transfer_time(&self, moves: &MemoryMoves) -> Option<Duration> {
        if moves.token_bytes == 0 || moves.link_mbps <= 0.0 {
            return None;
        }
        let megabits = self.bytes(moves) as f64 * 8.0 / 1e6;
        let time = Duration::try_from_secs_f64(megabits / moves.link_mbps).ok()?;
        Some(match self.crosses_zones {
            true => time * FAR_FACTOR,
            false => time,
        })
    }

    /// How long reading takes.
    pub fn reading_time(&self) -> Duration {
        Duration::from_millis(self.tokens / READ_TOKENS_PER_MS)
    }

    /// Whether it saves enough time.
    pub fn pays(&self, moves: &MemoryMoves) -> bool {
        self.transfer_time(moves)
            .is_some_and(|transfer| transfer + LEAST_GAIN <= self.reading_time())
    }
}

/// Fetches of late, by the engine that takes the part.
#[derive(Clone, Debug, Default)]
pub struct FetchBook {
    fetches: BTreeMap<WorkerKey, Vec<(Timestamp, PrefixKey, u64)>>,
}

impl FetchBook {
    /// Notes a fetch if the engine may make it now; tells whether it may.
    pub fn begin(
        &mut self,
        engine: WorkerKey,
        fetch: &Fetch,
        moves: &MemoryMoves,
        now: Timestamp,
    ) -> bool {
        self.drop_old(now);
        let bytes = fetch.bytes(moves);
        let of_engine = self.fetches.get(&engine).into_iter().flatten();
        let of_late = of_engine
            .clone()
            .filter(|(at, _, _)| now.since(*at) < BYTES_WINDOW);
        let moved: u64 = of_late.map(|(_, _, bytes)| *bytes).sum();
        let is_repeat = of_engine.clone().any(|(_, part, _)| *part == fetch.part);
        if is_repeat || moved.saturating_add(bytes) > MOST_BYTES {
            return false;
        }
        let noted = self.fetches.entry(engine).or_default();
        noted.push((now, fetch.part, bytes));
        true
    }

    fn drop_old(&mut self, now: Timestamp) {
        self.fetches.retain(|_, fetches| {
            fetches.retain(|(at, _, _)| now.since(*at) < FETCH_PAUSE);
            !fetches.is_empty()
        });
    }
}
