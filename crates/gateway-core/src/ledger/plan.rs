//! Decides requests to a partition, either from memory or as records to append.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;
use elderworks_protocol::ledger::{
    BeginTurn, FinishTurn, LedgerRecord, LedgerReply, LedgerRequest, StoredTurn, TurnStorage,
};
use elderworks_types::Timestamp;

use super::pieces::{MAX_APPEND_BYTES, approximate_bytes, kept_records};
use super::wallet::to_signed;
use super::wallets::Wallets;
use super::{Account, LedgerState, ProgramTurn};

/// Maximum size of the extra part of an advance, in turns of the size of the one that it is made
/// for.
const MAX_EXTRA_TURNS: u64 = 2;

/// The extra part of an advance is at most the rest of the budget divided by this number, so that
/// losing an advance together with its owner costs the program little.
const EXTRA_DIVISOR: u64 = 4;

/// Number of turns that must fit into the rest of a budget beyond a stored turn. With less, what
/// the turn leaves unused is settled at its end, since the budget can't bear its loss.
const TURNS_OF_AMPLE_BUDGET: u64 = 4;

/// How long reservations of other owners can lead to the answer "budget unsure" in place of a
/// denial. An owner that is alive but no longer receives requests settles its reservations sooner,
/// and the turns that it permitted finish in that time. After that, its reservations count in full.
pub const FOREIGN_SETTLEMENT_WAIT: Duration = Duration::from_secs(4);

/// What a turn may draw on in addition to its program's advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Credit {
    /// Advances only.
    None,
    /// The owner's overdraft, with its terms.
    Overdraft {
        /// See [`crate::policy::Policy::overdraft_share`].
        share: u64,
        /// Minimum budget of a program that may draw on it.
        min_budget: u64,
        /// Whether only programs with an account in the log may draw on it.
        known_programs: bool,
        /// Whether only turns may draw on it that aren't stored.
        unstored_only: bool,
    },
}

/// How to handle a request that cannot be answered from memory.
#[derive(Debug)]
pub(super) enum Planned {
    /// Reply once the records of the plan are durable.
    Append(LedgerReply),
    /// Reply if the state is verified to be as of the end of the log.
    AnswerIfCurrent(LedgerReply),
    /// Decide again after the append of the plan has completed.
    DecideAfterAppend,
}

/// Records to append in one call, and what was drawn from the advances among them.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub(super) records: Vec<LedgerRecord>,
    /// Turns started on advances of this plan, as (program, turn).
    pub(super) started: Vec<(String, String)>,
    /// Foreign overdrafts that may soon be closed as unused.
    pub(super) undecided: BTreeSet<String>,
    /// Whether the records of the plan close the own overdraft.
    pub(super) closes_own: bool,
    /// Whether advances may exceed the turn that they are made for.
    pub(super) allows_extra: bool,
    accounts: HashMap<String, Account>,
    advanced: HashMap<String, u64>,
}

/// Answers a request from memory if no call to the log is needed: positive answers, and denials
/// that no later record can invalidate.
pub(super) fn answer_from_memory(
    state: &LedgerState,
    wallets: &mut Wallets,
    now: Timestamp,
    credit: Credit,
    request: &LedgerRequest,
) -> Option<LedgerReply> {
    match request {
        LedgerRequest::Begin(begin) => start_from_memory(state, wallets, now, credit, begin),
        LedgerRequest::Finish(finish) => finish_from_memory(state, wallets, now, finish),
        LedgerRequest::Conversation { turn } => {
            let conversation = state.conversation(turn)?;
            Some(LedgerReply::Conversation { conversation })
        }
        // Witness questions are handled per node, not per partition.
        LedgerRequest::Witness(_) => Some(LedgerReply::Unavailable),
    }
}

fn start_from_memory(
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
        // Denials for programs that have generated tokens are final, since that count never falls.
        // A denial of a first turn is rare and is verified with the log.
        let generated = tokens_generated(state, wallets, &begin.program);
        let is_running = wallets.is_running(&begin.program, &begin.turn);
        if generated > 0 && generated.saturating_add(begin.tokens) > budget && !is_running {
            return Some(LedgerReply::BudgetSpent);
        }
        let settles_at_end = settles_at_end(begin, budget, generated);
        if !draw_advance(wallets, now, begin, settles_at_end)
            && !draw_overdraft(state, wallets, now, credit, begin, budget)
        {
            return None;
        }
    }
    Some(LedgerReply::Granted { conversation })
}

