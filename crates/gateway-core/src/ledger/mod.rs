//! The ledger of one partition: token budgets of programs and stored turns of conversations.
//!
//! The log is the only source of truth, and any node may serve a partition. An owner replays the
//! records that it has not read, decides requests on the resulting state, and appends on condition
//! that the log still ends where it was read. A successful append proves that the decision was
//! based on the complete history; an append that fails the condition changes nothing. Nodes agree
//! on one preferred owner only to avoid conflicting appends.

mod account;
mod calls;
mod ended_turns;
mod fencing;
mod overdraft;
mod owner;
mod pieces;
mod plan;
mod refusal;
mod sent_number;
mod state;
mod turn_holders;
mod turn_size;
mod unsettled;
mod wallet;
mod wallets;
mod witness;

pub use account::Account;
pub use calls::{
    Action, AppendOutcome, CallNumber, ReadOutcome, Ticket, WaitingRequests, WitnessQuery,
};
pub use overdraft::{MAX_WITNESSES, MIN_WITNESSES, OverdraftStatus, SLOW_CALL_THRESHOLD};
pub use owner::{
    DOWN_RETRY_DELAY, FAILURE_RETRY_DELAY, FAILURES_BEFORE_DOWN, MAX_HOLD_WHILE_DOWN,
    PartitionOwner, SETTLEMENT_DELAY, YIELD_AFTER_OUTAGE,
};
pub use pieces::{MAX_APPEND_BYTES, MAX_CONTENT_BYTES, approximate_bytes, kept_records};
pub use plan::FOREIGN_SETTLEMENT_WAIT;
pub use refusal::{BudgetHold, BudgetHolder, BudgetRefusal};
pub use sent_number::{SentNumber, SentNumbers};
pub use state::{
    ACCOUNT_RETENTION, LedgerState, OVERDRAFT_RETENTION, OpenOverdraft, ProgramTurn, TURN_RETENTION,
};
pub use turn_holders::{EndReport, ReportSchedule, TurnHolders};
pub use wallet::{Advance, IDLE_BEFORE_SETTLING, MAX_TURN_DURATION, SpentAdvance, Wallet};
pub use witness::WitnessMemory;

use elderworks_types::PartitionId;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the partition that stores a program's budget and turns.
pub fn partition_of(program: &str, partitions: u32) -> PartitionId {
    let hash = xxh3_64(program.as_bytes());
    let number = hash % u64::from(partitions.max(1));
    PartitionId(u32::try_from(number).expect("smaller than a partition count of 32 bits"))
}
