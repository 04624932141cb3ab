//! Overdrafts of owners that no longer act for a partition: were they used?
//!
//! The owner that now acts asks the witnesses to fence such an overdraft. A majority that does
//! proves that it was never used and never will be, so it can be closed. Otherwise it counts until
//! it is too old to be used.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_protocol::ledger::WitnessAnswer;
use elderworks_types::Timestamp;

use super::LedgerState;
use super::overdraft::majority;

/// Pause after the first round of questions about one overdraft; doubled with each further one.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// Most doublings of that pause.
const MOST_DOUBLINGS: u32 = 5;

/// What is known of one overdraft of another owner.
#[derive(Debug, Default)]
pub(super) struct Fencing {
    overdraft: String,
    fenced: BTreeSet<u64>,
    /// Whether a witness knows that it is used, or was.
    is_used: bool,
    /// When the witnesses were asked for the first and for the last time.
    first_asked: Option<Timestamp>,
    last_asked: Option<Timestamp>,
    rounds: u32,
}

impl Fencing {
    /// The overdraft whose witnesses are to be asked now, if any.
    pub(super) fn next_question(
        &mut self,
        now: Timestamp,
        state: &LedgerState,
        is_own: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let (name, _) = state.overdrafts().find(|(name, _)| !is_own(name))?;
        if self.overdraft != name {
            *self = Self {
                overdraft: name.to_owned(),
                ..Self::default()
            };
        }
        if self.next_round(state).is_none_or(|from| from > now) {
            return None;
        }
        self.first_asked.get_or_insert(now);
        self.last_asked = Some(now);
        self.rounds += 1;
        Some(self.overdraft.clone())
    }

    /// When the witnesses of the overdraft looked at last are to be asked again; `None` if it is
    /// known whether it was used, or it is closed.
    pub(super) fn next_round(&self, state: &LedgerState) -> Option<Timestamp> {
        let is_open = state.overdrafts().any(|(name, _)| name == self.overdraft);
        if !is_open || self.is_used || self.unused(state).is_some() {
            return None;
        }
        let Some(last) = self.last_asked else {
            return Some(Timestamp::default());
        };
        let doublings = self.rounds.saturating_sub(1).min(MOST_DOUBLINGS);
        Some(last + ROUND_PAUSE * 2_u32.pow(doublings))
    }

    /// Takes a witness's answer.
    pub(super) fn on_answer(&mut self, overdraft: &str, boot: u64, answer: WitnessAnswer) {
        if overdraft != self.overdraft {
            return;
        }
        match answer {
            WitnessAnswer::Fenced => {
                self.fenced.insert(boot);
            }
            WitnessAnswer::Activated => self.is_used = true,
            WitnessAnswer::Unknown => {}
        }
    }

    /// An overdraft that the log still holds and that is surely unused.
    pub(super) fn unused(&self, state: &LedgerState) -> Option<&str> {
        let (name, overdraft) = state
            .overdrafts()
            .find(|(name, _)| *name == self.overdraft)?;
        let is_listed = |boot: &u64| overdraft.witnesses.iter().any(|w| w.boot == *boot);
        let fenced = self.fenced.iter().filter(|boot| is_listed(boot)).count();
        let is_unused = fenced >= majority(overdraft.witnesses.len());
        is_unused.then_some(name).map(|_| self.overdraft.as_str())
    }

    /// Whether it may soon turn out that another owner's overdraft is unused. Witnesses that do not
    /// answer the first questions are taken to be lost, though they are asked again.
    pub(super) fn is_undecided(&self, now: Timestamp) -> bool {
        is_recent(now, self.first_asked) && !self.is_used
    }
}

fn is_recent(now: Timestamp, asked: Option<Timestamp>) -> bool {
    asked.is_some_and(|asked| now.since(asked) < ROUND_PAUSE)
}
