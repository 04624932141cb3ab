//! An owner's overdraft: leave to let turns run before the log holds their tokens.
//!
//! In calm times it stands in the log unused. When calls to the log are slow or fail, the owner
//! activates it at a majority of its witnesses and draws on it. Once the log works again, the owner
//! records what was drawn, closes the overdraft and opens another. An owner that is lost leaves its
//! overdraft open; others charge it to every program until it is known to be unused
//! ([`super::fencing`]) or so old that nobody can use it.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_protocol::ledger::{Witness, WitnessAnswer};
use elderworks_types::{Offset, Timestamp};

use super::LedgerState;
use super::state::OVERDRAFT_RETENTION;

/// Most witnesses of one overdraft.
pub const MOST_WITNESSES: usize = 5;

/// Fewest witnesses: with fewer, the loss of one would leave an overdraft in doubt.
pub const FEWEST_WITNESSES: usize = 2;

/// A call to the log that takes longer is not waited for if an overdraft can be used.
pub const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(40);

/// The log has answered fast for this long before an overdraft that was used is replaced.
const CALM: Duration = Duration::from_secs(1);

/// An owner may use its overdraft for this long after the last answer of the log. Others count on
/// its use four times as long, so clocks may run at rates that differ much.
const LONGEST_USE: Duration = Duration::from_secs(OVERDRAFT_RETENTION.as_secs() / 4);

/// Pause after witnesses could not be reached.
const ACTIVATION_PAUSE: Duration = Duration::from_millis(500);

/// Name of the owner that made a reservation or an overdraft.
pub(super) fn owner_of(name: &str) -> &str {
    name.rsplit_once('/').map_or(name, |(owner, _)| owner)
}

/// How many of `count` witnesses are a majority.
pub(super) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// What an owner's overdraft is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdraftStatus {
    /// The log is not known to hold one.
    None,
    /// It stands in the log unused.
    Standing,
    /// Witnesses are being asked.
    Activating,
    /// Turns may run on it while the log is in trouble.
    Active,
    /// It is being closed.
    Closing,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Mode {
    /// The log is not known to hold one.
    None,
    /// The log holds one; no witness has been asked.
    Standing { name: String },
    /// Witnesses have been asked.
    Activating {
        name: String,
        activated: BTreeSet<u64>,
        missing: usize,
        needed: usize,
    },
    /// Turns may run on it while the log is in trouble.
    Active { name: String },
    /// An append that closes it is under way at this offset, or in doubt.
    Closing {
        name: String,
        at: Offset,
        was_active: bool,
    },
}

/// The overdraft of this owner.
#[derive(Debug)]
pub(super) struct OwnOverdraft {
    mode: Mode,
    /// Whether the last calls to the log failed or were slow.
    in_trouble: bool,
    calm_since: Option<Timestamp>,
    last_answer: Timestamp,
    asks_from: Timestamp,
    /// When witnesses were last asked to activate one.
    activated: Timestamp,
}

impl OwnOverdraft {
    pub(super) fn new() -> Self {
        Self {
            mode: Mode::None,
            in_trouble: false,
            calm_since: None,
            last_answer: Timestamp::default(),
            asks_from: Timestamp::default(),
            activated: Timestamp::default(),
        }
    }

    /// Brings the mode in line with the log, which ends at `end`.
    pub(super) fn refresh(
        &mut self,
        state: &LedgerState,
        end: Offset,
        is_own: impl Fn(&str) -> bool,
    ) {
        let held = state.overdrafts().map(|(name, _)| name);
        let held: Vec<&str> = held.filter(|name| is_own(name)).collect();
        let known = match &self.mode {
            Mode::None => None,
            // An append in doubt may be carried out as long as the log ends where it was to go.
            Mode::Closing { at, .. } if *at >= end => return,
            Mode::Closing { name, .. }
            | Mode::Standing { name }
            | Mode::Activating { name, .. }
            | Mode::Active { name } => Some(name.as_str()),
        };
        if let Some(name) = known.filter(|name| held.contains(name)) {
            if let Mode::Closing { was_active, .. } = &self.mode {
                let name = name.to_owned();
                self.mode = match was_active {
                    true => Mode::Active { name },
                    false => Mode::Standing { name },
                };
            }
            return;
        }
        self.mode = match held.first() {
            Some(name) => Mode::Standing {
                name: (*name).to_owned(),
            },
            None => Mode::None,
        };
    }

    /// Notes an answer of the log to a call that took `took`.
    pub(super) fn note_answer(&mut self, now: Timestamp, took: Duration) {
        self.last_answer = now;
        if took >= SLOW_CALL_THRESHOLD {
            self.note_trouble();
            return;
        }
        self.in_trouble = false;
        self.calm_since.get_or_insert(now);
    }

