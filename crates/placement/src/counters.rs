//! What placement counted.

/// Sums since the start; sizes are current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls sent to an engine.
    pub dispatched: u64,
    /// Of those, calls sent to another engine than their run's last one.
    pub moved: u64,
    /// First calls that had to wait for room.
    pub held: u64,
    /// Calls refused because too many wait.
    pub refused_overloaded: u64,
    /// Calls refused because their deadline cannot be met.
    pub refused_deadline: u64,
    /// Calls refused because no engine serves their model.
    pub refused_no_backend: u64,
    /// Times that an engine was ejected.
    pub ejections: u64,
    /// Cache events reported as lost.
    pub missed_cache_events: u64,
    /// Runs forgotten because the table was full.
    pub forgotten_runs: u64,
    /// Calls waiting now.
    pub waiting: usize,
    /// Runs known now.
    pub runs: usize,
    /// Block hashes indexed now.
    pub indexed_blocks: usize,
}
