//! Limits and intervals of execution.

use std::time::Duration;

use elderworks_types::Credits;

/// Limits and intervals of execution.
#[derive(Clone, Debug)]
pub struct ExecutionSettings {
    /// Attempts of one call, the first included.
    pub max_attempts: u32,
    /// Retries permitted per hundred first attempts, beside [`Self::retry_burst`].
    pub retry_percent: u32,
    /// Retries permitted before any first attempt has earned one.
    pub retry_burst: u32,
    /// Wait before the first retry; doubles with each further one.
    pub retry_backoff: Duration,
    /// Longest wait between two attempts.
    pub retry_backoff_limit: Duration,
    /// Longest that a call that may have run waits to be retried; it can only fail after that.
    pub retry_wait: Duration,
    /// Longest that a call that surely did not run waits to be retried; its caller is better served
    /// by a refusal.
    pub unrun_retry_wait: Duration,
    /// Calls of one run that may wait for earlier ones.
    pub max_waiting_per_run: usize,
    /// Calls that may be waiting or open in the whole partition.
    pub max_open_calls: usize,
    /// Longest that a call waits for an earlier one that has not arrived.
    pub earlier_call_wait: Duration,
    /// Time after which a call whose acceptance was slow to be read back is no longer sent.
    pub withdraw_after: Duration,
    /// Longest that a call waits for its tenant's allotment.
    pub allotment_wait: Duration,
    /// Smallest allotment asked for, so that most calls find one ready.
    pub allotment_size: Credits,
    /// How often an unanswered request for an allotment is repeated.
    pub allotment_interval: Duration,
    /// How long a new owner waits for a caller to say what it holds of an answer, before it runs
    /// the call from the start.
    pub resubmission_wait: Duration,
    /// Added to an attempt's own limit before the partition gives it up by itself.
    pub timeout_grace: Duration,
    /// Longest that open calls hold up a release.
    pub release_wait: Duration,
    /// Wait before a release of engine memory is repeated; doubles with each repeat.
    pub memory_backoff: Duration,
    /// Longest wait between two releases of the same memory.
    pub memory_backoff_limit: Duration,
    /// How long an ended run can be read.
    pub retain_ended: Duration,
    /// How many ended runs can be read; the oldest go first.
    pub max_ended_runs: usize,
    /// Calls whose notes are kept for `explain`.
    pub max_call_notes: usize,
    /// Records after which the owner takes a snapshot by itself.
    pub snapshot_interval: u64,
    /// Ways to break the partition on purpose; all off.
    pub faults: Faults,
}

impl Default for ExecutionSettings {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            retry_percent: 10,
            retry_burst: 2,
            retry_backoff: Duration::from_millis(50),
            retry_backoff_limit: Duration::from_secs(2),
            retry_wait: Duration::from_secs(10),
            unrun_retry_wait: Duration::from_secs(3),
            max_waiting_per_run: 32,
            max_open_calls: 4096,
            earlier_call_wait: Duration::from_secs(5),
            withdraw_after: Duration::from_secs(30),
            allotment_wait: Duration::from_secs(5),
            allotment_size: Credits(10_000),
            allotment_interval: Duration::from_millis(500),
            resubmission_wait: Duration::from_secs(2),
            timeout_grace: Duration::from_secs(1),
            release_wait: Duration::from_secs(20),
            memory_backoff: Duration::from_millis(200),
            memory_backoff_limit: Duration::from_secs(10),
            retain_ended: Duration::from_secs(600),
            max_ended_runs: 2_000,
            max_call_notes: 4_096,
            snapshot_interval: 20_000,
            faults: Faults::default(),
        }
    }
}

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Ways to break a partition, or its node, on purpose, so that checkers can be shown to notice. They
        /// exist only under the cargo feature `broken`.
        #[derive(Clone, Copy, Debug, Default)]
        pub struct Faults {
            $(
                $(#[$doc])*
                #[cfg(feature = "broken")]
                pub $name: bool,
            )+
        }

        impl Faults {
            $(
                $(#[$doc])*
                #[cfg(feature = "broken")]
                pub fn $name(&self) -> bool {
                    self.$name
                }

                $(#[$doc])*
                #[cfg(not(feature = "broken"))]
                pub fn $name(&self) -> bool {
                    false
                }
            )+
        }
    };
}

faults! {
    /// Records of older epochs and of other writers count, and a later claim ends no ownership.
    no_fencing,
    /// A repeated append counts twice.
    no_dedup,
    /// Calls and attempts reserve nothing.
    no_reservation,
    /// A release of engine memory is sent once and then believed.
    release_not_retried,
    /// A new owner sends again what an earlier one may have sent.
    resend_after_takeover,
    /// A call that was sent and lost is reported as refused.
    refuse_after_dispatch,
    /// A prompt is built from the history of the first run of the partition.
    mix_histories,
    /// A prompt is built from the call's own messages alone.
    forget_history,
    /// A tool call is sent as soon as it arrives, whether or not its turn has come.
    dispatch_before_turn,
    /// An answer continued after a lost attempt is reported without its beginning.
    omit_continued_text,
    /// A new owner does not take up the open calls that it finds.
    abandon_open_calls,
    /// A refusal does not say when to come back.
    no_retry_after,
    /// The node gives work to engines that are leaving.
    ignore_leaving,
    /// The node exits as soon as it is told to drain.
    drain_at_once,
    /// The node tells an operator that a change is accepted before it has read it back.
    accept_unread,
}
