//! Counters of a partition.

/// Counts since the partition was created, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records applied.
    pub records_accepted: u64,
    /// Records ignored because of an older epoch or a writer that does not own the partition.
    pub records_fenced: u64,
    /// Records ignored as duplicates of an append.
    pub records_repeated: u64,
    /// Records ignored because they contradict the state.
    pub records_inconsistent: u64,
    /// Times that this node became the owner.
    pub takeovers: u64,
    /// Times that this node lost the ownership to another node's claim.
    pub fenced: u64,
    /// Calls accepted and journalled by this owner.
    pub calls_accepted: u64,
    /// Calls completed with an answer.
    pub calls_completed: u64,
    /// Calls refused, before or after their acceptance.
    pub calls_refused: u64,
    /// Calls that failed.
    pub calls_failed: u64,
    /// Calls that ended with an unknown outcome.
    pub calls_unknown: u64,
    /// First attempts dispatched.
    pub first_attempts: u64,
    /// Attempts after the first dispatched.
    pub retries: u64,
    /// Times that a retry was postponed because the retry budget was empty.
    pub retries_delayed: u64,
    /// Attempts of a previous owner resumed.
    pub resumed: u64,
    /// Queries to tools for the result of an invocation.
    pub tool_queries: u64,
    /// Chunks ignored because an earlier chunk was missing.
    pub chunk_gaps: u64,
    /// Releases of engine memory sent, including repetitions.
    pub memory_releases_sent: u64,
    /// Runs ended by a limit.
    pub limits_reached: u64,
    /// Ended runs removed from the state.
    pub runs_forgotten: u64,
    /// Current number of runs in the state.
    pub runs: u64,
    /// Current number of waiting and open calls.
    pub open_calls: u64,
    /// Current number of ended runs whose engine memory isn't known to be free.
    pub unreleased_runs: u64,
    /// Current number of timers.
    pub timers: u64,
    /// Current number of own records appended and not yet read back.
    pub records_in_flight: u64,
}

impl Counters {
    /// Returns the counters with the current sizes set to zero, for a partition that this node no
    /// longer follows.
    #[must_use]
    pub fn without_gauges(self) -> Self {
        Self {
            runs: 0,
            open_calls: 0,
            unreleased_runs: 0,
            timers: 0,
            records_in_flight: 0,
            ..self
        }
    }
}

impl std::ops::AddAssign for Counters {
    fn add_assign(&mut self, other: Self) {
        self.records_accepted += other.records_accepted;
        self.records_fenced += other.records_fenced;
        self.records_repeated += other.records_repeated;
        self.records_inconsistent += other.records_inconsistent;
        self.takeovers += other.takeovers;
        self.fenced += other.fenced;
        self.calls_accepted += other.calls_accepted;
        self.calls_completed += other.calls_completed;
        self.calls_refused += other.calls_refused;
        self.calls_failed += other.calls_failed;
        self.calls_unknown += other.calls_unknown;
        self.first_attempts += other.first_attempts;
        self.retries += other.retries;
        self.retries_delayed += other.retries_delayed;
        self.resumed += other.resumed;
        self.tool_queries += other.tool_queries;
        self.chunk_gaps += other.chunk_gaps;
        self.memory_releases_sent += other.memory_releases_sent;
        self.limits_reached += other.limits_reached;
        self.runs_forgotten += other.runs_forgotten;
        self.runs += other.runs;
        self.open_calls += other.open_calls;
        self.unreleased_runs += other.unreleased_runs;
        self.timers += other.timers;
        self.records_in_flight += other.records_in_flight;
    }
}