/// Draws the turn from the program's advances. Returns whether they hold it.
fn draw_advance(
    wallets: &mut Wallets,
    now: Timestamp,
    begin: &BeginTurn,
    settles_at_end: bool,
) -> bool {
    let Some(wallet) = wallets.get_mut(&begin.program) else {
        return false;
    };
    if wallet.is_running(&begin.turn) {
        // A repeated request. A negative balance means that the advance is not durable yet.
        return wallet.available() >= 0;
    }
    let is_covered = wallet.available() >= to_signed(begin.tokens);
    if is_covered {
        wallet.start(now, begin.turn.clone(), begin.tokens);
        wallet.set_settles_at_end(settles_at_end);
    }
    is_covered
}

/// Draws the turn from the overdraft. Returns whether that is allowed: with this turn at its
/// maximum, the program must stay within its share of the overdraft, which other owners reserve for
/// it, and within its budget as far as this owner knows.
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
        unstored_only,
    } = credit
    else {
        return false;
    };
    let is_known = state.account(&begin.program).is_some();
    let is_served = begin.storage() == TurnStorage::NotStored || !unstored_only;
    if budget < min_budget || known_programs && !is_known || !is_served {
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
    let reserved = state.reserved(program, is_own);
    let committed = state.account(program).map_or(0, Account::committed);
    let others = state.overdrawn_by_others(program_turn(begin, budget), is_own);
    let unrecorded = with_turn.saturating_sub(reserved);
    if committed.saturating_add(others).saturating_add(unrecorded) > budget {
        return false;
    }
    if !is_running {
        let wallet = wallets.entry(program);
        wallet.start(now, begin.turn.clone(), begin.tokens);
    }
    true
}

/// Returns the tokens that finished turns of a program are known to have generated. Unlike
/// reservations, this count never falls.
fn tokens_generated(state: &LedgerState, wallets: &Wallets, program: &str) -> u64 {
    let settled = state.account(program).map_or(0, |account| account.settled);
    settled.saturating_add(wallets.unsettled_tokens(program))
}

fn finish_from_memory(
    state: &LedgerState,
    wallets: &mut Wallets,
    now: Timestamp,
    finish: &FinishTurn,
) -> Option<LedgerReply> {
    if let Some(wallet) = wallets.get_mut(&finish.program) {
        wallet.finish(now, &finish.turn, finish.used);
    }
    let is_kept = finish.kept.is_none() || state.has_turn(&finish.turn);
    is_kept.then_some(LedgerReply::Finished)
}

impl Plan {
    /// Creates a plan that only appends the given records.
    pub(super) fn of_records(records: Vec<LedgerRecord>) -> Self {
        Self {
            records,
            ..Self::default()
        }
    }

    /// Creates a plan that starts with the given settlements.
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

    /// Returns whether the plan's records fill one append.
    pub(super) fn is_full(&self) -> bool {
        let bytes: usize = self.records.iter().map(approximate_bytes).sum();
        bytes >= MAX_APPEND_BYTES
    }

    /// Decides a request, taking those decided earlier in the plan into account.
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

    /// Reserves the tokens that programs have drawn on the overdraft.
    pub(super) fn cover_overdrafts(&mut self, state: &LedgerState, wallets: &mut Wallets) {
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
        let Some((conversation, import)) = preceding_conversation(state, begin) else {
            return Planned::AnswerIfCurrent(LedgerReply::UnknownTurn);
        };
        if let Some(budget) = begin.budget
            && let Err(shortage) = self.fund(state, wallets, now, begin, budget)
        {
            // The append may fail, and the tokens of the earlier turn become available again.
            if self.advanced.contains_key(&begin.program) {
                return Planned::DecideAfterAppend;
            }
            let turn = program_turn(begin, budget);
            let unsettled = self.unsettled(state, wallets, now, turn);
            return Planned::AnswerIfCurrent(shortage.reply(unsettled));
        }
        if let Some((turn, content)) = import {
            self.keep(&turn, content);
        }
        Planned::Append(LedgerReply::Granted { conversation })
    }

    /// Returns the tokens that count against a program's budget because of other owners but may
    /// turn out to be unused.
    fn unsettled(
        &self,
        state: &LedgerState,
        wallets: &Wallets,
        now: Timestamp,
        turn: ProgramTurn<'_>,
    ) -> Unsettled {
        let is_own = |name: &str| wallets.is_own(name);
        let reserved =
            state.recently_reserved_by_others(turn.program, now, FOREIGN_SETTLEMENT_WAIT, is_own);
        let undecided =
            state.overdrawn_by_others(turn, |name| is_own(name) || !self.undecided.contains(name));
        let unknown = state.overdrawn_by_others(turn, is_own);
        Unsettled {
            resolves_soon: reserved.saturating_add(undecided),
            total: reserved.saturating_add(unknown),
        }
    }

