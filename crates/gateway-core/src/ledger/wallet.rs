//! Tokens that one owner has set aside for a program, and the turns that draw on them.
//!
//! An owner reserves more than one turn needs (an *advance*), so that the next turns of the program
//! need no call to the log. The reservation counts in full until the owner settles it; whoever
//! takes the partition over meanwhile can only be too careful. So an advance that is lost with its
//! owner costs the program tokens, and never gives it any.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

/// An advance without running turns is settled after this long without use.
pub const IDLE_BEFORE_SETTLING: Duration = Duration::from_millis(1_500);

/// A turn that has not been reported as ended for this long counts as run at its most: whoever ran
/// it is gone.
const LONGEST_TURN: Duration = Duration::from_secs(90);

/// A reservation on the log that this owner may spend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advance {
    /// Its name on the log.
    pub id: String,
    /// Its size.
    pub tokens: u64,
}

/// What has been spent of an advance that is to be settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpentAdvance {
    /// Its name on the log.
    pub id: String,
    /// Tokens generated on it.
    pub used: u64,
}

#[derive(Clone, Copy, Debug)]
struct RunningTurn {
    most: u64,
    since: Timestamp,
}

/// A sum of tokens. Callers may name any number, so it stops at the largest.
pub(super) fn total(tokens: impl Iterator<Item = u64>) -> u64 {
    tokens.fold(0, u64::saturating_add)
}

/// Tokens as a signed number.
pub(super) fn signed(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}

/// Advances of one program at one owner.
#[derive(Debug, Default)]
pub struct Wallet {
    advances: Vec<Advance>,
    consumed: u64,
    running: BTreeMap<String, RunningTurn>,
    last_used: Timestamp,
}

impl Wallet {
    /// Tokens that further turns may draw; negative while turns wait for an advance that is being
    /// appended.
    pub fn free(&self) -> i64 {
        let advanced = total(self.advances.iter().map(|advance| advance.tokens));
        signed(advanced).saturating_sub(signed(self.drawn()))
    }

    /// Tokens that ended turns have generated.
    pub fn consumed(&self) -> u64 {
        self.consumed
    }

    /// Tokens of ended turns and the most of running ones.
    pub fn drawn(&self) -> u64 {
        let running = total(self.running.values().map(|turn| turn.most));
        self.consumed.saturating_add(running)
    }

    /// Tokens drawn beyond what is set aside.
    pub fn overdrawn(&self) -> u64 {
        u64::try_from(-self.free()).unwrap_or(0)
    }

    /// Takes an advance in, once.
    pub fn add(&mut self, now: Timestamp, advance: Advance) {
        if !self.advances.iter().any(|known| known.id == advance.id) {
            self.advances.push(advance);
        }
        self.last_used = now;
    }

    /// Whether a turn is running on these advances.
    pub fn is_running(&self, turn: &str) -> bool {
        self.running.contains_key(turn)
    }

    /// Draws the most of a turn.
    pub fn start(&mut self, now: Timestamp, turn: String, most: u64) {
        self.running.insert(turn, RunningTurn { most, since: now });
        self.last_used = now;
    }

    /// Takes back what [`Self::start`] has drawn for a turn that does not run.
    pub fn cancel(&mut self, turn: &str) {
        self.running.remove(turn);
    }

    /// Notes what a turn has generated. A turn that is not running changes nothing.
    pub fn end(&mut self, now: Timestamp, turn: &str, used: u64) {
        if self.running.remove(turn).is_some() {
            self.consumed = self.consumed.saturating_add(used);
        }
        self.last_used = now;
    }

    /// Counts turns at their most whose end was never reported.
    pub fn end_lost_turns(&mut self, now: Timestamp) {
        let lost: Vec<(String, u64)> = self
            .running
            .iter()
            .filter(|(_, turn)| now.since(turn.since) >= LONGEST_TURN)
            .map(|(name, turn)| (name.clone(), turn.most))
            .collect();
        for (turn, most) in lost {
            self.end(now, &turn, most);
        }
    }

    /// Whether no turn is running and none has been for `idle`. A wallet that is overdrawn is not
    /// idle: what was drawn is to be set aside first.
    pub fn is_idle(&self, now: Timestamp, idle: Duration) -> bool {
        let is_resting = self.running.is_empty() && now.since(self.last_used) >= idle;
        is_resting && self.overdrawn() == 0
    }

    /// When an idle wallet was last used.
    pub fn last_used(&self) -> Timestamp {
        self.last_used
    }

    /// Ends the wallet: its advances with what was spent of each.
    pub fn into_spent(self) -> Vec<SpentAdvance> {
        let mut left = self.consumed;
        let last = self.advances.len().saturating_sub(1);
        self.advances
            .into_iter()
            .enumerate()
            .map(|(number, advance)| {
                // A turn that generated more than its most is charged to the last advance.
                let used = if number == last {
                    left
                } else {
                    left.min(advance.tokens)
                };
                left -= used;
                SpentAdvance {
                    id: advance.id,
                    used,
                }
            })
            .collect()
    }
}
