//! An owner's part in overdrafts: opens, activates and closes its own, and has those of lost owners
//! fenced.

use std::rc::Rc;

use elderworks_protocol::ledger::{
    LedgerRecord, Witness, WitnessAnswer, WitnessQuestion, WitnessWish,
};
use elderworks_types::Timestamp;

use super::super::calls::WitnessQuery;
use super::super::overdraft::{FEWEST_WITNESSES, OverdraftStatus, majority};
use super::super::plan::Plan;
use super::PartitionOwner;
use crate::ledger::OpenOverdraft;

/// An overdraft is opened beside at most this many that were lost: with more, what is kept free for
/// all of them would leave a program that lives through all the losses nothing.
const MOST_LOST_BESIDE: usize = 2;

/// An overdraft is replaced once its least budget is off by more than this ratio: seldom enough that
/// replacing it costs next to nothing.
const MAX_MIN_BUDGET_RATIO: u64 = 2;

impl PartitionOwner {
    /// Asks the witnesses to let the overdraft be used, if the log is in trouble.
    pub(super) fn activate_overdraft(&mut self, now: Timestamp) {
        if !self.serves_without_log {
            return;
        }
        let witnesses = self.own_witnesses();
        if let Some(name) = self.overdraft.activate(now, &witnesses) {
            self.inquire(&name, &witnesses, WitnessWish::Activate);
        }
    }

    /// This owner's overdraft, if the log holds one.
    pub(super) fn own_overdraft(&self) -> Option<&OpenOverdraft> {
        let mut overdrafts = self.state.overdrafts();
        let own = overdrafts.find(|(name, _)| self.wallets.is_own(name));
        own.map(|(_, overdraft)| overdraft)
    }

    fn own_witnesses(&self) -> Vec<Witness> {
        let own = self.own_overdraft();
        own.map_or_else(Vec::new, |overdraft| overdraft.witnesses.clone())
    }

    fn inquire(&mut self, overdraft: &str, witnesses: &[Witness], wish: WitnessWish) {
        for witness in witnesses {
            let question = WitnessQuestion {
                overdraft: overdraft.to_owned(),
                boot: witness.boot,
                wish,
            };
            let witness = witness.clone();
            self.inquiries.push(WitnessQuery { witness, question });
        }
    }

    /// Questions to witnesses, each once.
    pub fn take_witness_queries(&mut self) -> Vec<WitnessQuery> {
        std::mem::take(&mut self.inquiries)
    }

