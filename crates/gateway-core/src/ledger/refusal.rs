//! Why a program's budget does not hold a turn: what counts against it, for the log.

use std::fmt;
use std::time::Duration;

use elderworks_protocol::ledger::BeginTurn;
use elderworks_types::Timestamp;

use super::overdraft::owner_of;
use super::wallets::Wallets;
use super::{LedgerState, ProgramTurn};

/// Maximum number of holds that a refusal lists.
const MAX_LISTED_HOLDS: usize = 8;

/// A turn that was refused for its program's budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetRefusal {
    /// The program.
    pub program: String,
    /// The refused turn.
    pub turn: String,
    /// The program's budget, in tokens.
    pub budget: u64,
    /// Maximum tokens of the refused turn.
    pub tokens: u64,
    /// Tokens that settled reservations have generated.
    pub settled: u64,
    /// Tokens that finished turns of this owner have generated and that are not settled yet.
    pub unsettled: u64,
    /// What holds the rest, at most [`MAX_LISTED_HOLDS`] entries.
    pub holds: Vec<BudgetHold>,
}

/// Tokens of a budget that a turn may still generate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetHold {
    /// Who holds them.
    pub holder: BudgetHolder,
    /// Name of the turn, reservation or overdraft.
    pub name: String,
    /// Tokens held.
    pub tokens: u64,
    /// Time since the turn began or the reservation was first read; `None` for overdrafts.
    pub age: Option<Duration>,
}

/// The kinds of holders of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetHolder {
    /// A turn that this owner has granted. It draws on this owner's reservations.
    RunningTurn,
    /// A reservation of this owner.
    OwnReservation,
    /// A reservation of another owner, or of an earlier start of this node.
    OtherReservation,
    /// An overdraft of another owner that may serve the program.
    OtherOverdraft,
}

impl BudgetRefusal {
    /// Collects what counts against the budget of a refused turn.
    pub(super) fn new(
        state: &LedgerState,
        wallets: &Wallets,
        now: Timestamp,
        begin: &BeginTurn,
    ) -> Self {
        let program = begin.program.as_str();
        let budget = begin.budget.unwrap_or(u64::MAX);
        let mut holds = running_turns(wallets, now, program);
        holds.extend(reservations(state, wallets, now, program));
        let turn = ProgramTurn {
            program,
            budget,
            storage: begin.storage(),
        };
        holds.extend(overdrafts(state, wallets, turn));
        holds.truncate(MAX_LISTED_HOLDS);
        Self {
            program: program.to_owned(),
            turn: begin.turn.clone(),
            budget,
            tokens: begin.tokens,
            settled: state.account(program).map_or(0, |account| account.settled),
            unsettled: wallets.unsettled_tokens(program),
            holds,
        }
    }
}

fn running_turns(wallets: &Wallets, now: Timestamp, program: &str) -> Vec<BudgetHold> {
    let wallet = wallets.get(program);
    let running = wallet.into_iter().flat_map(|wallet| wallet.running());
    let holds = running.map(|(turn, tokens, since)| BudgetHold {
        holder: BudgetHolder::RunningTurn,
        name: turn.to_owned(),
        tokens,
        age: Some(now.since(since)),
    });
    holds.collect()
}

fn reservations(
    state: &LedgerState,
    wallets: &Wallets,
    now: Timestamp,
    program: &str,
) -> Vec<BudgetHold> {
    let open = state.open_reservations(program);
    let holds = open.map(|(name, tokens, since)| BudgetHold {
        holder: match wallets.is_own(name) {
            true => BudgetHolder::OwnReservation,
            false => BudgetHolder::OtherReservation,
        },
        name: name.to_owned(),
        tokens,
        age: since.map(|since| now.since(since)),
    });
    holds.collect()
}

fn overdrafts(state: &LedgerState, wallets: &Wallets, turn: ProgramTurn<'_>) -> Vec<BudgetHold> {
    let charges = state.overdraft_charges(turn, |name| wallets.is_own(name));
    let holds = charges.map(|(name, tokens)| BudgetHold {
        holder: BudgetHolder::OtherOverdraft,
        name: owner_of(name).to_owned(),
        tokens,
        age: None,
    });
    holds.collect()
}

impl fmt::Display for BudgetHold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            holder,
            name,
            tokens,
            age,
        } = self;
        write!(f, "{holder:?} {name} {tokens}")?;
        match age {
            Some(age) => write!(f, " {}ms", age.as_millis()),
            None => Ok(()),
        }
    }
}
