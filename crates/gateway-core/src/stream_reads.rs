//! When a follower of a stream reads next, and how long a read may hang.
//!
//! A read that waits for news may be lost on the way, and nothing but a time-out shows it. Until
//! then the follower learns nothing, so this bounds how late a change is learned.

use std::time::Duration;

use crate::log_streams::Stream;

/// Share of the time within which news must be acted on for which one read waits for them. A lost
/// read and a first one after it that is lost too take this and the next two shares, four fifths
/// together; the rest is for the pauses and for a third read.
const WAIT_SHARE: f64 = 0.3;

/// Share of that time for the answer beyond the wait.
const ANSWER_SHARE: f64 = 0.2;

/// Share of that time for the answer to a read that only asks for what there is, after a first
/// failure.
const RECOVERY_SHARE: f64 = 0.3;

/// A log that answers late is given this many times as long once it has failed again.
const MOST_PATIENCE: u32 = 2;

/// Longest wait of one read for news, however much time there is.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Times of a read of the nodes' entries, which gossip makes less urgent.
const NODES_TIMES: ReadTimeouts = ReadTimeouts {
    wait: Duration::from_secs(4),
    answer: LONGEST_ANSWER,
};

/// Longest wait for an answer beyond the wait for news.
const LONGEST_ANSWER: Duration = Duration::from_millis(1_200);

/// Longest wait for the answer to a read after a first failure.
const LONGEST_RECOVERY: Duration = Duration::from_millis(600);

/// Shortest of these times, however little time there is: some round trips to a busy log.
const SHORTEST: Duration = Duration::from_millis(100);

/// Pause after a read that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Share of the time within which a draining worker must be left alone that passes between two
/// reads of the workers' stream, which has a record for every heartbeat.
const WORKERS_PAUSE_SHARE: f64 = 0.3;

/// Longest pause between two reads of the workers' stream, however long workers drain.
const LONGEST_WORKERS_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two reads of the nodes' stream: the entries of nodes that start together come in a few
/// reads, not in one for each. Who lives is told by gossip meanwhile.
const NODES_PAUSE: Duration = Duration::from_millis(250);

/// How soon news of the streams must be acted on, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateDeadlines {
    /// Time within which a configuration must be in force.
    pub apply: Duration,
    /// Time within which a draining worker must be left alone.
    pub drain: Duration,
}

/// How one read is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimeouts {
    /// How long the log waits for news before it answers that there are none.
    pub wait: Duration,
    /// Longest wait for the answer beyond that.
    pub answer: Duration,
}

impl ReadTimeouts {
    /// For a read that only asks for what there is.
    pub fn immediate(answer: Duration) -> Self {
        Self {
            wait: Duration::ZERO,
            answer,
        }
    }
}

/// The reads of one stream's follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamReadSchedule {
    news: ReadTimeouts,
    recovery: Duration,
    pause: Duration,
    failures: u32,
}

impl StreamReadSchedule {
    /// Nothing was read yet.
    pub fn new(stream: Stream, deadlines: &UpdateDeadlines) -> Self {
        let (news, recovery) = match stream {
            Stream::Configuration => times_within(deadlines.apply),
            Stream::Workers => times_within(deadlines.drain),
            Stream::Nodes | Stream::Ledger(_) => (NODES_TIMES, LONGEST_RECOVERY),
        };
        let pause = match stream {
            Stream::Workers => workers_pause(deadlines.drain),
            Stream::Nodes => NODES_PAUSE,
            Stream::Configuration | Stream::Ledger(_) => Duration::ZERO,
        };
        Self {
            news,
            recovery,
            pause,
            failures: 0,
        }
    }

    /// How the next read is made.
    pub fn next_read(&self) -> ReadTimeouts {
        match self.failures {
            0 => self.news,
            failures => ReadTimeouts::immediate(self.recovery * failures.min(MOST_PATIENCE)),
        }
    }

    /// Notes that a read was answered. Returns how many had failed in a row before it.
    pub fn note_answer(&mut self) -> u32 {
        std::mem::take(&mut self.failures)
    }

    /// Notes that a read was refused or not answered in time. Returns how many have failed in a row.
    pub fn note_failure(&mut self) -> u32 {
        self.failures = self.failures.saturating_add(1);
        self.failures
    }

    /// Pause before the next read.
    pub fn pause(&self) -> Duration {
        match self.failures {
            0 => self.pause,
            _ => FAILURE_PAUSE,
        }
    }
}

fn workers_pause(drain: Duration) -> Duration {
    let share = drain.mul_f64(WORKERS_PAUSE_SHARE);
    share.min(LONGEST_WORKERS_PAUSE)
}

/// Times of a read that waits for news which must be acted on within `deadline`, and the longest wait
/// for the answer to a read after a first failure.
fn times_within(deadline: Duration) -> (ReadTimeouts, Duration) {
    let part = |share: f64, longest| deadline.mul_f64(share).clamp(SHORTEST, longest);
    let news = ReadTimeouts {
        wait: part(WAIT_SHARE, LONGEST_WAIT),
        answer: part(ANSWER_SHARE, LONGEST_ANSWER),
    };
    (news, part(RECOVERY_SHARE, LONGEST_RECOVERY))
}
