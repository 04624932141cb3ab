//! State of an owner's overdraft, which permits turns to run before the log holds a reservation for
//! their tokens.
//!
//! While the log answers promptly, the overdraft is open in the log but unused. When calls to the
//! log are slow or fail, the owner activates the overdraft at a majority of its witnesses and draws
//! on it. After the log has recovered, the owner records what was drawn, closes the overdraft and
//! opens another one. If an owner is lost, its overdraft stays open. Other owners then charge it to
//! every program until it proves unused (see [`super::fencing`]) or expires.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_protocol::ledger::{Witness, WitnessAnswer};
use elderworks_types::{Offset, Timestamp};

use super::LedgerState;
use super::state::OVERDRAFT_RETENTION;

/// Maximum number of witnesses of one overdraft.
pub const MAX_WITNESSES: usize = 5;

/// Minimum number of witnesses of one overdraft. With fewer, the loss of a single witness would
/// leave it undecided whether the overdraft was used.
pub const MIN_WITNESSES: usize = 2;

/// Calls to the log that take longer count as slow: turns draw on an active overdraft in place of
/// waiting for them.
pub const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(40);

/// How long the log must have answered promptly before a used overdraft is replaced.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// How long an owner may use its overdraft after the last answer of the log. Other owners reckon
/// with its use for four times as long, which tolerates clocks that run at different rates.
const MAX_USE_WITHOUT_ANSWER: Duration = Duration::from_secs(OVERDRAFT_RETENTION.as_secs() / 4);

/// Delay before the next activation attempt after too few witnesses answered.
const ACTIVATION_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns the owner part of the name of a reservation or overdraft.
pub(super) fn owner_of(name: &str) -> &str {
    name.rsplit_once('/').map_or(name, |(owner, _)| owner)
}

/// Returns the size of a majority of `count` witnesses.
pub(super) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// State of an owner's overdraft, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdraftStatus {
    /// No overdraft is known to be open in the log.
    None,
    /// Open in the log, not activated.
    Standing,
    /// Witnesses have been asked to activate it.
    Activating,
    /// Activated: turns may draw on it while the log is slow or fails.
    Active,
    /// An append that closes it is in progress or unsettled.
    Closing,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Mode {
    /// No overdraft is known to be open in the log.
    None,
    /// Open in the log; no witness has been asked.
    Standing { name: String },
    /// Witnesses have been asked to activate it: `outstanding` of them have not answered, and
    /// `needed` must agree.
    Activating {
        name: String,
        activated: BTreeSet<u64>,
        outstanding: usize,
        needed: usize,
    },
    /// Activated: turns may draw on it while the log is slow or fails.
    Active { name: String },
    /// An append at offset `at` that closes it is in progress or unsettled.
    Closing {
        name: String,
        at: Offset,
        was_active: bool,
    },
}

/// The overdraft of this owner and the condition of the log as this owner observes it.
#[derive(Debug)]
pub(super) struct OwnOverdraft {
    mode: Mode,
    /// Whether the latest call to the log failed or was slow.
    is_degraded: bool,
    /// Since when all answers were prompt.
    responsive_since: Option<Timestamp>,
    last_answer: Timestamp,
    /// Earliest time of the next activation attempt.
    retry_at: Timestamp,
    activation_started: Timestamp,
}

impl OwnOverdraft {
    pub(super) fn new() -> Self {
        Self {
            mode: Mode::None,
            is_degraded: false,
            responsive_since: None,
            last_answer: Timestamp::default(),
            retry_at: Timestamp::default(),
            activation_started: Timestamp::default(),
        }
    }

    /// Synchronizes the state with the log, which ends at `end`.
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
            // An unsettled append may still take effect while the log ends at its offset.
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

    /// Records an answer of the log after `took`.
    pub(super) fn record_answer(&mut self, now: Timestamp, took: Duration) {
        self.last_answer = now;
        if took >= SLOW_CALL_THRESHOLD {
            self.record_degraded();
            return;
        }
        self.is_degraded = false;
        self.responsive_since.get_or_insert(now);
    }

