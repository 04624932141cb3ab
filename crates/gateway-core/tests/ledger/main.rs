//! Table-driven tests of the ledger: budgets, stored turns, calls to the log and overdrafts.

mod budgets;
mod calls;
mod fixtures;
mod foreign_overdrafts;
mod handover;
mod lost_overdrafts;
mod overdraft_fixtures;
mod overdrafts;
mod overdrafts_and_storage;
mod turn_holders;
mod turns;
mod withdrawals;
