//! The ledger of one partition: budgets of programs and kept turns of conversations.
//!
//! The log is the only truth. Any node may act for a partition: it replays the records it has not
//! seen, decides, and appends under the condition that the log still ends where it read. An append
//! that meets this condition proves that the decision rested on the whole history; one that fails
//! it changed nothing. Nodes agree on one of them (the owner) only to spare conflicts.

mod account;
mod calls;
mod fencing;
mod overdraft;
mod owner;
mod pieces;
mod plan;
mod state;
mod turn_size;
mod wallet;
mod wallets;
mod witness;

pub use account::Account;
pub use calls::{Action, AppendOutcome, CallNumber, ReadOutcome, Ticket, WitnessQuery};
pub use overdraft::{FEWEST_WITNESSES, MOST_WITNESSES, OverdraftStatus, SLOW_CALL_THRESHOLD};
pub use owner::{
    DOWN_PAUSE, FAILURE_PAUSE, FAILURES_BEFORE_DOWN, GIVES_WAY_FOR, HOLD_BACK, HOLD_WHILE_DOWN,
    PartitionOwner,
};
pub use pieces::{MAX_APPEND_BYTES, MAX_CONTENT_BYTES, approximate_bytes, kept_records};
pub use plan::OTHERS_PATIENCE;
pub use state::{
    ACCOUNT_RETENTION, LedgerState, OVERDRAFT_RETENTION, OpenOverdraft, TURN_RETENTION,
};
pub use wallet::{Advance, IDLE_BEFORE_SETTLING, SpentAdvance, Wallet};
pub use witness::WitnessMemory;

use elderworks_types::PartitionId;
use xxhash_rust::xxh3::xxh3_64;

/// The partition that keeps a program's budget and turns.
pub fn partition_of(program: &str, partitions: u32) -> PartitionId {
    let hash = xxh3_64(program.as_bytes());
    let number = hash % u64::from(partitions.max(1));
    PartitionId(u32::try_from(number).expect("smaller than a partition count of 32 bits"))
}