    /// Starts a turn on the program's wallet, with a new advance if the wallet holds too little.
    ///
    /// # Errors
    ///
    /// Returns the shortage if the budget does not hold the turn.
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
        let generated = tokens_generated(state, wallets, program);
        let settles_at_end = settles_at_end(begin, budget, generated);
        let planned = self.advanced.get(program).copied().unwrap_or(0);
        let available = wallet
            .map_or(0, |wallet| wallet.available())
            .saturating_add(to_signed(planned));
        let missing = u64::try_from(to_signed(begin.tokens).saturating_sub(available)).unwrap_or(0);
        if missing > 0 {
            let is_own = |name: &str| wallets.is_own(name);
            let others = state.overdrawn_by_others(program_turn(begin, budget), is_own);
            let account = self.account(state, program);
            let held = account.committed().saturating_add(others);
            let wanted = held.saturating_add(missing);
            if !account.allows(budget.saturating_sub(others), missing) {
                return Err(Shortage {
                    tokens: wanted - budget,
                });
            }
            let extra = match self.allows_extra && !settles_at_end {
                true => extra_advance(budget - wanted, begin.tokens),
                false => 0,
            };
            let reservation = wallets.next_name();
            self.reserve(state, program, reservation, missing.saturating_add(extra));
        }
        let wallet = wallets.entry(program);
        wallet.start(now, begin.turn.clone(), begin.tokens);
        wallet.set_settles_at_end(settles_at_end);
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

    fn keep(&mut self, turn: &str, content: StoredTurn) {
        self.records.extend(kept_records(turn, content));
    }

    /// Returns a program's account as it will be after the records so far are appended.
    fn account(&mut self, state: &LedgerState, program: &str) -> &mut Account {
        self.accounts
            .entry(program.to_owned())
            .or_insert_with(|| state.account(program).cloned().unwrap_or_default())
    }
}

fn program_turn(begin: &BeginTurn, budget: u64) -> ProgramTurn<'_> {
    ProgramTurn {
        program: &begin.program,
        budget,
        storage: begin.storage(),
    }
}

/// Returns whether what a turn leaves unused is to be settled with the append that stores it, given
/// the tokens that the program has generated so far. An advance that is lost with its owner counts
/// in full, and a budget with room for a few turns only would lack it for its last one.
fn settles_at_end(begin: &BeginTurn, budget: u64, generated: u64) -> bool {
    let left = budget
        .saturating_sub(generated)
        .saturating_sub(begin.tokens);
    let is_ample = left >= begin.tokens.saturating_mul(TURNS_OF_AMPLE_BUDGET);
    begin.storage() != TurnStorage::NotStored && !is_ample
}

/// Returns the extra part of an advance for a turn of `tokens` if `left` tokens of the budget
/// remain beyond that turn. If possible, it leaves enough for another turn of this size, so that
/// the program can continue if the advance is lost with its owner.
fn extra_advance(left: u64, tokens: u64) -> u64 {
    let spare = left.checked_sub(tokens).unwrap_or(left);
    let small = (left / EXTRA_DIVISOR).min(spare);
    small.min(tokens.saturating_mul(MAX_EXTRA_TURNS))
}

/// The tokens that a budget lacks for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shortage {
    tokens: u64,
}

/// Tokens that count against a budget but may be unused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Unsettled {
    /// The part that will soon be settled.
    resolves_soon: u64,
    /// All of these tokens.
    total: u64,
}

impl Shortage {
    fn reply(self, unsettled: Unsettled) -> LedgerReply {
        if unsettled.resolves_soon >= self.tokens {
            LedgerReply::BudgetUnsure
        } else if unsettled.total >= self.tokens {
            LedgerReply::BudgetInDoubt
        } else {
            LedgerReply::BudgetSpent
        }
    }
}

/// Name and content of a turn to import from another partition.
type Import = Option<(String, StoredTurn)>;

/// Returns the conversation that a turn continues, and the turn to store here if the conversation
/// was imported; `None` if this partition lacks a part of it.
fn preceding_conversation(state: &LedgerState, begin: &BeginTurn) -> Option<(Bytes, Import)> {
    let Some(previous) = &begin.previous else {
        return Some((Bytes::new(), None));
    };
    if let Some(conversation) = state.conversation(previous) {
        return Some((conversation, None));
    }
    let imported = begin.imported.clone()?;
    let content = StoredTurn {
        previous: None,
        input: imported.clone(),
        output: Bytes::new(),
    };
    Some((imported, Some((previous.clone(), content))))
}
