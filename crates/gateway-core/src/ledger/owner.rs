//! Serves one partition: decides requests, and decides when to read from the log and when to append
//! to it.
//!
//! [`PartitionOwner`] is a state machine without I/O or clock. Its driver calls
//! [`PartitionOwner::next_action`], carries the action out, reports the result, and delivers the
//! replies.

mod appends;
mod overdrafts;
mod requests;

use std::rc::Rc;
use std::time::Duration;

use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest, Witness};
use elderworks_types::{Offset, Timestamp};

use super::LedgerState;
use super::calls::{Action, CallNumber, ReadOutcome, Ticket, WaitingRequests, WitnessQuery};
use super::ended_turns::EndedTurns;
use super::fencing::Fencing;
use super::overdraft::{OwnOverdraft, SLOW_CALL_THRESHOLD};
use super::plan::{Plan, Planned};
use super::refusal::BudgetRefusal;
use super::turn_size::TypicalTurn;
use super::unsettled::UnsettledAppend;
use super::wallet::IDLE_BEFORE_SETTLING;
use super::wallets::Wallets;
use crate::policy::Policy;
use appends::PendingAppend;
use requests::QueuedRequest;

pub use requests::MAX_HOLD_WHILE_DOWN;

/// Number of consecutive failed calls after which the log counts as down.
pub const FAILURES_BEFORE_DOWN: u32 = 2;

/// How long settlements are delayed, so that one append carries several of them. No caller waits
/// for a settlement.
pub const SETTLEMENT_DELAY: Duration = Duration::from_millis(2_000);

/// Delay before the next call after a first failure.
pub const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Delay between two calls while the log is down.
pub const DOWN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long after an outage of the log an owner that is not preferred leaves the partition to the
/// preferred one. Otherwise both would read and append the same records.
pub const YIELD_AFTER_OUTAGE: Duration = Duration::from_secs(1);

/// Additional delay before a preparatory call while the log is down, since no request waits for it.
const PREPARATION_DELAY: Duration = Duration::from_millis(400);

/// Serves requests to one partition on this node.
#[derive(Debug)]
pub struct PartitionOwner {
    policy: Policy,
    state: LedgerState,
    wallets: Wallets,
    /// Whether other nodes send their requests for the partition to this one.
    is_preferred: bool,
    /// Whether any turn can finish without the log, so that an overdraft is useful.
    serves_without_log: bool,
    /// Offset of the next record to apply.
    end: Offset,
    /// Whether the state was read to the end of the log and no append has been unsettled since.
    is_synced: bool,
    queue: Vec<QueuedRequest>,
    pending: Option<PendingAppend>,
    /// The latest append without an answer, until it is known whether the log has carried it out.
    unsettled: Option<UnsettledAppend>,
    replies: Vec<(Ticket, LedgerReply)>,
    refusals: Vec<BudgetRefusal>,
    ended_turns: EndedTurns,
    paused_until: Timestamp,
    consecutive_failures: u32,
    /// Until when an owner that is not preferred makes no calls for requests.
    yields_until: Timestamp,
    is_call_in_progress: bool,
    last_call: CallNumber,
    call_started_at: Timestamp,
    conflicts: u64,
    overdraft: OwnOverdraft,
    fencing: Fencing,
    typical_turn: TypicalTurn,
    /// Nodes that can witness an overdraft now, in order of preference.
    witnesses: Rc<[Witness]>,
    inquiries: Vec<WitnessQuery>,
}

impl PartitionOwner {
    /// Creates an owner that has read nothing. `name` identifies it in the log. It must be unique
    /// among all owners of the partition, earlier starts of the same node included.
    pub fn new(name: String) -> Self {
        Self::with_policy(name, Policy::default())
    }

