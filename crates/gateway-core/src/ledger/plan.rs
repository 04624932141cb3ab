//! Decides requests to a partition: what can be answered at once, and what must be appended.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;
use elderworks_protocol::ledger::{
    BeginTurn, FinishTurn, KeptTurn, LedgerRecord, LedgerReply, LedgerRequest,
};
use elderworks_types::Timestamp;

use super::pieces::{MAX_APPEND_BYTES, approximate_bytes, kept_records};
use super::wallet::signed;
use super::wallets::Wallets;
use super::{Account, LedgerState};

/// An advance holds at most this many turns beyond the one that it is made for.
const TURNS_IN_ADVANCE: u64 = 2;

/// An advance takes at most this part of what the budget has left beyond the turn that it is made
/// for: what is lost with its owner must not matter much to the program.
const SHARE_IN_ADVANCE: u64 = 4;

/// How long a denial waits for what other owners have set aside: an owner that lives and is not
/// asked any more settles at once, and a turn that it has let run has ended by then. What an owner
/// that is lost had set aside counts in full afterwards.
pub const OTHERS_PATIENCE: Duration = Duration::from_secs(4);

/// What a turn may draw on beside its program's advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Credit {
    /// Nothing.
    None,
    /// The owner's overdraft.
    Overdraft {
        /// See [`crate::policy::Policy::overdraft_share`].
        share: u64,
        /// Programs with smaller budgets may not draw on it.
        min_budget: u64,
        /// Whether only programs may draw on it that have an account in the log.
        known_programs: bool,
    },
}

/// What is to be done for a request that cannot be answered at once.
#[derive(Debug)]
pub(super) enum Planned {
    /// Answer once the records of the plan are durable.
    Append(LedgerReply),
    /// Answer only if the state is as of the log's end.
    AnswerIfCurrent(LedgerReply),
    /// Decide anew once it is known whether the records of the plan are durable.
    DecideAfterAppend,
}

/// Records to append in one call, and what was drawn on account of them.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub(super) records: Vec<LedgerRecord>,
    /// Turns that were started on advances of this plan, by program.
    pub(super) started: Vec<(String, String)>,
    /// Overdrafts of other owners that may soon be closed as unused.
    pub(super) undecided: BTreeSet<String>,
    /// Whether the own overdraft is closed by the plan's records.
    pub(super) closes_own: bool,
    /// Whether advances hold more than the turn that they are made for.
    pub(super) has_extra: bool,
    accounts: HashMap<String, Account>,
    advanced: HashMap<String, u64>,
}

/// Answers a request from memory if that needs no call to the log: positive answers, and denials
/// that no later record can make wrong.
pub(super) fn answer_at_once(
    state: &LedgerState,
    wallets: &mut Wallets,
    now: Timestamp,
    credit: Credit,
    request: &LedgerRequest,
) -> Option<LedgerReply> {
    match request {
        LedgerRequest::Begin(begin) => begin_at_once(state, wallets, now, credit, begin),
        LedgerRequest::Finish(finish) => finish_at_once(state, wallets, now, finish),
        LedgerRequest::Conversation { turn } => {
            let conversation = state.conversation(turn)?;
            Some(LedgerReply::Conversation { conversation })
        }
        // Witnesses are asked by node, not by partition.
        LedgerRequest::Witness(_) => Some(LedgerReply::Unavailable),
    }
}

fn begin_at_once(
    state: &LedgerState,
    wallets: &mut Wallets,
    now: Timestamp,
    credit: Credit,
    begin: &BeginTurn,
) -> Option<LedgerReply> {
    let conversation = match &begin.previous {
        Some(previous) => state.conversation(previous)?,
        None => Bytes::new(),
    };
    if let Some(budget) = begin.budget {
        // Programs that loop ask again and again; the rare denial of a first turn is looked up.
        let generated = tokens_generated(state, wallets, &begin.program);
        let is_running = wallets.is_running(&begin.program, &begin.turn);
        if generated > 0 && generated.saturating_add(begin.tokens) > budget && !is_running {
            return Some(LedgerReply::BudgetSpent);
        }
        if !draw_advance(wallets, now, begin)
            && !draw_overdraft(state, wallets, now, credit, begin, budget)
        {
            return None;
        }
    }
    Some(LedgerReply::Granted { conversation })
}

/// Whether the program's advances hold the turn.
fn draw_advance(wallets: &mut Wallets, now: Timestamp, begin: &BeginTurn) -> bool {
    let Some(wallet) = wallets.get_mut(&begin.program) else {
        return false;
    };
    if wallet.is_running(&begin.turn) {
        // Asked again. A negative balance waits for an advance that is not durable yet.
        return wallet.free() >= 0;
    }
    let is_held = wallet.free() >= signed(begin.tokens);
    if is_held {
        wallet.start(now, begin.turn.clone(), begin.tokens);
    }
    is_held
}

