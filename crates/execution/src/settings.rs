//! Settings of a partition: limits, delays and injected faults.

use std::time::Duration;

use elderworks_types::Credits;

/// Settings of a partition: limits, delays and injected faults.
#[derive(Clone, Debug)]
pub struct ExecutionSettings {
    /// Maximum number of attempts per call, including the first.
    pub max_attempts: u32,
    /// Retries permitted per hundred first attempts, in addition to [`Self::retry_burst`].
    pub retry_percent: u32,
    /// Initial number of permitted retries.
    pub retry_burst: u32,
    /// Delay before the first retry; doubles with each further retry.
    pub retry_backoff: Duration,
    /// Maximum delay between two attempts.
    pub retry_backoff_limit: Duration,
    /// Maximum time for which the retry of a call that may have run is postponed for lack of retry
    /// budget or allotment. After that the call fails.
    pub retry_wait: Duration,
    /// Same for a call that is known not to have run. After that the call is refused.
    pub not_run_retry_wait: Duration,
    /// Maximum number of calls of one run that wait for earlier calls.
    pub max_waiting_per_run: usize,
    /// Maximum number of waiting and open calls of the partition.
    pub max_open_calls: usize,
    /// Maximum time for which a call waits for an earlier call that hasn't arrived.
    pub earlier_call_wait: Duration,
    /// If a call's record takes longer than this to be read back, the call is refused instead of
    /// sent.
    pub withdraw_after: Duration,
    /// Maximum time for which a call waits for its tenant's allotment.
    pub allotment_wait: Duration,
    /// Minimum size of a requested allotment, so that most calls don't have to wait for one.
    pub allotment_size: Credits,
    /// Interval at which an unanswered request for an allotment is repeated.
    pub allotment_interval: Duration,
    /// How long a new owner waits for a caller to resubmit a call with the text that it has already
    /// received, before the call is run from the start.
    pub resubmission_wait: Duration,
    /// Added to an attempt's timeout before the partition treats the attempt as lost.
    pub timeout_grace: Duration,
    /// Maximum time for which open calls delay a release of the partition.
    pub release_wait: Duration,
    /// Delay before a release of engine memory is repeated; doubles with each repetition.
    pub memory_backoff: Duration,
    /// Maximum delay between two releases of the same memory.
    pub memory_backoff_limit: Duration,
    /// How long an ended run is kept for readers.
    pub retain_ended: Duration,
    /// Maximum number of ended runs kept for readers; the oldest are removed first.
    pub max_ended_runs: usize,
    /// Maximum number of calls whose notes are kept for `explain`.
    pub max_call_notes: usize,
    /// Number of records after which the owner takes a snapshot.
    pub snapshot_interval: u64,
    /// Fault injection; all faults are off by default.
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
            not_run_retry_wait: Duration::from_secs(3),
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
        /// Faults that can be injected into a partition or its node to test that checkers detect
        /// them. They can be enabled only with the cargo feature `broken`.
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
    /// Records of older epochs and of other writers are applied, and a later claim doesn't end the
    /// ownership.
    no_fencing,
    /// Repeated appends are applied again.
    no_dedup,
    /// Calls and attempts reserve no credits.
    no_reservation,
    /// A release of engine memory is sent once and assumed to have been acknowledged.
    release_not_retried,
    /// A new owner resends attempts that the previous owner may have sent.
    resend_after_takeover,
    /// A call that was sent and lost is reported as refused, as if it had not run.
    refuse_after_dispatch,
    /// Prompts are built from the history of the partition's first run.
    mix_histories,
    /// Prompts contain only the call's own messages.
    forget_history,
    /// Tool calls are sent on arrival, without waiting for earlier calls.
    dispatch_before_turn,
    /// An answer continued after a lost attempt is reported without the part before it.
    omit_continued_text,
    /// A new owner ignores the open calls of the previous owner.
    abandon_open_calls,
    /// Refusals don't say when to retry.
    no_retry_after,
    /// The node sends calls to engines that are leaving.
    ignore_leaving,
    /// The node exits immediately when asked to drain.
    drain_at_once,
    /// The node reports an operator's change as accepted before reading it back.
    accept_unread,
}