    /// Like [`Self::new`], with the given policy.
    pub fn with_policy(name: String, policy: Policy) -> Self {
        Self {
            policy,
            state: LedgerState::default(),
            wallets: Wallets::new(name),
            is_preferred: true,
            serves_without_log: true,
            end: Offset(0),
            is_synced: false,
            queue: Vec::new(),
            pending: None,
            unsettled: None,
            replies: Vec::new(),
            refusals: Vec::new(),
            ended_turns: EndedTurns::default(),
            paused_until: Timestamp::default(),
            consecutive_failures: 0,
            yields_until: Timestamp::default(),
            is_call_in_progress: false,
            last_call: CallNumber::default(),
            call_started_at: Timestamp::default(),
            conflicts: 0,
            overdraft: OwnOverdraft::new(),
            fencing: Fencing::default(),
            typical_turn: TypicalTurn::default(),
            witnesses: Rc::default(),
            inquiries: Vec::new(),
        }
    }

    /// Sets whether other nodes send their requests for the partition to this owner. An owner that
    /// is not preferred settles its advances without delay.
    pub fn set_preferred(&mut self, is_preferred: bool) {
        self.is_preferred = is_preferred;
    }

    /// Sets whether any turn can finish while the log is unavailable. A turn whose result must be
    /// stored cannot, so an overdraft would be of no use to it, and an overdraft that is lost with
    /// its owner reduces the budgets of all programs.
    pub fn set_serves_without_log(&mut self, serves: bool) {
        self.serves_without_log = serves;
    }

    /// Returns whether the log counts as down.
    pub fn is_down(&self) -> bool {
        self.consecutive_failures >= FAILURES_BEFORE_DOWN
    }

    /// Returns the replies that are ready. Each is returned once.
    pub fn take_replies(&mut self) -> Vec<(Ticket, LedgerReply)> {
        std::mem::take(&mut self.replies)
    }

    /// Returns the turns that were refused for their programs' budgets. Each is returned once.
    pub fn take_refusals(&mut self) -> Vec<BudgetRefusal> {
        std::mem::take(&mut self.refusals)
    }

    /// Returns the accounts and turns that this owner has read.
    pub fn state(&self) -> &LedgerState {
        &self.state
    }

    /// Returns the end of the log as last observed.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns whether the state was read to the end of the log and no append has failed since. Until
    /// then, a read is followed by the append that depends on it.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns the number of appends that conflicted with records of another node.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Returns whether there are settlements that are not in the log yet. No other owner can write
    /// them.
    pub fn has_settlements(&self) -> bool {
        self.wallets.oldest_settlement_since().is_some()
    }

    /// Returns whether other nodes send their requests for the partition to this owner.
    pub fn is_preferred(&self) -> bool {
        self.is_preferred
    }

    /// Returns the numbers of starts and of ends of turns that wait for an append or a read.
    pub fn waiting(&self) -> WaitingRequests {
        let requests = || self.queue.iter().map(|queued| &queued.request);
        let is_start = |request: &&LedgerRequest| matches!(request, LedgerRequest::Begin(_));
        let is_end = |request: &&LedgerRequest| matches!(request, LedgerRequest::Finish(_));
        WaitingRequests {
            starts: requests().filter(is_start).count(),
            ends: requests().filter(is_end).count(),
        }
    }

    /// Decides requests and returns the next action. Must not be called while a read or an append
    /// is in progress; requests may be submitted at any time.
    pub fn next_action(&mut self, now: Timestamp) -> Action {
        self.wallets.close_idle(now, self.idle_time());
        self.fence_others(now);
        let action = self.choose_action(now);
        self.is_call_in_progress = !matches!(action, Action::Wait { .. });
        if self.is_call_in_progress {
            self.record_call(now);
        }
        action
    }

    fn record_call(&mut self, now: Timestamp) {
        self.call_started_at = now;
        self.last_call = self.last_call.next();
    }

