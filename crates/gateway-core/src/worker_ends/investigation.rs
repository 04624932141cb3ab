//! Finds out whether a worker ended, or only the connection to it, after an exchange was left without
//! an answer.
//!
//! Only three things are certain: nothing listens at the worker's address any more, another process
//! answers there, or the worker itself does. That it did so right after the exchange is not enough, since
//! a process that ends may close its sockets one after another. A worker that doesn't answer may be
//! behind a cut: it may have ended for as long as its record is present, and counts as ended without.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Time after an exchange from which an answer of the worker shows that it outlived the exchange.
pub const MAX_END_DELAY: Duration = Duration::from_millis(800);

/// Pause between the probes of a worker that doesn't answer.
const SILENCE_PAUSE: Duration = Duration::from_millis(500);

/// The result of a probe: a question to the process at the worker's address who it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing listens there.
    Refused,
    /// Another process answered.
    Replaced,
    /// The worker answered.
    Answered,
    /// Nothing came back.
    NoAnswer,
}

/// What became of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Nothing listens at its address: its process has ended.
    Ended,
    /// Another process listens at its address: its own has ended.
    Replaced,
    /// It doesn't answer and its record is gone. The record comes back if the worker was only cut off.
    Vanished,
    /// Its process outlived the exchange.
    Alive,
}

/// The next step of an investigation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextProbe {
    /// The worker is to be probed after a pause.
    After(Duration),
    /// The worker's fate is settled.
    Settled(Fate),
}

/// An investigation of one worker.
#[derive(Clone, Copy, Debug)]
pub struct Investigation {
    broke_off: Timestamp,
}

impl Fate {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "refuses connections",
            Self::Replaced => "another process answers at its address",
            Self::Vanished => "silent, and its record is gone",
            Self::Alive => "runs",
        }
    }
}

impl Investigation {
    /// Starts the investigation of a worker with which the last exchange broke off at `broke_off`.
    pub fn of_exchange(broke_off: Timestamp) -> Self {
        Self { broke_off }
    }

    /// Returns whether a worker outlived the exchange, given when it last answered this node.
    pub fn is_outlived(&self, last_answer: Option<Timestamp>) -> bool {
        last_answer.is_some_and(|at| at >= self.broke_off + MAX_END_DELAY)
    }

    /// Returns what follows from the result of a probe. `is_listed` is whether the worker's record is
    /// present.
    pub fn on_finding(&self, now: Timestamp, finding: Finding, is_listed: bool) -> NextProbe {
        match finding {
            Finding::Refused => NextProbe::Settled(Fate::Ended),
            Finding::Replaced => NextProbe::Settled(Fate::Replaced),
            Finding::Answered if self.is_outlived(Some(now)) => NextProbe::Settled(Fate::Alive),
            Finding::Answered => {
                let elapsed = now.since(self.broke_off);
                NextProbe::After(MAX_END_DELAY.saturating_sub(elapsed))
            }
            Finding::NoAnswer if !is_listed => NextProbe::Settled(Fate::Vanished),
            Finding::NoAnswer => NextProbe::After(SILENCE_PAUSE),
        }
    }
}
