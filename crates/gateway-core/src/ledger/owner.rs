//! Serves one partition: decides requests, and decides when to read from the log and when to append
//! to it.
//!
//! [`PartitionOwner`] is a state machine without I/O or clock. Its driver calls
//! [`PartitionOwner::next_action`], carries the action out, reports the result, and delivers the
//! replies.

mod overdrafts;

use std::rc::Rc;
use std::time::Duration;

use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest, Witness};
use elderworks_types::{Offset, Timestamp};

use super::LedgerState;
use super::calls::{Action, AppendOutcome, CallNumber, ReadOutcome, Ticket, WitnessQuery};
use super::fencing::Fencing;
use super::overdraft::{OwnOverdraft, SLOW_CALL_THRESHOLD};
use super::pieces::{MAX_APPEND_BYTES, approximate_bytes};
use super::plan::{Credit, Plan, Planned, answer_from_memory};
use super::turn_size::TypicalTurn;
use super::wallet::IDLE_BEFORE_SETTLING;
use super::wallets::Wallets;
use crate::policy::Policy;

/// Number of consecutive failed calls after which the log counts as down.
pub const FAILURES_BEFORE_DOWN: u32 = 2;

/// How long settlements are delayed, so that one append carries several of them. No caller waits
/// for a settlement.
pub const SETTLEMENT_DELAY: Duration = Duration::from_millis(2_000);

/// Delay before the next call after a first failure.
pub const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Delay between two calls while the log is down.
pub const DOWN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a request that asks for it waits for a log that is down. Long enough for two or three
/// calls to the log, so that the request is carried out soon after the log has recovered.
pub const MAX_HOLD_WHILE_DOWN: Duration = Duration::from_millis(500);

/// How long after an outage of the log an owner that is not preferred leaves the partition to the
/// preferred one. Otherwise both would read and append the same records.
pub const YIELD_AFTER_OUTAGE: Duration = Duration::from_secs(1);

/// Additional delay before a preparatory call while the log is down, since no request waits for it.
const PREPARATION_DELAY: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct QueuedRequest {
    ticket: Ticket,
    request: LedgerRequest,
    /// Whether the state has been read to the end of the log since the request arrived. Only then
    /// is a negative answer final.
    verified: bool,
    /// The latest call that started before the request arrived. The answers to it and to earlier
    /// calls may be older than the request.
    latest_call_before: CallNumber,
    /// Until when the request stays queued although the log is down.
    hold_until: Timestamp,
}