    fn choose_action(&mut self, now: Timestamp) -> Action {
        let settlement_due_at = self
            .wallets
            .oldest_settlement_since()
            .map(|since| since + self.settlement_delay());
        let needs_settlement = settlement_due_at.is_some_and(|from| from <= now);
        let needs_append = needs_settlement || self.needs_overdraft_change(now);
        let preparation_due_at = self.preparation_due_at(now);
        let needs_preparation = preparation_due_at.is_some_and(|from| from <= now);
        let check_due_at = self.check_due_at(now);
        if self.queue.is_empty() && !needs_append && !needs_preparation {
            if check_due_at.is_some_and(|from| from <= now) {
                return self.check_unsettled(now);
            }
            let idle_at = self
                .wallets
                .next_idle_last_used()
                .map(|last| last + self.idle_time());
            let closing_due_at = self.overdraft.closing_due_at();
            let fencing_due_at = self
                .is_preferred
                .then(|| self.fencing.next_round(&self.state));
            let times = [
                settlement_due_at,
                idle_at,
                closing_due_at,
                preparation_due_at,
                check_due_at,
                fencing_due_at.flatten(),
            ];
            let until = times.into_iter().flatten().min();
            return Action::Wait { until };
        }
        if now < self.paused_until {
            return Action::Wait {
                until: Some(self.paused_until),
            };
        }
        if !self.is_synced {
            return Action::Read { from: self.end };
        }
        self.decide(now, needs_append || needs_preparation)
    }

    /// Returns when the partition is to be read and an overdraft to be opened even without
    /// requests; `None` if that is done already or left to another owner.
    fn preparation_due_at(&self, now: Timestamp) -> Option<Timestamp> {
        let is_wanted = self.policy.preparation && self.is_preferred;
        let is_ready = self.is_synced && !self.may_open_overdraft(now, &[]);
        let delay = if self.is_down() {
            PREPARATION_DELAY
        } else {
            Duration::ZERO
        };
        (is_wanted && !is_ready).then(|| self.paused_until + delay)
    }

    /// Returns when to read the log to learn what became of an append without an answer.
    fn check_due_at(&mut self, now: Timestamp) -> Option<Timestamp> {
        let end = self.end;
        let is_synced = self.is_synced;
        let is_settled = |append: &UnsettledAppend| is_synced && append.is_settled(now, end);
        self.unsettled = self.unsettled.filter(|append| !is_settled(append));
        let next_check = self.unsettled.map(|append| append.next_check());
        next_check.map(|check| check.max(self.paused_until))
    }

    fn check_unsettled(&mut self, now: Timestamp) -> Action {
        if let Some(append) = &mut self.unsettled {
            append.note_check(now);
        }
        Action::Read { from: self.end }
    }

    fn idle_time(&self) -> Duration {
        if self.is_preferred {
            IDLE_BEFORE_SETTLING
        } else {
            Duration::ZERO
        }
    }

    fn settlement_delay(&self) -> Duration {
        if self.is_preferred {
            SETTLEMENT_DELAY
        } else {
            Duration::ZERO
        }
    }

    fn decide(&mut self, now: Timestamp, needs_append: bool) -> Action {
        self.close_ended_wallets(now);
        let mut plan = Plan::new(&self.state, self.wallets.settlements());
        self.add_undecided(now, &mut plan);
        plan.allows_extra = self.policy.advances;
        plan.cover_overdrafts(&self.state, &mut self.wallets);
        let mut append_replies = Vec::new();
        let mut needs_verification = false;
        let mut undecided = std::mem::take(&mut self.queue).into_iter();
        while !plan.is_full()
            && let Some(queued) = undecided.next()
        {
            // An earlier request may have enlarged the wallet enough for this one.
            if let Some(reply) = self.answer_from_memory(now, &queued.request) {
                self.reply(now, queued.ticket, &queued.request, reply);
                continue;
            }
            match plan.decide(&self.state, &mut self.wallets, now, &queued.request) {
                Planned::Append(reply) => {
                    append_replies.push((queued.ticket, reply));
                    self.queue.push(queued);
                }
                Planned::AnswerIfCurrent(reply) if queued.verified => {
                    self.reply(now, queued.ticket, &queued.request, reply);
                }
                Planned::AnswerIfCurrent(_) => {
                    needs_verification = true;
                    self.queue.push(queued);
                }
                Planned::DecideAfterAppend => self.queue.push(queued),
            }
        }
        self.queue.extend(undecided);
        if append_replies.is_empty() && !needs_append {
            return self.verify_or_wait(needs_verification);
        }
        self.plan_overdraft_changes(now, &mut plan);
        let records = plan.records.clone();
        self.pending = Some(PendingAppend {
            plan,
            replies: append_replies,
        });
        Action::Append {
            at: self.end,
            records,
        }
    }

