//! The ledger's rules as tables: budgets, kept turns, what is answered at once and what is not.

mod budgets;
mod calls;
mod fixtures;
mod overdrafts;
mod turns;
