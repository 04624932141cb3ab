//! Timing of the reads of a stream's follower.
//!
//! A long-polling read may be lost on the way, which only a timeout reveals. Until then the
//! follower receives nothing, so the timeout bounds the delay of updates.

use std::time::Duration;

use crate::log_streams::Stream;

/// Fraction of the update deadline for which one read waits for updates. A lost read takes the
/// first two fractions, and a lost retry the third one: four fifths of the deadline in total. The
/// rest is for the delays between reads and for another retry.
const WAIT_FRACTION: f64 = 0.3;

/// Fraction of the update deadline that is allowed for the answer in addition to the wait.
const ANSWER_FRACTION: f64 = 0.2;

/// Fraction of the update deadline that is allowed for the answer to a non-waiting read after a
/// first failure.
const RECOVERY_FRACTION: f64 = 0.3;

/// Maximum factor by which the timeout grows with repeated failures, for a log that answers slowly.
const MAX_BACKOFF_FACTOR: u32 = 2;

/// Maximum time for which one read waits for updates.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Timeouts of reads of the node entries, which are less urgent because of gossip.
const NODES_TIMEOUTS: ReadTimeouts = ReadTimeouts {
    wait: Duration::from_secs(4),
    answer: MAX_ANSWER,
};

/// Maximum time allowed for the answer in addition to the wait.
const MAX_ANSWER: Duration = Duration::from_millis(1_200);

/// Maximum time allowed for the answer to a read after a first failure.
const MAX_RECOVERY: Duration = Duration::from_millis(600);

/// Minimum of the derived times, regardless of the deadline: several round trips to a busy log.
const MIN_TIME: Duration = Duration::from_millis(100);

/// Delay after a failed read.
const FAILURE_DELAY: Duration = Duration::from_millis(150);

/// Delay between two reads of the workers' stream, as a fraction of the drain deadline. The stream
/// has a record for every heartbeat, so the delay batches them.
const WORKERS_DELAY_FRACTION: f64 = 0.3;

/// Maximum delay between two reads of the workers' stream.
const MAX_WORKERS_DELAY: Duration = Duration::from_secs(1);

/// Delay between two reads of the nodes' stream, so that the entries of nodes that start together
/// arrive in few reads. Gossip reports which nodes are alive until then.
const NODES_DELAY: Duration = Duration::from_millis(250);

/// Deadlines for acting on updates, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateDeadlines {
    /// Maximum time until a new configuration is in effect.
    pub apply: Duration,
    /// Maximum time until a draining worker receives no more requests.
    pub drain: Duration,
}

/// Time limits of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimeouts {
    /// How long the log waits for updates before it returns none.
    pub wait: Duration,
    /// Maximum time until the answer, in addition to the wait.
    pub answer: Duration,
}

impl ReadTimeouts {
    /// Creates the limits of a read that returns existing records without waiting.
    pub fn immediate(answer: Duration) -> Self {
        Self {
            wait: Duration::ZERO,
            answer,
        }
    }
}

/// Determines timeouts and delays of the reads of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamReadSchedule {
    updates: ReadTimeouts,
    recovery: Duration,
    pause: Duration,
    failures: u32,
}

impl StreamReadSchedule {
    /// Creates a schedule for `stream`, before the first read.
    pub fn new(stream: Stream, deadlines: &UpdateDeadlines) -> Self {
        let (updates, recovery) = match stream {
            Stream::Configuration => timeouts_within(deadlines.apply),
            Stream::Workers => timeouts_within(deadlines.drain),
            Stream::Nodes
            | Stream::QuotaUse
            | Stream::Versions
            | Stream::RequestEnds
            | Stream::Ledger(_) => (NODES_TIMEOUTS, MAX_RECOVERY),
        };
        let pause = match stream {
            Stream::Workers => workers_delay(deadlines.drain),
            Stream::Nodes => NODES_DELAY,
            Stream::Configuration
            | Stream::QuotaUse
            | Stream::Versions
            | Stream::RequestEnds
            | Stream::Ledger(_) => Duration::ZERO,
        };
        Self {
            updates,
            recovery,
            pause,
            failures: 0,
        }
    }

    /// Returns the time limits of the next read.
    pub fn next_read(&self) -> ReadTimeouts {
        match self.failures {
            0 => self.updates,
            failures => ReadTimeouts::immediate(self.recovery * failures.min(MAX_BACKOFF_FACTOR)),
        }
    }

    /// Records an answered read. Returns the number of consecutive failures before it.
    pub fn note_answer(&mut self) -> u32 {
        std::mem::take(&mut self.failures)
    }

    /// Records a read that was refused or timed out. Returns the number of consecutive failures.
    pub fn note_failure(&mut self) -> u32 {
        self.failures = self.failures.saturating_add(1);
        self.failures
    }

    /// Returns the delay before the next read.
    pub fn pause(&self) -> Duration {
        match self.failures {
            0 => self.pause,
            _ => FAILURE_DELAY,
        }
    }
}

fn workers_delay(drain: Duration) -> Duration {
    let delay = drain.mul_f64(WORKERS_DELAY_FRACTION);
    delay.min(MAX_WORKERS_DELAY)
}

/// Returns the time limits of a read that waits for updates with the given deadline, and the time
/// allowed for the answer to a read after a first failure.
fn timeouts_within(deadline: Duration) -> (ReadTimeouts, Duration) {
    let part = |fraction: f64, max| deadline.mul_f64(fraction).clamp(MIN_TIME, max);
    let updates = ReadTimeouts {
        wait: part(WAIT_FRACTION, MAX_WAIT),
        answer: part(ANSWER_FRACTION, MAX_ANSWER),
    };
    (updates, part(RECOVERY_FRACTION, MAX_RECOVERY))
}
