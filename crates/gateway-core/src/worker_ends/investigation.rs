//! Finds out whether a worker ended, or only the connection to it, after an exchange was left without
//! an answer.
//!
//! Only two things are certain: nothing listens at the worker's address any more, or another process
//! answers there. An answer under the worker's id comes from the same process or from the next one of that
//! id, and decides nothing. A worker that doesn't answer may be behind a cut: it may have ended for as long
//! as its record is present, and counts as ended without.

use std::time::Duration;

use elderworks_types::Timestamp;

use super::exchanges::MAX_END_DELAY;

/// Pause between the probes of a worker that doesn't answer.
const SILENCE_PAUSE: Duration = Duration::from_millis(500);

/// The result of a probe: a question to the process at the worker's address who it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing listens there.
    Refused,
    /// Another process answered.
    Replaced,
    /// A process of the worker's id answered.
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
    /// Its record tells that its process started later.
    Restarted,
}

/// The next step of an investigation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextProbe {
    /// The worker is to be probed after a pause.
    After(Duration),
    /// The worker's fate is settled.
    Settled(Fate),
    /// Probes find out nothing more: a process of the worker's id runs.
    Undecided,
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
            Self::Restarted => "its record tells of a later start",
        }
    }
}

impl Investigation {
    /// Starts the investigation of a worker with which the last exchange broke off at `broke_off`.
    pub fn of_exchange(broke_off: Timestamp) -> Self {
        Self { broke_off }
    }

    /// Returns what follows from the result of a probe. `is_listed` is whether the worker's record is
    /// present.
    pub fn on_finding(&self, now: Timestamp, finding: Finding, is_listed: bool) -> NextProbe {
        match finding {
            Finding::Refused => NextProbe::Settled(Fate::Ended),
            Finding::Replaced => NextProbe::Settled(Fate::Replaced),
            Finding::Answered => {
                let left = MAX_END_DELAY.saturating_sub(now.since(self.broke_off));
                match left.is_zero() {
                    true => NextProbe::Undecided,
                    false => NextProbe::After(left),
                }
            }
            Finding::NoAnswer if !is_listed => NextProbe::Settled(Fate::Vanished),
            Finding::NoAnswer => NextProbe::After(SILENCE_PAUSE),
        }
    }
}
