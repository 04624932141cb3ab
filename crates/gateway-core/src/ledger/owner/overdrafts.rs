//! Overdraft handling of [`PartitionOwner`]: opens, activates and closes the own overdraft, and has
//! overdrafts of lost owners fenced.

use std::rc::Rc;

use elderworks_protocol::ledger::{
    LedgerRecord, Witness, WitnessAction, WitnessAnswer, WitnessRequest,
};
use elderworks_types::Timestamp;

use super::super::calls::WitnessQuery;
use super::super::overdraft::{MIN_WITNESSES, OverdraftStatus, majority};
use super::super::plan::Plan;
use super::PartitionOwner;
use crate::ledger::OpenOverdraft;

/// Maximum number of foreign overdrafts that may be open when an own one is opened. Every open
/// overdraft reduces the budget that programs can use, so more would leave nothing after repeated
/// losses of owners.
const MAX_FOREIGN_OVERDRAFTS: usize = 2;

/// An overdraft is replaced if its minimum budget differs from the suitable one by more than this
/// ratio. The ratio is large enough to make replacements rare.
const MAX_MIN_BUDGET_RATIO: u64 = 2;

impl PartitionOwner {
    /// Starts to activate the own overdraft if the log is slow or fails.
    pub(super) fn activate_overdraft(&mut self, now: Timestamp) {
        if !self.serves_without_log {
            return;
        }
        let witnesses = self.own_witnesses();
        if let Some(name) = self.overdraft.activate(now, &witnesses) {
            self.ask_witnesses(&name, &witnesses, WitnessAction::Activate);
        }
    }

    /// Returns the overdraft of this owner if one is open in the log.
    pub(super) fn own_overdraft(&self) -> Option<&OpenOverdraft> {
        let mut overdrafts = self.state.overdrafts();
        let own = overdrafts.find(|(name, _)| self.wallets.is_own(name));
        own.map(|(_, overdraft)| overdraft)
    }

    fn own_witnesses(&self) -> Vec<Witness> {
        let own = self.own_overdraft();
        own.map_or_else(Vec::new, |overdraft| overdraft.witnesses.clone())
    }

    fn ask_witnesses(&mut self, overdraft: &str, witnesses: &[Witness], wish: WitnessAction) {
        for witness in witnesses {
            let question = WitnessRequest {
                overdraft: overdraft.to_owned(),
                boot: witness.boot,
                wish,
            };
            let witness = witness.clone();
            self.inquiries.push(WitnessQuery { witness, question });
        }
    }

    /// Returns the questions to send to witnesses. Each is returned once.
    pub fn take_witness_queries(&mut self) -> Vec<WitnessQuery> {
        std::mem::take(&mut self.inquiries)
    }

    /// Reports a witness's answer; `None` if there was none.
    pub fn on_witness_answer(
        &mut self,
        now: Timestamp,
        question: &WitnessRequest,
        answer: Option<WitnessAnswer>,
    ) {
        let overdraft = question.overdraft.as_str();
        match question.wish {
            WitnessAction::Fence => {
                if let Some(answer) = answer {
                    self.fencing.on_answer(overdraft, question.boot, answer);
                }
            }
            WitnessAction::Activate => {
                let is_complete = self
                    .overdraft
                    .on_answer(now, overdraft, question.boot, answer);
                if is_complete {
                    self.answer_queued(now);
                }
            }
        }
    }

    /// Sets the nodes that can witness an overdraft, in order of preference and without this node.
    pub fn set_witnesses(&mut self, witnesses: Rc<[Witness]>) {
        self.witnesses = witnesses;
    }

    /// Returns the state of this owner's overdraft.
    pub fn overdraft_status(&self) -> OverdraftStatus {
        self.overdraft.status()
    }

    /// Returns whether an append is needed even without requests: to record tokens that were drawn
    /// on the overdraft, or to open, close or supersede overdrafts.
    pub(super) fn needs_overdraft_change(&self, now: Timestamp) -> bool {
        let is_unwanted = !self.should_have_overdraft() || self.has_unsuitable_terms();
        self.wallets.has_overdrawn()
            || self
                .overdraft
                .overdraft_to_close(now, is_unwanted)
                .is_some()
            || self.is_preferred && self.fencing.unused(&self.state).next().is_some()
            || self.is_preferred && !self.overdrafts_to_supersede(now).is_empty()
    }

    /// Adds records that close, supersede and open overdrafts to an append at the end of the log.
    /// Must be called after everything that was drawn has been added to the plan.
    pub(super) fn plan_overdraft_changes(&mut self, now: Timestamp, plan: &mut Plan) {
        let closed = self.plan_closings(now, plan);
        if !self.is_preferred {
            return;
        }
        let superseded = self.overdrafts_to_supersede(now).into_iter();
        plan.records
            .extend(superseded.map(|overdraft| LedgerRecord::OverdraftSuperseded { overdraft }));
        if self.may_open_overdraft(now, &closed) {
            let is_alone = self.state.overdrafts().count() == closed.len();
            self.open_overdraft(plan, is_alone);
        }
    }

