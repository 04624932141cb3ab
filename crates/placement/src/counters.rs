//! Counters of placement, exported as metrics.

/// Totals since the process started, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls sent to an engine.
    pub dispatched: u64,
    /// Dispatched calls whose run's previous call was sent to another engine.
    pub moved: u64,
    /// Calls queued because no engine had capacity.
    pub held: u64,
    /// Calls refused because the queue was full.
    pub refused_overloaded: u64,
    /// Calls refused because their deadline had passed.
    pub refused_deadline: u64,
    /// Calls refused because no available engine serves their model.
    pub refused_no_backend: u64,
    /// Ejections of engines after repeated failures.
    pub ejections: u64,
    /// Cache events reported as lost.
    pub missed_cache_events: u64,
    /// Runs removed because the run table was full.
    pub forgotten_runs: u64,
    /// Calls currently queued.
    pub waiting: usize,
    /// Runs currently known.
    pub runs: usize,
    /// Block hashes currently in the cache index.
    pub indexed_blocks: usize,
}
