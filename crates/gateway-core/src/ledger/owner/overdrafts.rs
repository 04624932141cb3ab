//! An owner's part in overdrafts: opens, activates and closes its own, and has those of lost owners
//! fenced.

use std::rc::Rc;

use elderworks_protocol::ledger::{
    LedgerRecord, Witness, WitnessAnswer, WitnessQuestion, WitnessWish,
};
use elderworks_types::Timestamp;

use super::super::calls::Inquiry;
use super::super::overdraft::{FEWEST_WITNESSES, OverdraftUse, majority};
use super::super::plan::Plan;
use super::PartitionOwner;

impl PartitionOwner {
    /// Asks the witnesses to let the overdraft be used, if the log is in trouble.
    pub(super) fn activate_overdraft(&mut self, now: Timestamp) {
        let witnesses = self.own_witnesses();
        if let Some(name) = self.overdraft.activate(now, &witnesses) {
            self.inquire(&name, &witnesses, WitnessWish::Activate);
        }
    }

    fn own_witnesses(&self) -> Vec<Witness> {
        let mut overdrafts = self.state.overdrafts();
        let own = overdrafts.find(|(name, _)| self.wallets.is_own(name));
        own.map_or_else(Vec::new, |(_, overdraft)| overdraft.witnesses.clone())
    }

    fn inquire(&mut self, overdraft: &str, witnesses: &[Witness], wish: WitnessWish) {
        for witness in witnesses {
            let question = WitnessQuestion {
                overdraft: overdraft.to_owned(),
                boot: witness.boot,
                wish,
            };
            let witness = witness.clone();
            self.inquiries.push(Inquiry { witness, question });
        }
    }

    /// Questions to witnesses, each once.
    pub fn take_inquiries(&mut self) -> Vec<Inquiry> {
        std::mem::take(&mut self.inquiries)
    }

    /// Reports a witness's answer; `None` if it gave none.
    pub fn on_inquiry(
        &mut self,
        now: Timestamp,
        question: &WitnessQuestion,
        answer: Option<WitnessAnswer>,
    ) {
        let overdraft = question.overdraft.as_str();
        match question.wish {
            WitnessWish::Fence => {
                if let Some(answer) = answer {
                    self.fencing.on_answer(overdraft, question.boot, answer);
                }
            }
            WitnessWish::Activate => {
                let has_ended = self
                    .overdraft
                    .on_answer(now, overdraft, question.boot, answer);
                if has_ended {
                    self.answer_jobs(now);
                }
            }
        }
    }

    /// Tells which nodes can witness an overdraft, the foremost first, without this one.
    pub fn set_witnesses(&mut self, witnesses: Rc<[Witness]>) {
        self.witnesses = witnesses;
    }

    /// What the overdraft of this owner is good for.
    pub fn overdraft_use(&self) -> OverdraftUse {
        self.overdraft.present_use()
    }

    /// Whether an append should not wait for requests: something was drawn that does not stand in
    /// the log, or an overdraft is to be closed.
    pub(super) fn must_tend_overdrafts(&self, now: Timestamp) -> bool {
        let is_unwanted = !self.is_preferred;
        self.wallets.has_overdrawn()
            || self.overdraft.to_close(now, is_unwanted).is_some()
            || self.is_preferred && self.fencing.unused(&self.state).is_some()
    }

    /// Adds what closes and opens overdrafts to an append that stands at the end of the log. Must
    /// come after everything that has been drawn.
    pub(super) fn tend_overdrafts(&mut self, now: Timestamp, plan: &mut Plan) {
        let is_worn = self.is_overdraft_worn();
        let is_unwanted = !self.is_preferred || is_worn;
        let mut left = self.state.overdrafts().count();
        if let Some(overdraft) = self.overdraft.to_close(now, is_unwanted) {
            let overdraft = overdraft.to_owned();
            plan.records
                .push(LedgerRecord::OverdraftClosed { overdraft });
            self.overdraft.begin_closing(self.end);
            left -= 1;
        }
        if !self.is_preferred {
            return;
        }
        if let Some(overdraft) = self.fencing.unused(&self.state) {
            let overdraft = overdraft.to_owned();
            plan.records
                .push(LedgerRecord::OverdraftClosed { overdraft });
            left -= 1;
        }
        if left == 0 && self.can_open_overdraft() {
            plan.records.push(LedgerRecord::Overdraft {
                overdraft: self.wallets.next_name(),
                share: self.policy.overdraft_share,
                witnesses: self.witnesses.to_vec(),
                idle_ms: 0,
            });
        }
    }

    pub(super) fn can_open_overdraft(&self) -> bool {
        self.policy.overdrafts && self.witnesses.len() >= FEWEST_WITNESSES
    }

    /// Whether so many witnesses of the own overdraft are gone that the loss of another would keep
    /// it from being activated.
    fn is_overdraft_worn(&self) -> bool {
        let own = self.own_witnesses();
        let is_present = |witness: &&Witness| self.witnesses.contains(witness);
        let present = own.iter().filter(is_present).count();
        let could_be_better = self.witnesses.len() > present;
        !own.is_empty() && could_be_better && present <= majority(own.len())
    }

    /// Asks the witnesses of another owner's overdraft whether it was used.
    pub(super) fn fence_others(&mut self, now: Timestamp) {
        if !self.is_preferred {
            return;
        }
        let is_own = |name: &str| self.wallets.is_own(name);
        let Some(name) = self.fencing.next_question(now, &self.state, is_own) else {
            return;
        };
        let found = self.state.overdrafts().find(|(other, _)| *other == name);
        let Some((_, overdraft)) = found else {
            return;
        };
        let witnesses = overdraft.witnesses.clone();
        self.inquire(&name, &witnesses, WitnessWish::Fence);
    }

    pub(super) fn refresh_overdraft(&mut self) {
        let is_own = |name: &str| self.wallets.is_own(name);
        self.overdraft.refresh(&self.state, self.end, is_own);
    }
}
