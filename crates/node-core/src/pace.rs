//! How often engines and the streams of partitions are polled: often while something is going on
//! there, seldom at rest. Nothing safe rests on it: records are judged by their place on the stream.

use std::time::Duration;

use elderworks_types::Timestamp;

/// An engine or stream counts as in use for this long after its last use.
pub const REST_AFTER: Duration = Duration::from_secs(5);

/// Time between reads at the end of the stream of a partition in use. An owner notices by them that
/// it was fenced out; a successor notices the release.
pub const BUSY_PARTITION_INTERVAL: Duration = Duration::from_millis(500);

/// The same of a partition at rest. Its next append shows whether others wrote.
pub const RESTING_PARTITION_INTERVAL: Duration = Duration::from_secs(5);

/// How often an engine is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnginePace {
    /// This node uses the engine, or asks itself whether it still answers.
    Busy,
    /// Often enough to notice within 3 s that the engine leaves or falls silent.
    Resting,
}

impl EnginePace {
    /// Time between two polls; each asks for the engine's state.
    pub fn interval(self) -> Duration {
        match self {
            Self::Busy => Duration::from_millis(250),
            Self::Resting => Duration::from_secs(1),
        }
    }

    /// Polls between two questions after load, which placement uses for 15 s.
    pub fn polls_per_load(self) -> u32 {
        match self {
            Self::Busy => 1,
            Self::Resting => 2,
        }
    }

    /// Polls between two questions after cache events.
    pub fn polls_per_cache_events(self) -> u32 {
        match self {
            Self::Busy => 1,
            Self::Resting => 5,
        }
    }

    /// Polls between two questions after holdings.
    pub fn polls_per_holdings(self) -> u32 {
        match self {
            Self::Busy => 8,
            Self::Resting => 10,
        }
    }
}

/// What this node has to do with an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineUse {
    /// When an attempt of this node was last open there.
    pub last_attempt: Option<Timestamp>,
    /// Whether the last poll failed, and the engine does not count as silent yet.
    pub suspected: bool,
}

impl EngineUse {
    /// How often to poll the engine.
    pub fn pace(&self, now: Timestamp) -> EnginePace {
        let used = self
            .last_attempt
            .is_some_and(|last| now.since(last) < REST_AFTER);
        match used || self.suspected {
            true => EnginePace::Busy,
            false => EnginePace::Resting,
        }
    }
}

/// What goes on with a partition that this node follows.
#[derive(Clone, Copy, Debug)]
pub struct PartitionUse {
    /// Whether this node owns it and is to keep it; otherwise a hand-over is under way.
    pub settled: bool,
    /// Whether an attempt is open or an append is not read back.
    pub working: bool,
    /// When a record was last read, or an attempt or append last open.
    pub last_activity: Timestamp,
}

impl PartitionUse {
    /// Time between reads at the end of the partition's stream.
    pub fn poll_interval(&self, now: Timestamp) -> Duration {
        let recent = now.since(self.last_activity) < REST_AFTER;
        match !self.settled || self.working || recent {
            true => BUSY_PARTITION_INTERVAL,
            false => RESTING_PARTITION_INTERVAL,
        }
    }
}