/// Whether the turn may run on the overdraft: with the turn at its most the program draws no more
/// than its share, which others keep free, and its budget holds the turn as far as is known here.
fn draw_overdraft(
    state: &LedgerState,
    wallets: &mut Wallets,
    now: Timestamp,
    credit: Credit,
    begin: &BeginTurn,
    budget: u64,
) -> bool {
    let Credit::Overdraft {
        share,
        min_budget,
        known_programs,
    } = credit
    else {
        return false;
    };
    let is_known = state.account(&begin.program).is_some();
    if budget < min_budget || known_programs && !is_known {
        return false;
    }
    let program = &begin.program;
    let is_running = wallets.is_running(program, &begin.turn);
    let with_turn = if is_running {
        wallets.drawn(program)
    } else {
        wallets.drawn(program).saturating_add(begin.tokens)
    };
    if with_turn > budget / share.max(1) {
        return false;
    }
    let is_own = |name: &str| wallets.is_own(name);
    let set_aside = state.reserved(program, is_own);
    let committed = state.account(program).map_or(0, Account::committed);
    let others = state.overdrawn_by_others(program, budget, is_own);
    let unrecorded = with_turn.saturating_sub(set_aside);
    if committed.saturating_add(others).saturating_add(unrecorded) > budget {
        return false;
    }
    if !is_running {
        let wallet = wallets.entry(program);
        wallet.start(now, begin.turn.clone(), begin.tokens);
    }
    true
}

/// Tokens that a program's ended turns have surely generated, as far as known here. This never
/// falls, unlike what is set aside.
fn tokens_generated(state: &LedgerState, wallets: &Wallets, program: &str) -> u64 {
    let settled = state.account(program).map_or(0, |account| account.settled);
    settled.saturating_add(wallets.unsettled_use(program))
}

fn finish_at_once(
    state: &LedgerState,
    wallets: &mut Wallets,
    now: Timestamp,
    finish: &FinishTurn,
) -> Option<LedgerReply> {
    if let Some(wallet) = wallets.get_mut(&finish.program) {
        wallet.end(now, &finish.turn, finish.used);
    }
    let is_kept = finish.kept.is_none() || state.has_turn(&finish.turn);
    is_kept.then_some(LedgerReply::Finished)
}

impl Plan {
    /// A plan that only appends records.
    pub(super) fn of_records(records: Vec<LedgerRecord>) -> Self {
        Self {
            records,
            ..Self::default()
        }
    }

    /// A plan that begins with settling what waits for it.
    pub(super) fn new(state: &LedgerState, settlements: Vec<LedgerRecord>) -> Self {
        let mut plan = Self::default();
        for record in settlements {
            if let LedgerRecord::Settled {
                program,
                reservation,
                used,
            } = &record
            {
                plan.account(state, program).settle(reservation, *used);
            }
            plan.records.push(record);
        }
        plan
    }

    /// Whether an append of the plan's records is as large as appends should be.
    pub(super) fn is_full(&self) -> bool {
        let bytes: usize = self.records.iter().map(approximate_bytes).sum();
        bytes >= MAX_APPEND_BYTES
    }

    /// Decides a request on top of those decided before it.
    pub(super) fn decide(
        &mut self,
        state: &LedgerState,
        wallets: &mut Wallets,
        now: Timestamp,
        request: &LedgerRequest,
    ) -> Planned {
        match request {
            LedgerRequest::Begin(begin) => self.decide_begin(state, wallets, now, begin),
            LedgerRequest::Finish(finish) => {
                if let Some(content) = &finish.kept {
                    self.keep(&finish.turn, content.clone());
                }
                Planned::Append(LedgerReply::Finished)
            }
            LedgerRequest::Conversation { .. } => {
                Planned::AnswerIfCurrent(LedgerReply::UnknownTurn)
            }
            LedgerRequest::Witness(_) => Planned::AnswerIfCurrent(LedgerReply::Unavailable),
        }
    }

    /// Sets aside what programs have drawn on the overdraft.
    pub(super) fn cover(&mut self, state: &LedgerState, wallets: &mut Wallets) {
        for (program, tokens) in wallets.overdrawn() {
            let reservation = wallets.next_name();
            self.reserve(state, &program, reservation, tokens);
        }
    }

    fn decide_begin(
        &mut self,
        state: &LedgerState,
        wallets: &mut Wallets,
        now: Timestamp,
        begin: &BeginTurn,
    ) -> Planned {
        let Some((conversation, import)) = conversation_before(state, begin) else {
            return Planned::AnswerIfCurrent(LedgerReply::UnknownTurn);
        };
        if let Some(budget) = begin.budget
            && let Err(shortage) = self.fund(state, wallets, now, begin, budget)
        {
            // What another turn of this plan takes may turn out not to be taken.
            if self.advanced.contains_key(&begin.program) {
                return Planned::DecideAfterAppend;
            }
            let doubt = self.doubt(state, wallets, now, &begin.program, budget);
            return Planned::AnswerIfCurrent(shortage.reply(doubt));
        }
        if let Some((turn, content)) = import {
            self.keep(&turn, content);
        }
        Planned::Append(LedgerReply::Granted { conversation })
    }