    /// Adds records that close the own overdraft if it is due, and foreign ones that are proven
    /// unused. Returns their names.
    fn plan_closings(&mut self, now: Timestamp, plan: &mut Plan) -> Vec<String> {
        let is_unwanted =
            !self.should_have_overdraft() || self.lacks_witnesses() || self.has_unsuitable_terms();
        let mut closed: Vec<String> = Vec::new();
        if let Some(overdraft) = self.overdraft.overdraft_to_close(now, is_unwanted) {
            closed.push(overdraft.to_owned());
            self.overdraft.start_closing(self.end);
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

    /// Returns foreign overdrafts that may have been used and are to be superseded, so that they
    /// are not charged to programs that start later.
    fn overdrafts_to_supersede(&self, now: Timestamp) -> Vec<String> {
        let others = self.state.overdrafts();
        others
            .filter(|(_, overdraft)| overdraft.known_programs && overdraft.superseded.is_none())
            .filter(|(name, _)| !self.wallets.is_own(name) && !self.fencing.is_undecided(now, name))
            .map(|(name, _)| name.to_owned())
            .collect()
    }

    /// Adds records that open an overdraft. While foreign overdrafts are open, the new one serves
    /// known programs only: if it is lost too, programs that start later are charged for one
    /// overdraft only.
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
                overdraft: overdraft.clone(),
                min_budget,
                known_programs,
            });
        }
        // A stored turn can't end without the log, so that an overdraft is of little use to it.
        if !self.policy.kept_overdrafts {
            plan.records
                .push(LedgerRecord::OverdraftForUnstored { overdraft });
        }
    }

    /// Returns whether an own overdraft can be opened after those named in `closed` are closed: no
    /// own one is open, few enough foreign ones remain, and none of these may soon prove unused.
    pub(super) fn may_open_overdraft(&self, now: Timestamp, closed: &[String]) -> bool {
        let open = self.state.overdrafts().map(|(name, _)| name);
        let remaining: Vec<&str> = open
            .filter(|name| !closed.iter().any(|other| other == name))
            .collect();
        let blocks_opening =
            |name: &&str| self.wallets.is_own(name) || self.fencing.is_undecided(now, name);
        let is_unblocked =
            remaining.len() <= MAX_FOREIGN_OVERDRAFTS && !remaining.iter().any(blocks_opening);
        is_unblocked && self.can_open_overdraft()
    }

    fn can_open_overdraft(&self) -> bool {
        let is_useful = self.policy.overdrafts && self.serves_without_log;
        is_useful && self.witnesses.len() >= MIN_WITNESSES
    }

    /// Returns whether this owner should have an open overdraft.
    fn should_have_overdraft(&self) -> bool {
        self.is_preferred && self.serves_without_log
    }

    /// Returns the minimum budget that an overdraft should serve: one whose share holds a turn of
    /// typical size. Programs with smaller budgets could not use the overdraft but would be charged
    /// if it were lost.
    fn suitable_min_budget(&self) -> u64 {
        let share = self.policy.overdraft_share;
        self.typical_turn.tokens().saturating_mul(share)
    }

    /// Returns whether the own overdraft should be replaced by one with other terms.
    fn has_unsuitable_terms(&self) -> bool {
        let Some(own) = self.own_overdraft().filter(|_| self.can_open_overdraft()) else {
            return false;
        };
        let is_alone = self.state.overdrafts().count() == 1;
        // While the log is slow or fails, the overdraft may be needed and isn't replaced for its
        // terms.
        let is_responsive = !self.overdraft.is_log_degraded();
        own.superseded.is_some()
            || is_responsive && own.known_programs && is_alone
            || is_responsive && differs_too_much(own.min_budget, self.suitable_min_budget())
    }

    /// Returns whether so many witnesses of the own overdraft are gone that the loss of one more
    /// would prevent its activation, and better ones are available.
    fn lacks_witnesses(&self) -> bool {
        let own = self.own_witnesses();
        let is_present = |witness: &&Witness| self.witnesses.contains(witness);
        let present = own.iter().filter(is_present).count();
        let has_replacements = self.witnesses.len() > present;
        !own.is_empty() && has_replacements && present <= majority(own.len())
    }

    /// Asks the witnesses of foreign overdrafts to fence them.
    pub(super) fn fence_others(&mut self, now: Timestamp) {
        if !self.is_preferred {
            return;
        }
        let is_own = |name: &str| self.wallets.is_own(name);
        let due = self.fencing.start_due_rounds(now, &self.state, is_own);
        for name in due {
            let found = self.state.overdrafts().find(|(other, _)| *other == name);
            let Some((_, overdraft)) = found else {
                continue;
            };
            let witnesses = overdraft.witnesses.clone();
            self.ask_witnesses(&name, &witnesses, WitnessAction::Fence);
        }
    }

    /// Adds the foreign overdrafts that may soon prove unused to a plan. Only the preferred owner
    /// knows them, since it alone asks the witnesses.
    pub(super) fn add_undecided(&self, now: Timestamp, plan: &mut Plan) {
        if !self.is_preferred {
            return;
        }
        let open = self.state.overdrafts().map(|(name, _)| name);
        let undecided = open.filter(|name| self.fencing.is_undecided(now, name));
        plan.undecided.extend(undecided.map(str::to_owned));
    }

    /// Handles an append that had no effect: if it was to close the own overdraft, the overdraft is
    /// open again. Other appends say nothing about an unsettled close.
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

/// Returns whether a minimum budget differs from the suitable one by more than
/// [`MAX_MIN_BUDGET_RATIO`].
fn differs_too_much(current: u64, suitable: u64) -> bool {
    current.max(suitable) > current.min(suitable).saturating_mul(MAX_MIN_BUDGET_RATIO)
}