#[derive(Debug)]
struct PendingAppend {
    plan: Plan,
    replies: Vec<(Ticket, LedgerReply)>,
    /// Turns of the plan, as (program, turn), that were reported as finished after the append
    /// started.
    abandoned_turns: Vec<(String, String)>,
}

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
    replies: Vec<(Ticket, LedgerReply)>,
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
            replies: Vec::new(),
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

    /// Submits a request. [`Self::take_replies`] returns its reply.
    ///
    /// While the log is down, one request at a time waits for a call that probes the log, and
    /// requests that ask for it wait for [`MAX_HOLD_WHILE_DOWN`]. All others are answered
    /// immediately, either from memory or with "unavailable".
    pub fn submit(&mut self, now: Timestamp, ticket: Ticket, request: LedgerRequest) {
        let is_held = matches!(&request, LedgerRequest::Finish(finish) if finish.waits);
        let hold = if is_held {
            MAX_HOLD_WHILE_DOWN
        } else {
            Duration::ZERO
        };
        self.submit_with_hold(now, ticket, request, now + hold);
    }

    fn submit_with_hold(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: LedgerRequest,
        hold_until: Timestamp,
    ) {
        if let LedgerRequest::Finish(finish) = &request {
            self.abandon(&finish.program, &finish.turn);
        }
        let immediate = self.answer_from_memory(now, &request);
        if immediate.is_none() {
            self.activate_overdraft(now);
        }
        let is_activating = self.overdraft.is_activating();
        let is_held = now < hold_until;
        let is_busy = self.is_call_in_progress || now < self.paused_until;
        let cannot_wait = !is_activating && !is_held && is_busy;
        let reply = match immediate {
            Some(reply) => Some(reply),
            None if self.is_down() && cannot_wait => Some(LedgerReply::Unavailable),
            None if self.yields_to_preferred(now) => Some(LedgerReply::Unavailable),
            None => None,
        };
        match reply {
            Some(reply) => self.replies.push((ticket, reply)),
            None => self.queue.push(QueuedRequest {
                ticket,
                request,
                verified: false,
                latest_call_before: self.last_call,
                hold_until,
            }),
        }
    }

    fn answer_from_memory(
        &mut self,
        now: Timestamp,
        request: &LedgerRequest,
    ) -> Option<LedgerReply> {
        let credit = self.credit(now);
        answer_from_memory(&self.state, &mut self.wallets, now, credit, request)
    }

    fn credit(&self, now: Timestamp) -> Credit {
        match self.own_overdraft() {
            Some(own) if own.superseded.is_none() && self.overdraft.is_usable(now) => {
                Credit::Overdraft {
                    share: own.share,
                    min_budget: own.min_budget,
                    known_programs: own.known_programs,
                }
            }
            _ => Credit::None,
        }
    }

    /// Returns whether the partition is left to the preferred owner because the log has just
    /// recovered.
    fn yields_to_preferred(&self, now: Timestamp) -> bool {
        !self.is_preferred && now < self.yields_until
    }

    /// Reports that the call in progress takes longer than [`SLOW_CALL_THRESHOLD`].
    pub fn note_slow_call(&mut self, now: Timestamp) {
        self.overdraft.record_degraded();
        if !self.queue.is_empty() {
            self.activate_overdraft(now);
        }
        self.answer_queued(now);
    }

    /// Answers queued requests that no longer need a call, and refuses those that have to wait for
    /// a log that is down.
    fn answer_queued(&mut self, now: Timestamp) {
        let refuses_waiting = self.is_down() && !self.overdraft.is_activating();
        for queued in std::mem::take(&mut self.queue) {
            let reply = match self.answer_from_memory(now, &queued.request) {
                Some(reply) => reply,
                None if refuses_waiting && !self.stays_queued(now, &queued) => {
                    LedgerReply::Unavailable
                }
                None => {
                    self.queue.push(queued);
                    continue;
                }
            };
            self.drop_pending_reply(queued.ticket, &queued.request);
            self.replies.push((queued.ticket, reply));
        }
    }

    /// Returns whether a request stays queued although the log is down, because an append in
    /// progress may answer it or because it asked to be held.
    fn stays_queued(&self, now: Timestamp, queued: &QueuedRequest) -> bool {
        now < queued.hold_until || self.is_in_append(queued.ticket)
    }

    fn is_in_append(&self, ticket: Ticket) -> bool {
        let replies = self.pending.iter().flat_map(|pending| &pending.replies);
        replies.into_iter().any(|(other, _)| *other == ticket)
    }

    /// Removes from the append in progress the reply to a request that has been answered already.
    fn drop_pending_reply(&mut self, ticket: Ticket, request: &LedgerRequest) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.replies.retain(|(other, _)| *other != ticket);
        if let LedgerRequest::Begin(begin) = request {
            let started = &mut pending.plan.started;
            started.retain(|(_, turn)| *turn != begin.turn);
        }
    }

    /// Submits all queued requests again, which refuses those that need not be held any longer.
    fn resubmit_queued(&mut self, now: Timestamp) {
        for queued in std::mem::take(&mut self.queue) {
            self.submit_with_hold(now, queued.ticket, queued.request, queued.hold_until);
        }
    }

    /// Handles the end of a turn that may not have been granted yet, which means that its caller
    /// has given up.
    fn abandon(&mut self, program: &str, turn: &str) {
        if let Some(pending) = &mut self.pending {
            let started = &pending.plan.started;
            if started.iter().any(|(_, name)| name == turn) {
                let abandoned = (program.to_owned(), turn.to_owned());
                pending.abandoned_turns.push(abandoned);
                return;
            }
        }
        let is_start = |request: &LedgerRequest| matches!(request, LedgerRequest::Begin(begin) if begin.turn == turn);
        for queued in std::mem::take(&mut self.queue) {
            if is_start(&queued.request) {
                self.replies.push((queued.ticket, LedgerReply::Unavailable));
            } else {
                self.queue.push(queued);
            }
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

    /// Returns the accounts and turns that this owner has read.
    pub fn state(&self) -> &LedgerState {
        &self.state
    }

    /// Returns the end of the log as last observed.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns the number of appends that conflicted with records of another node.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
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
        if self.queue.is_empty() && !needs_append && !needs_preparation {
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
                self.replies.push((queued.ticket, reply));
                continue;
            }
            match plan.decide(&self.state, &mut self.wallets, now, &queued.request) {
                Planned::Append(reply) => {
                    append_replies.push((queued.ticket, reply));
                    self.queue.push(queued);
                }
                Planned::AnswerIfCurrent(reply) if queued.verified => {
                    self.replies.push((queued.ticket, reply));
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
            abandoned_turns: Vec::new(),
        });
        Action::Append {
            at: self.end,
            records,
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

    /// Reports the result of [`Action::Append`].
    pub fn on_append(&mut self, now: Timestamp, outcome: AppendOutcome) {
        self.is_call_in_progress = false;
        let Some(pending) = self.pending.take() else {
            return;
        };
        if outcome == AppendOutcome::Done {
            self.record_answer(now);
            self.apply_append(now, pending);
            return;
        }
        for (program, turn) in &pending.plan.started {
            if let Some(wallet) = self.wallets.get_mut(program) {
                wallet.cancel(turn);
            }
        }
        match outcome {
            AppendOutcome::Done => {}
            AppendOutcome::Conflict => {
                self.record_answer(now);
                self.abort_closing(&pending.plan);
                self.conflicts += 1;
                self.is_synced = false;
            }
            AppendOutcome::Refused => {
                self.abort_closing(&pending.plan);
                self.on_failed_call(now);
            }
            AppendOutcome::Unknown => {
                self.is_synced = false;
                self.on_failed_call(now);
            }
        }
    }

    /// Applies an append that succeeded. The log ended where the state did, so the decisions made
    /// on that state hold.
    fn apply_append(&mut self, now: Timestamp, pending: PendingAppend) {
        for record in pending.plan.records {
            self.apply(now, record);
        }
        for (program, turn) in &pending.abandoned_turns {
            if let Some(wallet) = self.wallets.get_mut(program) {
                wallet.finish(now, turn, 0);
            }
        }
        for (ticket, reply) in pending.replies {
            self.record_turn_size(ticket);
            self.queue.retain(|queued| queued.ticket != ticket);
            self.replies.push((ticket, reply));
        }
        self.refresh_overdraft();
        self.mark_verified(self.last_call);
    }

    fn record_turn_size(&mut self, ticket: Ticket) {
        let queued = self.queue.iter().find(|queued| queued.ticket == ticket);
        let Some(LedgerRequest::Begin(begin)) = queued.map(|queued| &queued.request) else {
            return;
        };
        if begin.budget.is_some() {
            self.typical_turn.record(begin.tokens);
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

    /// Marks the requests that arrived before `call` started as verified: its answer shows the end
    /// of the log as of its start or later.
    fn mark_verified(&mut self, call: CallNumber) {
        for queued in &mut self.queue {
            queued.verified |= call > queued.latest_call_before;
        }
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

    /// Returns an append that writes old records again before the log truncates them; `None` if
    /// there are none or another action takes precedence.
    pub fn plan_rewrite(&mut self, now: Timestamp) -> Option<Action> {
        if !self.is_synced || self.pending.is_some() || !self.queue.is_empty() {
            return None;
        }
        let records = leading_records(self.state.records_to_rewrite(now));
        if records.is_empty() {
            return None;
        }
        self.pending = Some(PendingAppend {
            plan: Plan::of_records(records.clone()),
            replies: Vec::new(),
            abandoned_turns: Vec::new(),
        });
        self.is_call_in_progress = true;
        self.record_call(now);
        Some(Action::Append {
            at: self.end,
            records,
        })
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

/// Returns the leading records that fit into one append.
fn leading_records(records: Vec<LedgerRecord>) -> Vec<LedgerRecord> {
    let mut bytes = 0;
    let mut leading = Vec::new();
    for record in records {
        bytes += approximate_bytes(&record);
        if bytes > MAX_APPEND_BYTES {
            break;
        }
        leading.push(record);
    }
    leading
}
