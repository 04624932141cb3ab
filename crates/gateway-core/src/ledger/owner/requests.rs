//! Requests to [`PartitionOwner`]: takes them in, answers them from memory, and drops starts whose
//! callers have given up.

use std::time::Duration;

use elderworks_protocol::ledger::{BeginTurn, LedgerReply, LedgerRequest, TurnStorage};
use elderworks_types::Timestamp;

use super::super::calls::{CallNumber, Ticket};
use super::super::plan::{Credit, answer_from_memory};
use super::super::refusal::BudgetRefusal;
use super::super::sent_number::SentNumber;
use super::PartitionOwner;

/// How long a request that asks for it waits for a log that is down. Long enough for two or three
/// calls to the log, so that the request is carried out soon after the log has recovered.
pub const MAX_HOLD_WHILE_DOWN: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    pub(super) request: LedgerRequest,
    /// Whether the state has been read to the end of the log since the request arrived. Only then
    /// is a negative answer final.
    pub(super) verified: bool,
    /// The latest call that started before the request arrived. The answers to it and to earlier
    /// calls may be older than the request.
    pub(super) latest_call_before: CallNumber,
    /// Until when the request stays queued although the log is down.
    pub(super) hold_until: Timestamp,
}

impl QueuedRequest {
    fn is_start_of(&self, turn: &str) -> bool {
        matches!(&self.request, LedgerRequest::Begin(begin) if begin.turn == turn)
    }
}

impl PartitionOwner {
    /// Submits a request. [`Self::take_replies`] returns its reply.
    ///
    /// While the log is down, one request at a time waits for a call that probes the log, and
    /// requests that ask for it wait for [`MAX_HOLD_WHILE_DOWN`]. All others are answered
    /// immediately, either from memory or with "unavailable".
    pub fn submit(&mut self, now: Timestamp, ticket: Ticket, request: LedgerRequest) {
        if let LedgerRequest::Finish(finish) = &request {
            self.withdraw_starts(&finish.turn);
        }
        let is_held = matches!(&request, LedgerRequest::Finish(finish) if finish.waits);
        let hold = if is_held {
            MAX_HOLD_WHILE_DOWN
        } else {
            Duration::ZERO
        };
        self.submit_with_hold(now, ticket, request, now + hold);
    }

    /// Submits a request of another node, which may arrive after requests that were sent later. The
    /// start of a turn is refused if its end arrived first.
    pub fn submit_sent(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: LedgerRequest,
        sent: SentNumber,
    ) {
        match &request {
            LedgerRequest::Finish(finish) => self.ended_turns.insert(now, &finish.turn, sent),
            LedgerRequest::Begin(begin) if self.ended_turns.contains(&begin.turn, sent) => {
                self.replies.push((ticket, LedgerReply::Unavailable));
                return;
            }
            _ => {}
        }
        self.submit(now, ticket, request);
    }

    fn submit_with_hold(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: LedgerRequest,
        hold_until: Timestamp,
    ) {
        let immediate = self.answer_from_memory(now, &request);
        if immediate.is_none() && self.may_draw(&request) {
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
            Some(reply) => self.reply(now, ticket, &request, reply),
            None => self.queue.push(QueuedRequest {
                ticket,
                request,
                verified: false,
                latest_call_before: self.last_call,
                hold_until,
            }),
        }
    }

    /// Replies to a request. If it is a turn that its budget does not hold, also records why.
    pub(super) fn reply(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: &LedgerRequest,
        reply: LedgerReply,
    ) {
        if let LedgerRequest::Begin(begin) = request {
            self.note_decision(now, begin, &reply);
        }
        self.replies.push((ticket, reply));
    }

    fn note_decision(&mut self, now: Timestamp, begin: &BeginTurn, reply: &LedgerReply) {
        match reply {
            LedgerReply::Granted { .. } => {
                if let Some(pending) = &mut self.pending {
                    pending.drop_started(&begin.turn);
                }
            }
            LedgerReply::BudgetSpent | LedgerReply::BudgetUnsure | LedgerReply::BudgetInDoubt => {
                let refusal = BudgetRefusal::new(&self.state, &self.wallets, now, begin);
                self.refusals.push(refusal);
            }
            _ => {}
        }
    }