    /// Records a failed or slow call.
    pub(super) fn record_degraded(&mut self) {
        self.is_degraded = true;
        self.responsive_since = None;
    }

    /// Returns whether the latest call to the log failed or was slow.
    pub(super) fn is_log_degraded(&self) -> bool {
        self.is_degraded
    }

    /// Returns the state of the overdraft.
    pub(super) fn status(&self) -> OverdraftStatus {
        match self.mode {
            Mode::None => OverdraftStatus::None,
            Mode::Standing { .. } => OverdraftStatus::Standing,
            Mode::Activating { .. } => OverdraftStatus::Activating,
            Mode::Active { .. } => OverdraftStatus::Active,
            Mode::Closing { .. } => OverdraftStatus::Closing,
        }
    }

    /// Returns whether turns may draw on the overdraft now.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        let is_active = matches!(self.mode, Mode::Active { .. });
        let is_current =
            now.since(self.last_answer) < MAX_USE_WITHOUT_ANSWER && !self.is_expiring(now);
        is_active && self.is_degraded && is_current
    }

    /// Returns whether witnesses may soon forget the activation.
    fn is_expiring(&self, now: Timestamp) -> bool {
        now.since(self.activation_started) >= OVERDRAFT_RETENTION
    }

    /// Starts the activation if the log is slow or fails. Returns the name of the overdraft if its
    /// witnesses must be asked.
    pub(super) fn activate(&mut self, now: Timestamp, witnesses: &[Witness]) -> Option<String> {
        let Mode::Standing { name } = &self.mode else {
            return None;
        };
        if !self.is_degraded || now < self.retry_at {
            return None;
        }
        let name = name.clone();
        self.activation_started = now;
        self.mode = Mode::Activating {
            name: name.clone(),
            activated: BTreeSet::new(),
            outstanding: witnesses.len(),
            needed: majority(witnesses.len()),
        };
        Some(name)
    }

    /// Returns whether an activation is in progress.
    pub(super) fn is_activating(&self) -> bool {
        matches!(self.mode, Mode::Activating { .. })
    }

    /// Records the answer of a witness, or `None` if it did not answer. Returns whether this
    /// completes the activation, successful or not.
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
            outstanding,
            needed,
        } = &mut self.mode
        else {
            return false;
        };
        if name != overdraft {
            return false;
        }
        *outstanding = outstanding.saturating_sub(1);
        if answer == Some(WitnessAnswer::Activated) {
            activated.insert(boot);
        }
        let name = name.clone();
        if activated.len() >= *needed {
            self.mode = Mode::Active { name };
            return true;
        }
        if *outstanding > 0 {
            return false;
        }
        self.mode = Mode::Standing { name };
        self.retry_at = now + ACTIVATION_RETRY_DELAY;
        true
    }

    /// Returns the overdraft to close with an append that also records everything drawn on it. It
    /// is closed if it was used and the log has recovered, if its witnesses may soon forget the
    /// activation, or if it is unused and `is_unwanted`.
    pub(super) fn overdraft_to_close(&self, now: Timestamp, is_unwanted: bool) -> Option<&str> {
        let has_recovered = self
            .responsive_since
            .is_some_and(|since| now.since(since) >= RECOVERY_TIME);
        match &self.mode {
            Mode::Standing { name } if is_unwanted => Some(name),
            Mode::Active { name } if has_recovered && !self.is_degraded => Some(name),
            Mode::Active { name } if self.is_expiring(now) => Some(name),
            _ => None,
        }
    }

    /// Returns when [`Self::overdraft_to_close`] will return an active overdraft, provided that the log keeps
    /// answering promptly.
    pub(super) fn closing_due_at(&self) -> Option<Timestamp> {
        let is_active = matches!(self.mode, Mode::Active { .. });
        let since = self
            .responsive_since
            .filter(|_| is_active && !self.is_degraded);
        since.map(|since| since + RECOVERY_TIME)
    }

    /// Marks the overdraft as being closed by an append at `at`. It must not be drawn on until that
    /// append is known to have failed.
    pub(super) fn start_closing(&mut self, at: Offset) {
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

    /// Reverts [`Self::start_closing`] after the append is known to have had no effect.
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