    /// Notes that a call has failed or takes long.
    pub(super) fn note_trouble(&mut self) {
        self.in_trouble = true;
        self.calm_since = None;
    }

    /// Whether the last calls to the log failed or were slow.
    pub(super) fn is_in_trouble(&self) -> bool {
        self.in_trouble
    }

    /// What it is good for.
    pub(super) fn present_use(&self) -> OverdraftStatus {
        match self.mode {
            Mode::None => OverdraftStatus::None,
            Mode::Standing { .. } => OverdraftStatus::Standing,
            Mode::Activating { .. } => OverdraftStatus::Activating,
            Mode::Active { .. } => OverdraftStatus::Active,
            Mode::Closing { .. } => OverdraftStatus::Closing,
        }
    }

    /// Whether turns may run on it now.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        let is_active = matches!(self.mode, Mode::Active { .. });
        let is_fresh = now.since(self.last_answer) < LONGEST_USE && !self.is_old(now);
        is_active && self.in_trouble && is_fresh
    }

    /// Whether its witnesses may soon forget that it was activated.
    fn is_old(&self, now: Timestamp) -> bool {
        now.since(self.activated) >= OVERDRAFT_RETENTION
    }

    /// Begins to activate it if the log is in trouble; returns its name if its witnesses are to be
    /// asked.
    pub(super) fn activate(&mut self, now: Timestamp, witnesses: &[Witness]) -> Option<String> {
        let Mode::Standing { name } = &self.mode else {
            return None;
        };
        if !self.in_trouble || now < self.asks_from {
            return None;
        }
        let name = name.clone();
        self.activated = now;
        self.mode = Mode::Activating {
            name: name.clone(),
            activated: BTreeSet::new(),
            missing: witnesses.len(),
            needed: majority(witnesses.len()),
        };
        Some(name)
    }

    /// Whether witnesses are being asked.
    pub(super) fn is_activating(&self) -> bool {
        matches!(self.mode, Mode::Activating { .. })
    }

    /// Takes the answer of a witness, or notes that none came. Tells whether the activation has
    /// ended, either way.
    pub(super) fn on_answer(
        &mut self,
        now: Timestamp,
        overdraft: &str,
        boot: u64,
        answer: Option<WitnessAnswer>,
    ) -> bool {
        let Mode::Activating {
            name,
            activated,
            missing,
            needed,
        } = &mut self.mode
        else {
            return false;
        };
        if name != overdraft {
            return false;
        }
        *missing = missing.saturating_sub(1);
        if answer == Some(WitnessAnswer::Activated) {
            activated.insert(boot);
        }
        let name = name.clone();
        if activated.len() >= *needed {
            self.mode = Mode::Active { name };
            return true;
        }
        if *missing > 0 {
            return false;
        }
        self.mode = Mode::Standing { name };
        self.asks_from = now + ACTIVATION_PAUSE;
        true
    }

    /// The overdraft to close in an append that records all that was drawn, if its time has come:
    /// it was used and the log is calm again or its witnesses may soon forget it, or `is_unwanted`.
    pub(super) fn to_close(&self, now: Timestamp, is_unwanted: bool) -> Option<&str> {
        let is_calm = self
            .calm_since
            .is_some_and(|since| now.since(since) >= CALM);
        match &self.mode {
            Mode::Standing { name } if is_unwanted => Some(name),
            Mode::Active { name } if is_calm && !self.in_trouble => Some(name),
            Mode::Active { name } if self.is_old(now) => Some(name),
            _ => None,
        }
    }

    /// When [`Self::to_close`] will have something for an overdraft that was used.
    pub(super) fn closes_from(&self) -> Option<Timestamp> {
        let is_active = matches!(self.mode, Mode::Active { .. });
        let since = self.calm_since.filter(|_| is_active && !self.in_trouble);
        since.map(|since| since + CALM)
    }

    /// An append at `at` closes it: nothing may be drawn until that is known to have failed.
    pub(super) fn begin_closing(&mut self, at: Offset) {
        let (name, was_active) = match &self.mode {
            Mode::Standing { name } => (name.clone(), false),
            Mode::Active { name } => (name.clone(), true),
            _ => return,
        };
        self.mode = Mode::Closing {
            name,
            at,
            was_active,
        };
    }

    /// The append that was to close it has surely done nothing.
    pub(super) fn abort_closing(&mut self) {
        let Mode::Closing {
            name, was_active, ..
        } = &self.mode
        else {
            return;
        };
        let name = name.clone();
        self.mode = match was_active {
            true => Mode::Active { name },
            false => Mode::Standing { name },
        };
    }
}