    pub(super) fn answer_from_memory(
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
                    unstored_only: own.unstored_only,
                }
            }
            _ => Credit::None,
        }
    }

    /// Returns whether the partition is left to the preferred owner because the log has just
    /// recovered.
    pub(super) fn yields_to_preferred(&self, now: Timestamp) -> bool {
        !self.is_preferred && now < self.yields_until
    }

    /// Reports that the call in progress takes longer than [`SLOW_CALL_THRESHOLD`](crate::ledger::SLOW_CALL_THRESHOLD).
    pub fn note_slow_call(&mut self, now: Timestamp) {
        self.overdraft.record_degraded();
        if self
            .queue
            .iter()
            .any(|queued| self.may_draw(&queued.request))
        {
            self.activate_overdraft(now);
        }
        self.answer_queued(now);
    }

    /// Returns whether a request may draw on the own overdraft once that is active.
    fn may_draw(&self, request: &LedgerRequest) -> bool {
        let LedgerRequest::Begin(begin) = request else {
            return false;
        };
        let is_served = begin.storage() == TurnStorage::NotStored;
        let serves_all = self.own_overdraft().is_some_and(|own| !own.unstored_only);
        begin.budget.is_some() && (is_served || serves_all)
    }

    /// Answers queued requests that no longer need a call, and refuses those that have to wait for
    /// a log that is down.
    pub(super) fn answer_queued(&mut self, now: Timestamp) {
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
            if let Some(pending) = &mut self.pending {
                pending.drop_reply(queued.ticket);
            }
            self.reply(now, queued.ticket, &queued.request, reply);
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

    /// Submits all queued requests again, which refuses those that need not be held any longer.
    pub(super) fn resubmit_queued(&mut self, now: Timestamp) {
        for queued in std::mem::take(&mut self.queue) {
            self.submit_with_hold(now, queued.ticket, queued.request, queued.hold_until);
        }
    }

    /// Drops the start of a turn whose requester has gone before it was answered; other requests are
    /// carried out all the same. The requester may have asked once more on another connection.
    pub fn withdraw(&mut self, ticket: Ticket) {
        let is_withdrawn = |queued: &QueuedRequest| queued.ticket == ticket;
        let Some(index) = self.queue.iter().position(is_withdrawn) else {
            return;
        };
        let LedgerRequest::Begin(begin) = &self.queue[index].request else {
            return;
        };
        let (program, turn) = (begin.program.clone(), begin.turn.clone());
        self.queue.remove(index);
        let is_repeated = self.queue.iter().any(|queued| queued.is_start_of(&turn));
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.drop_reply(ticket);
        if !is_repeated
            && pending.drop_started(&turn)
            && let Some(wallet) = self.wallets.get_mut(&program)
        {
            wallet.cancel(&turn);
        }
    }

    /// Drops the starts of a turn whose end was reported, also from the append in progress: their
    /// caller has given up. Otherwise an append that fails would put them back into the queue, and
    /// the turn would be started for nobody.
    fn withdraw_starts(&mut self, turn: &str) {
        for withdrawn in self.queue.extract_if(.., |queued| queued.is_start_of(turn)) {
            if let Some(pending) = &mut self.pending {
                pending.drop_reply(withdrawn.ticket);
            }
            let reply = (withdrawn.ticket, LedgerReply::Unavailable);
            self.replies.push(reply);
        }
    }

    /// Marks the requests that arrived before `call` started as verified: its answer shows the end
    /// of the log as of its start or later.
    pub(super) fn mark_verified(&mut self, call: CallNumber) {
        for queued in &mut self.queue {
            queued.verified |= call > queued.latest_call_before;
        }
    }
}
