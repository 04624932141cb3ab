//! Appends of [`PartitionOwner`]: what an append in progress decides, and how its outcome is
//! applied.

use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest};
use elderworks_types::Timestamp;

use super::super::calls::{Action, AppendOutcome, Ticket};
use super::super::pieces::{MAX_APPEND_BYTES, approximate_bytes};
use super::super::plan::Plan;
use super::super::unsettled::UnsettledAppend;
use super::PartitionOwner;

#[derive(Debug)]
pub(super) struct PendingAppend {
    pub(super) plan: Plan,
    pub(super) replies: Vec<(Ticket, LedgerReply)>,
}

impl PendingAppend {
    /// Removes the reply to a request that is answered before the append completes.
    pub(super) fn drop_reply(&mut self, ticket: Ticket) {
        self.replies.retain(|(other, _)| *other != ticket);
    }

    /// Removes a turn from those that are cancelled if the append fails, since it is granted or withdrawn.
    /// Returns whether it was one.
    pub(super) fn drop_started(&mut self, turn: &str) -> bool {
        let started = &mut self.plan.started;
        let count = started.len();
        started.retain(|(_, other)| other != turn);
        started.len() < count
    }
}

impl PartitionOwner {
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
                self.unsettled = Some(UnsettledAppend::new(now, self.end));
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
        });
        self.is_call_in_progress = true;
        self.record_call(now);
        Some(Action::Append {
            at: self.end,
            records,
        })
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
