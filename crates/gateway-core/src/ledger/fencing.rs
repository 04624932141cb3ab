//! Determines whether overdrafts of other owners were used.
//!
//! The preferred owner of a partition asks the witnesses of every *foreign* overdraft, that is, one
//! of another owner, to fence it. If a majority of them does, the overdraft was never used and
//! cannot be activated any more, so it can be closed. Otherwise it is charged to programs until it
//! expires.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_protocol::ledger::WitnessAnswer;
use elderworks_types::Timestamp;

use super::LedgerState;
use super::overdraft::majority;

/// Interval between the first and the second round of questions about an overdraft; doubles with
/// every further round.
const INITIAL_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of times that [`INITIAL_ROUND_INTERVAL`] is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Answers of the witnesses of one overdraft.
#[derive(Debug, Default)]
struct FencingStatus {
    fenced: BTreeSet<u64>,
    /// Whether any witness has reported the overdraft as activated.
    is_used: bool,
    /// Times of the first and the latest round of questions.
    first_round: Option<Timestamp>,
    latest_round: Option<Timestamp>,
    rounds: u32,
}

impl FencingStatus {
    /// Returns when the next round of questions is due.
    fn next_round(&self) -> Timestamp {
        let Some(last) = self.latest_round else {
            return Timestamp::default();
        };
        let doublings = self.rounds.saturating_sub(1).min(MAX_DOUBLINGS);
        last + INITIAL_ROUND_INTERVAL * 2_u32.pow(doublings)
    }

    fn record_round(&mut self, now: Timestamp) {
        self.first_round.get_or_insert(now);
        self.latest_round = Some(now);
        self.rounds += 1;
    }

    /// Returns whether the overdraft may soon prove unused. Witnesses that leave the first round
    /// unanswered are considered lost, although later rounds still ask them.
    fn is_undecided(&self, now: Timestamp) -> bool {
        let is_recent = |asked: Timestamp| now.since(asked) < INITIAL_ROUND_INTERVAL;
        !self.is_used && self.first_round.is_none_or(is_recent)
    }
}

/// Fencing state of the open overdrafts of other owners, by overdraft name.
#[derive(Debug, Default)]
pub(super) struct Fencing {
    overdrafts: BTreeMap<String, FencingStatus>,
}

impl Fencing {
    /// Starts the rounds of questions that are due and returns the names of the overdrafts
    /// concerned. Forgets overdrafts that are no longer open.
    pub(super) fn start_due_rounds(
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
                status.record_round(now);
                due.push(name.to_owned());
            }
        }
        due
    }

    /// Returns when the next round of questions is due; `None` if every overdraft is known to be
    /// either used or unused.
    pub(super) fn next_round(&self, state: &LedgerState) -> Option<Timestamp> {
        let open = self.overdrafts.iter();
        open.filter(|(name, status)| is_open_in_log(state, name) && !status.is_used)
            .filter(|(name, status)| !is_unused(state, name, status))
            .map(|(_, status)| status.next_round())
            .min()
    }

    /// Records a witness's answer.
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

    /// Returns the open overdrafts that are proven unused.
    pub(super) fn unused<'a>(&'a self, state: &'a LedgerState) -> impl Iterator<Item = &'a str> {
        let overdrafts = self.overdrafts.iter();
        overdrafts
            .filter(|(name, status)| is_unused(state, name, status))
            .map(|(name, _)| name.as_str())
    }

    /// Returns whether an overdraft may soon prove unused. True for overdrafts whose witnesses have
    /// not been asked yet.
    pub(super) fn is_undecided(&self, now: Timestamp, overdraft: &str) -> bool {
        let status = self.overdrafts.get(overdraft);
        status.is_none_or(|status| status.is_undecided(now))
    }
}

fn is_open_in_log(state: &LedgerState, overdraft: &str) -> bool {
    state.overdrafts().any(|(name, _)| name == overdraft)
}

/// Returns whether a majority of an open overdraft's witnesses has fenced it.
fn is_unused(state: &LedgerState, name: &str, status: &FencingStatus) -> bool {
    let Some((_, overdraft)) = state.overdrafts().find(|(other, _)| *other == name) else {
        return false;
    };
    let is_listed = |boot: &u64| overdraft.witnesses.iter().any(|w| w.boot == *boot);
    let fenced = status.fenced.iter().filter(|boot| is_listed(boot)).count();
    fenced >= majority(overdraft.witnesses.len())
}
