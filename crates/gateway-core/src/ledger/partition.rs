//! Decides requests to a partition on the state that has been replayed.

use std::collections::HashMap;

use bytes::Bytes;
use elderworks_protocol::ledger::{
    BeginTurn, FinishTurn, KeptTurn, LedgerRecord, LedgerReply, LedgerRequest,
};

use super::{Account, LedgerState};

/// What is to be done for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evaluation {
    /// Answer at once: the answer holds even if later records are unknown.
    Answer(LedgerReply),
    /// Append these records, and answer once they are durable.
    Append {
        /// In this order.
        records: Vec<LedgerRecord>,
        /// The answer.
        reply: LedgerReply,
        /// Whether the answer waits for nothing else, so that records may be held back a while to
        /// be appended with others.
        may_wait: bool,
    },
    /// Answer only if the state is as of the log's end.
    AnswerIfCurrent(LedgerReply),
}

/// Requests that are decided together and appended in one call: the accounts as they will be then.
#[derive(Debug, Default)]
pub struct Batch {
    accounts: HashMap<String, Account>,
}

impl Batch {
    fn account(&mut self, state: &LedgerState, program: &str) -> &mut Account {
        self.accounts
            .entry(program.to_owned())
            .or_insert_with(|| state.account(program).cloned().unwrap_or_default())
    }
}

/// Decides one request on top of those decided before it in the same batch. Ends of turns should
/// come first: what they give back is at hand for the turns that begin.
pub fn evaluate(state: &LedgerState, batch: &mut Batch, request: &LedgerRequest) -> Evaluation {
    match request {
        LedgerRequest::Begin(begin) => evaluate_begin(state, batch, begin),
        LedgerRequest::Finish(finish) => evaluate_finish(state, batch, finish),
        LedgerRequest::Conversation { turn } => match state.conversation(turn) {
            Some(conversation) => Evaluation::Answer(LedgerReply::Conversation { conversation }),
            None => Evaluation::AnswerIfCurrent(LedgerReply::UnknownTurn),
        },
    }
}

fn evaluate_begin(state: &LedgerState, batch: &mut Batch, begin: &BeginTurn) -> Evaluation {
    let mut records = Vec::new();
    let conversation = match conversation_before(state, begin, &mut records) {
        Some(conversation) => conversation,
        None => return Evaluation::AnswerIfCurrent(LedgerReply::UnknownTurn),
    };
    let reply = LedgerReply::Granted { conversation };
    let Some(budget) = begin.budget else {
        return append_or_answer(records, reply);
    };
    let account = batch.account(state, &begin.program);
    if account.open.contains_key(&begin.turn) {
        return append_or_answer(records, reply);
    }
    if !account.allows(budget, begin.tokens) {
        return Evaluation::AnswerIfCurrent(LedgerReply::BudgetSpent);
    }
    account.reserve(begin.turn.clone(), begin.tokens);
    records.push(LedgerRecord::Reserved {
        program: begin.program.clone(),
        turn: begin.turn.clone(),
        tokens: begin.tokens,
    });
    append_or_answer(records, reply)
}

/// The conversation that a turn goes on from; `None` if this partition lacks a part of it.
fn conversation_before(
    state: &LedgerState,
    begin: &BeginTurn,
    records: &mut Vec<LedgerRecord>,
) -> Option<Bytes> {
    let Some(previous) = &begin.previous else {
        return Some(Bytes::new());
    };
    if let Some(conversation) = state.conversation(previous) {
        return Some(conversation);
    }
    let imported = begin.imported.clone()?;
    let content = KeptTurn {
        previous: None,
        input: imported.clone(),
        output: Bytes::new(),
    };
    records.push(LedgerRecord::Kept {
        turn: previous.clone(),
        content,
    });
    Some(imported)
}

fn evaluate_finish(state: &LedgerState, batch: &mut Batch, finish: &FinishTurn) -> Evaluation {
    let mut records = Vec::new();
    let account = batch.account(state, &finish.program);
    if account.open.contains_key(&finish.turn) {
        account.settle(&finish.turn, finish.used);
        records.push(LedgerRecord::Settled {
            program: finish.program.clone(),
            turn: finish.turn.clone(),
            used: finish.used,
        });
    }
    let mut may_wait = true;
    if let Some(content) = &finish.kept
        && !state.has_turn(&finish.turn)
    {
        may_wait = false;
        records.push(LedgerRecord::Kept {
            turn: finish.turn.clone(),
            content: content.clone(),
        });
    }
    if records.is_empty() {
        // Nothing is known of the turn, or its end was recorded before.
        return Evaluation::AnswerIfCurrent(LedgerReply::Finished);
    }
    Evaluation::Append {
        records,
        reply: LedgerReply::Finished,
        may_wait,
    }
}

fn append_or_answer(records: Vec<LedgerRecord>, reply: LedgerReply) -> Evaluation {
    if records.is_empty() {
        return Evaluation::Answer(reply);
    }
    Evaluation::Append {
        records,
        reply,
        may_wait: false,
    }
}
