//! Overdrafts of owners that no longer act for a partition: were they used?
//!
//! The owner that now acts asks the witnesses to fence each of them. A majority that does proves
//! that the overdraft was never used and never will be, so it can be closed. Otherwise it counts
//! until it is too old to be used.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_protocol::ledger::WitnessAnswer;
use elderworks_types::Timestamp;

use super::LedgerState;
use super::overdraft::majority;

/// Pause after the first round of questions about one overdraft; doubled with each further one.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// Most doublings of that pause.
const MOST_DOUBLINGS: u32 = 5;

/// What the witnesses of one overdraft have answered.
#[derive(Debug, Default)]
struct FencingStatus {
    fenced: BTreeSet<u64>,
    /// Whether a witness knows that it is used, or was.
    is_used: bool,
    /// When the witnesses were asked for the first and for the last time.
    first_asked: Option<Timestamp>,
    last_asked: Option<Timestamp>,
    rounds: u32,
}

impl FencingStatus {
    /// When the witnesses are to be asked again.
    fn next_round(&self) -> Timestamp {
        let Some(last) = self.last_asked else {
            return Timestamp::default();
        };
        let doublings = self.rounds.saturating_sub(1).min(MOST_DOUBLINGS);
        last + ROUND_PAUSE * 2_u32.pow(doublings)
    }

    fn note_asked(&mut self, now: Timestamp) {
        self.first_asked.get_or_insert(now);
        self.last_asked = Some(now);
        self.rounds += 1;
    }

    /// Whether it may soon turn out that the overdraft is unused. Witnesses that do not answer the
    /// first questions are taken to be lost, though they are asked again.
    fn is_undecided(&self, now: Timestamp) -> bool {
        let is_recent = |asked: Timestamp| now.since(asked) < ROUND_PAUSE;
        !self.is_used && self.first_asked.is_none_or(is_recent)
    }
}

/// What is known of the open overdrafts of other owners, by name.
#[derive(Debug, Default)]
pub(super) struct Fencing {
    overdrafts: BTreeMap<String, FencingStatus>,
}

impl Fencing {
    /// The overdrafts whose witnesses are to be asked now.
    pub(super) fn next_questions(
        &mut self,
        now: Timestamp,
        state: &LedgerState,
        is_own: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let others = state.overdrafts().map(|(name, _)| name);
        let others: BTreeSet<&str> = others.filter(|name| !is_own(name)).collect();
        self.overdrafts
            .retain(|name, _| others.contains(name.as_str()));
        let mut due = Vec::new();
        for name in others {
            let status = self.overdrafts.entry(name.to_owned()).or_default();
            let is_open = !status.is_used && !is_unused(state, name, status);
            if is_open && status.next_round() <= now {
                status.note_asked(now);
                due.push(name.to_owned());
            }
        }
        due
    }

    /// When witnesses are to be asked again; `None` if it is known of every overdraft whether it
    /// was used.
    pub(super) fn next_round(&self, state: &LedgerState) -> Option<Timestamp> {
        let open = self.overdrafts.iter();
        open.filter(|(name, status)| is_held(state, name) && !status.is_used)
            .filter(|(name, status)| !is_unused(state, name, status))
            .map(|(_, status)| status.next_round())
            .min()
    }

    /// Takes a witness's answer.
    pub(super) fn on_answer(&mut self, overdraft: &str, boot: u64, answer: WitnessAnswer) {
        let Some(status) = self.overdrafts.get_mut(overdraft) else {
            return;
        };
        match answer {
            WitnessAnswer::Fenced => {
                status.fenced.insert(boot);
            }
            WitnessAnswer::Activated => status.is_used = true,
            WitnessAnswer::Unknown => {}
        }
    }

    /// Overdrafts that the log still holds and that are surely unused.
    pub(super) fn unused<'a>(&'a self, state: &'a LedgerState) -> impl Iterator<Item = &'a str> {
        let overdrafts = self.overdrafts.iter();
        overdrafts
            .filter(|(name, status)| is_unused(state, name, status))
            .map(|(name, _)| name.as_str())
    }

    /// Whether it may soon turn out that an overdraft is unused.
    pub(super) fn is_undecided(&self, now: Timestamp, overdraft: &str) -> bool {
        let status = self.overdrafts.get(overdraft);
        status.is_none_or(|status| status.is_undecided(now))
    }
}

fn is_held(state: &LedgerState, overdraft: &str) -> bool {
    state.overdrafts().any(|(name, _)| name == overdraft)
}

/// Whether a majority of an open overdraft's witnesses has fenced it.
fn is_unused(state: &LedgerState, name: &str, status: &FencingStatus) -> bool {
    let Some((_, overdraft)) = state.overdrafts().find(|(other, _)| *other == name) else {
        return false;
    };
    let is_listed = |boot: &u64| overdraft.witnesses.iter().any(|w| w.boot == *boot);
    let fenced = status.fenced.iter().filter(|boot| is_listed(boot)).count();
    fenced >= majority(overdraft.witnesses.len())
}
