//! Table-driven tests of the ledger: budgets, stored turns, calls to the log and overdrafts.

mod budgets;
mod calls;
mod fixtures;
mod handover;
mod lost_overdrafts;
mod overdrafts;
mod turn_holders;
mod turns;
mod withdrawals;