    /// What of the tokens that are held free of a program for other owners may not be spent.
    fn doubt(
        &self,
        state: &LedgerState,
        wallets: &Wallets,
        now: Timestamp,
        program: &str,
        budget: u64,
    ) -> Doubt {
        let is_own = |name: &str| wallets.is_own(name);
        let reserved = state.lately_reserved_by_others(program, now, OTHERS_PATIENCE, is_own);
        let undecided = state.overdrawn_by_others(program, budget, |name| {
            is_own(name) || !self.undecided.contains(name)
        });
        let unknown = state.overdrawn_by_others(program, budget, is_own);
        Doubt {
            resolves_soon: reserved.saturating_add(undecided),
            total: reserved.saturating_add(unknown),
        }
    }

    /// Starts a turn on the program's wallet, with a new advance if it holds too little. An error
    /// if the budget does not hold the turn.
    fn fund(
        &mut self,
        state: &LedgerState,
        wallets: &mut Wallets,
        now: Timestamp,
        begin: &BeginTurn,
        budget: u64,
    ) -> Result<(), Shortage> {
        let program = &begin.program;
        let wallet = wallets.get(program);
        if wallet.is_some_and(|wallet| wallet.is_running(&begin.turn)) {
            return Ok(());
        }
        let planned = self.advanced.get(program).copied().unwrap_or(0);
        let free = wallet
            .map_or(0, |wallet| wallet.free())
            .saturating_add(signed(planned));
        let missing = u64::try_from(signed(begin.tokens).saturating_sub(free)).unwrap_or(0);
        if missing > 0 {
            let is_own = |name: &str| wallets.is_own(name);
            let others = state.overdrawn_by_others(program, budget, is_own);
            let account = self.account(state, program);
            let held = account.committed().saturating_add(others);
            let wanted = held.saturating_add(missing);
            if !account.allows(budget.saturating_sub(others), missing) {
                return Err(Shortage {
                    tokens: wanted - budget,
                });
            }
            let extra = match self.has_extra {
                true => extra_advance(budget - wanted, begin.tokens),
                false => 0,
            };
            let reservation = wallets.next_name();
            self.reserve(state, program, reservation, missing.saturating_add(extra));
        }
        wallets
            .entry(program)
            .start(now, begin.turn.clone(), begin.tokens);
        self.started.push((program.clone(), begin.turn.clone()));
        Ok(())
    }

    fn reserve(&mut self, state: &LedgerState, program: &str, reservation: String, tokens: u64) {
        self.account(state, program)
            .reserve(reservation.clone(), tokens);
        let advanced = self.advanced.entry(program.to_owned()).or_default();
        *advanced = advanced.saturating_add(tokens);
        self.records.push(LedgerRecord::Reserved {
            program: program.to_owned(),
            reservation,
            tokens,
        });
    }

    fn keep(&mut self, turn: &str, content: KeptTurn) {
        self.records.extend(kept_records(turn, content));
    }

    /// A program's account as it will be once the records so far are durable.
    fn account(&mut self, state: &LedgerState, program: &str) -> &mut Account {
        self.accounts
            .entry(program.to_owned())
            .or_insert_with(|| state.account(program).cloned().unwrap_or_default())
    }
}

/// What an advance holds beyond its turn of `tokens`, if the budget has `left` beyond the turn. It
/// leaves room for another such turn, if there is: should the advance be lost with its owner, the
/// program can go on.
fn extra_advance(left: u64, tokens: u64) -> u64 {
    let spare = left.checked_sub(tokens).unwrap_or(left);
    let small = (left / SHARE_IN_ADVANCE).min(spare);
    small.min(tokens.saturating_mul(TURNS_IN_ADVANCE))
}

/// What a budget lacks for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shortage {
    tokens: u64,
}

/// Tokens of which it is not known whether they are spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Doubt {
    /// Those of which that will soon be known.
    resolves_soon: u64,
    /// All of them.
    total: u64,
}

impl Shortage {
    fn reply(self, doubt: Doubt) -> LedgerReply {
        if doubt.resolves_soon >= self.tokens {
            LedgerReply::BudgetUnsure
        } else if doubt.total >= self.tokens {
            LedgerReply::BudgetInDoubt
        } else {
            LedgerReply::BudgetSpent
        }
    }
}

/// A turn to be kept on behalf of another partition.
type Import = Option<(String, KeptTurn)>;

/// The conversation that a turn goes on from, with what is to be kept of it here; `None` if this
/// partition lacks a part of it.
fn conversation_before(state: &LedgerState, begin: &BeginTurn) -> Option<(Bytes, Import)> {
    let Some(previous) = &begin.previous else {
        return Some((Bytes::new(), None));
    };
    if let Some(conversation) = state.conversation(previous) {
        return Some((conversation, None));
    }
    let imported = begin.imported.clone()?;
    let content = KeptTurn {
        previous: None,
        input: imported.clone(),
        output: Bytes::new(),
    };
    Some((imported, Some((previous.clone(), content))))
}