    /// Closes the wallets whose advances are to be settled with the turns that are about to be
    /// stored.
    fn close_ended_wallets(&mut self, now: Timestamp) {
        for queued in &self.queue {
            if let LedgerRequest::Finish(finish) = &queued.request {
                self.wallets.close_if_ended(now, &finish.program);
            }
        }
    }

    fn verify_or_wait(&self, needs_verification: bool) -> Action {
        if needs_verification {
            return Action::Read { from: self.end };
        }
        let settlement_due_at = self
            .wallets
            .oldest_settlement_since()
            .map(|since| since + self.settlement_delay());
        Action::Wait {
            until: settlement_due_at,
        }
    }

    fn record_answer(&mut self, now: Timestamp) {
        self.record_call_answer(now, self.last_call);
    }

    /// Records that the log has answered `call`. Calls before the latest one were given up, so they
    /// count as slow.
    fn record_call_answer(&mut self, now: Timestamp, call: CallNumber) {
        if self.is_down() {
            self.yields_until = now + YIELD_AFTER_OUTAGE;
        }
        self.consecutive_failures = 0;
        let took = if call == self.last_call {
            now.since(self.call_started_at)
        } else {
            SLOW_CALL_THRESHOLD
        };
        self.overdraft.record_answer(now, took);
    }

    fn apply(&mut self, now: Timestamp, record: LedgerRecord) {
        self.wallets.on_record(now, &record);
        self.state.apply(now, record);
        self.end = self.end.next();
    }

    /// Returns the number of the call in progress, or else of the latest call.
    pub fn last_call(&self) -> CallNumber {
        self.last_call
    }

    /// Reports the result of [`Action::Read`].
    pub fn on_read(&mut self, now: Timestamp, outcome: ReadOutcome) {
        self.on_answered_read(now, self.last_call, outcome);
    }

    /// Reports the result of [`Action::Read`] together with the number of the call that was answered.
    /// That may be an earlier read from the same offset, which had been given up.
    pub fn on_answered_read(&mut self, now: Timestamp, call: CallNumber, outcome: ReadOutcome) {
        self.is_call_in_progress = false;
        match outcome {
            ReadOutcome::Records { records, end } => {
                self.record_call_answer(now, call);
                self.apply_records(now, call, records, end);
                if self.yields_to_preferred(now) {
                    self.resubmit_queued(now);
                }
            }
            ReadOutcome::Gone { first } => {
                // Truncated records are older than anything that must be retained.
                self.end = first;
                self.is_synced = false;
            }
            ReadOutcome::Failed => {
                self.is_synced = false;
                self.on_failed_call(now);
            }
        }
    }

    fn apply_records(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        records: Vec<Option<LedgerRecord>>,
        end: Offset,
    ) {
        for record in records {
            match record {
                Some(record) => self.apply(now, record),
                None => self.end = self.end.next(),
            }
        }
        self.is_synced = self.end >= end;
        if self.is_synced {
            self.refresh_overdraft();
            self.mark_verified(call);
        }
    }

    /// Drops entries that were last used longer ago than `retention`.
    pub fn expire(&mut self, now: Timestamp, retention: Duration) {
        self.state.expire(now, retention);
        // Before the end is reached, the terms of an overdraft may not have been read yet.
        if self.is_synced {
            self.refresh_overdraft();
        }
    }

    /// Handles a failed call: delays the next one, and refuses queued requests once the log counts
    /// as down.
    fn on_failed_call(&mut self, now: Timestamp) {
        self.overdraft.record_degraded();
        self.consecutive_failures += 1;
        if !self.is_down() {
            self.paused_until = now + FAILURE_RETRY_DELAY;
            return;
        }
        self.paused_until = now + DOWN_RETRY_DELAY;
        self.resubmit_queued(now);
    }
}