    /// Reports a witness's answer; `None` if it gave none.
    pub fn on_witness_answer(
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
    pub fn overdraft_status(&self) -> OverdraftStatus {
        self.overdraft.present_use()
    }

    /// Whether an append should not wait for requests: something was drawn that does not stand in
    /// the log, or an overdraft is to be closed.
    pub(super) fn must_change_overdrafts(&self, now: Timestamp) -> bool {
        let is_unwanted = !self.is_wanted() || self.is_ill_suited();
        self.wallets.has_overdrawn()
            || self.overdraft.to_close(now, is_unwanted).is_some()
            || self.is_preferred && self.fencing.unused(&self.state).next().is_some()
            || self.is_preferred && !self.to_supersede(now).is_empty()
    }

    /// Adds what closes and opens overdrafts to an append that stands at the end of the log. Must
    /// come after everything that has been drawn.
    pub(super) fn plan_overdraft_changes(&mut self, now: Timestamp, plan: &mut Plan) {
        let closed = self.plan_closings(now, plan);
        if !self.is_preferred {
            return;
        }
        let superseded = self.to_supersede(now).into_iter();
        plan.records
            .extend(superseded.map(|overdraft| LedgerRecord::OverdraftSuperseded { overdraft }));
        if self.may_open_overdraft(now, &closed) {
            let is_alone = self.state.overdrafts().count() == closed.len();
            self.open_overdraft(plan, is_alone);
        }
    }

    /// Closes the own overdraft if its time has come, and those of others that are surely unused.
    fn plan_closings(&mut self, now: Timestamp, plan: &mut Plan) -> Vec<String> {
        let is_unwanted = !self.is_wanted() || self.lacks_witnesses() || self.is_ill_suited();
        let mut closed: Vec<String> = Vec::new();
        if let Some(overdraft) = self.overdraft.to_close(now, is_unwanted) {
            closed.push(overdraft.to_owned());
            self.overdraft.begin_closing(self.end);
            plan.closes_own = true;
        }
        if self.is_preferred {
            let unused = self.fencing.unused(&self.state);
            closed.extend(unused.map(str::to_owned));
        }
        let closings = closed.iter().cloned();
        plan.records
            .extend(closings.map(|overdraft| LedgerRecord::OverdraftClosed { overdraft }));
        closed
    }

    /// Overdrafts of other owners that may have been used and are to be drawn on no more, so that
    /// programs that begin from now on are not held back for them.
    fn to_supersede(&self, now: Timestamp) -> Vec<String> {
        let others = self.state.overdrafts();
        others
            .filter(|(_, overdraft)| overdraft.known_programs && overdraft.superseded.is_none())
            .filter(|(name, _)| !self.wallets.is_own(name) && !self.fencing.is_undecided(now, name))
            .map(|(name, _)| name.to_owned())
            .collect()
    }

    /// Opens an overdraft. Beside another it serves known programs alone: should it be lost too,
    /// programs that begin afterwards are held back for one overdraft only.
    fn open_overdraft(&mut self, plan: &mut Plan, is_alone: bool) {
        let overdraft = self.wallets.next_name();
        plan.records.push(LedgerRecord::Overdraft {
            overdraft: overdraft.clone(),
            share: self.policy.overdraft_share,
            witnesses: self.witnesses.to_vec(),
            idle_ms: 0,
        });
        let min_budget = self.suitable_min_budget();
        let known_programs = !is_alone;
        if min_budget > 0 || known_programs {
            plan.records.push(LedgerRecord::OverdraftTerms {
                overdraft,
                min_budget,
                known_programs,
            });
        }
    }

    /// Whether an own overdraft can be opened once those named are closed: none is open, and what
    /// stays open of others is little enough and will not soon be closed.
    pub(super) fn may_open_overdraft(&self, now: Timestamp, closed: &[String]) -> bool {
        let open = self.state.overdrafts().map(|(name, _)| name);
        let left: Vec<&str> = open
            .filter(|name| !closed.iter().any(|other| other == name))
            .collect();
        let is_in_the_way =
            |name: &&str| self.wallets.is_own(name) || self.fencing.is_undecided(now, name);
        let is_free = left.len() <= MOST_LOST_BESIDE && !left.iter().any(is_in_the_way);
        is_free && self.can_open_overdraft()
    }

    fn can_open_overdraft(&self) -> bool {
        let is_of_use = self.policy.overdrafts && self.serves_without_log;
        is_of_use && self.witnesses.len() >= FEWEST_WITNESSES
    }

    /// Whether this owner is to keep an overdraft open.
    fn is_wanted(&self) -> bool {
        self.is_preferred && self.serves_without_log
    }

    /// The least budget for which an overdraft serves: a turn of the usual size fits into its
    /// share. Smaller budgets would have no use of it, and would be charged if it is lost.
    fn suitable_min_budget(&self) -> u64 {
        let share = self.policy.overdraft_share;
        self.typical_turn.tokens().saturating_mul(share)
    }

    /// Whether another overdraft would serve programs better than the own one.
    fn is_ill_suited(&self) -> bool {
        let Some(own) = self.own_overdraft().filter(|_| self.can_open_overdraft()) else {
            return false;
        };
        let is_alone = self.state.overdrafts().count() == 1;
        // An overdraft that may be needed at once is not replaced for its terms.
        let is_calm = !self.overdraft.is_in_trouble();
        own.superseded.is_some()
            || is_calm && own.known_programs && is_alone
            || is_calm && is_far(own.min_budget, self.suitable_min_budget())
    }

    /// Whether so many witnesses of the own overdraft are gone that the loss of another would keep
    /// it from being activated.
    fn lacks_witnesses(&self) -> bool {
        let own = self.own_witnesses();
        let is_present = |witness: &&Witness| self.witnesses.contains(witness);
        let present = own.iter().filter(is_present).count();
        let could_be_better = self.witnesses.len() > present;
        !own.is_empty() && could_be_better && present <= majority(own.len())
    }

    /// Asks the witnesses of other owners' overdrafts whether they were used.
    pub(super) fn fence_others(&mut self, now: Timestamp) {
        if !self.is_preferred {
            return;
        }
        let is_own = |name: &str| self.wallets.is_own(name);
        let due = self.fencing.next_questions(now, &self.state, is_own);
        for name in due {
            let found = self.state.overdrafts().find(|(other, _)| *other == name);
            let Some((_, overdraft)) = found else {
                continue;
            };
            let witnesses = overdraft.witnesses.clone();
            self.inquire(&name, &witnesses, WitnessWish::Fence);
        }
    }

    /// Tells a plan which of other owners' overdrafts may soon be closed as unused: witnesses are
    /// asked by the preferred owner alone.
    pub(super) fn note_undecided(&self, now: Timestamp, plan: &mut Plan) {
        if !self.is_preferred {
            return;
        }
        let open = self.state.overdrafts().map(|(name, _)| name);
        let undecided = open.filter(|name| self.fencing.is_undecided(now, name));
        plan.undecided.extend(undecided.map(str::to_owned));
    }

    /// An append has surely done nothing. If it was to close the own overdraft, that may be used
    /// again; another append tells nothing of a close that is in doubt.
    pub(super) fn abort_closing(&mut self, plan: &Plan) {
        if plan.closes_own {
            self.overdraft.abort_closing();
        }
    }

    pub(super) fn refresh_overdraft(&mut self) {
        let is_own = |name: &str| self.wallets.is_own(name);
        self.overdraft.refresh(&self.state, self.end, is_own);
    }
}

/// Whether a least budget is off by more than [`MAX_MIN_BUDGET_RATIO`].
fn is_far(present: u64, suitable: u64) -> bool {
    present.max(suitable) > present.min(suitable).saturating_mul(MAX_MIN_BUDGET_RATIO)
}
