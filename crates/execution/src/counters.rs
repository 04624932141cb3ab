//! What a partition counts.

/// Counts since the partition was made, and sizes as of now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records that counted.
    pub records_accepted: u64,
    /// Records of an older epoch or of a writer that does not own the partition.
    pub records_fenced: u64,
    /// Records appended again after a lost answer.
    pub records_repeated: u64,
    /// Records that contradicted the state they met.
    pub records_inconsistent: u64,
    /// Times this node became the owner.
    pub takeovers: u64,
    /// Times this node found that another had claimed the partition.
    pub fenced: u64,
    /// Calls accepted in the journal by this owner.
    pub calls_accepted: u64,
    /// Calls that ended with an answer.
    pub calls_completed: u64,
    /// Calls refused, before or after they were accepted.
    pub calls_refused: u64,
    /// Calls that failed.
    pub calls_failed: u64,
    /// Calls whose fate cannot be known.
    pub calls_unknown: u64,
    /// First attempts dispatched.
    pub first_attempts: u64,
    /// Further attempts dispatched.
    pub retries: u64,
    /// Times that a retry had to wait for the retry budget.
    pub retries_delayed: u64,
    /// Attempts of an earlier owner taken up again.
    pub resumed: u64,
    /// Tools asked what became of an invocation.
    pub tool_queries: u64,
    /// Chunks that did not follow the one before.
    pub chunk_gaps: u64,
    /// Releases of engine memory sent, repeats included.
    pub memory_releases_sent: u64,
    /// Runs ended by a limit.
    pub limits_reached: u64,
    /// Ended runs forgotten.
    pub runs_forgotten: u64,
    /// Runs held now.
    pub runs: u64,
    /// Calls waiting or open now.
    pub open_calls: u64,
    /// Ended runs whose engine memory is not yet known to be free.
    pub unreleased_runs: u64,
    /// Times at which some run is to be looked at again.
    pub timers: u64,
    /// Own records appended and not yet read back.
    pub records_in_flight: u64,
}

impl Counters {
    /// The counts alone, for a partition that is no longer held.
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
