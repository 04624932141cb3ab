//! Polling intervals of engines and of partition streams: short while in use, long while idle.
//!
//! Correctness does not depend on them, since records are ordered by their position on the stream.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Time without use after which an engine or a stream counts as idle.
pub const IDLE_AFTER: Duration = Duration::from_secs(5);

/// Interval between reads at the end of the stream of a partition in use. They show an owner that it has
/// been fenced off, and the next owner that the partition has been released.
pub const BUSY_PARTITION_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between reads at the end of the stream of an idle partition. Records of other writers are
/// also noticed at the next append.
pub const IDLE_PARTITION_INTERVAL: Duration = Duration::from_secs(5);

/// Polling pace of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnginePace {
    /// The engine is in use, or its last poll failed.
    Busy,
    /// The engine is not in use. Still detects within 3 s that it leaves or stops answering.
    Idle,
}

impl EnginePace {
    /// Returns the interval between two polls. Each poll fetches the engine's state.
    pub fn interval(self) -> Duration {
        match self {
            Self::Busy => Duration::from_millis(250),
            Self::Idle => Duration::from_secs(1),
        }
    }

    /// Returns the number of polls per fetch of the load report, which placement uses for up to 15 s.
    pub fn polls_per_load(self) -> u32 {
        match self {
            Self::Busy => 1,
            Self::Idle => 2,
        }
    }

    /// Returns the number of polls per fetch of the cache events.
    pub fn polls_per_cache_events(self) -> u32 {
        match self {
            Self::Busy => 1,
            Self::Idle => 5,
        }
    }

    /// Returns the number of polls per fetch of the runs for which the engine holds memory.
    pub fn polls_per_holdings(self) -> u32 {
        match self {
            Self::Busy => 8,
            Self::Idle => 10,
        }
    }
}

/// Use of an engine by this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineUse {
    /// Time at which an attempt of this node was last open there.
    pub last_attempt: Option<Timestamp>,
    /// Whether the last poll failed and the engine does not count as silent yet.
    pub suspected: bool,
}

impl EngineUse {
    /// Returns the pace at which to poll the engine.
    pub fn pace(&self, now: Timestamp) -> EnginePace {
        let used = self
            .last_attempt
            .is_some_and(|last| now.since(last) < IDLE_AFTER);
        match used || self.suspected {
            true => EnginePace::Busy,
            false => EnginePace::Idle,
        }
    }
}

/// Use of a partition that this node follows.
#[derive(Clone, Copy, Debug)]
pub struct PartitionUse {
    /// Whether this node owns the partition and keeps it. Otherwise it is being handed over.
    pub settled: bool,
    /// Whether an attempt is open or an append has not been read back.
    pub working: bool,
    /// Time at which a record was last read, or an attempt or append was last open.
    pub last_activity: Timestamp,
}

impl PartitionUse {
    /// Returns the interval between reads at the end of the partition's stream.
    pub fn poll_interval(&self, now: Timestamp) -> Duration {
        let recent = now.since(self.last_activity) < IDLE_AFTER;
        match !self.settled || self.working || recent {
            true => BUSY_PARTITION_INTERVAL,
            false => IDLE_PARTITION_INTERVAL,
        }
    }
}
