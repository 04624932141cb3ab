//! The budget account of one program.

use std::collections::BTreeMap;

use super::wallet::total;

/// Tokens that a program has generated and those set aside for turns that may be under way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Tokens generated on reservations that have ended.
    pub settled: u64,
    /// Other reservations with the tokens of each.
    pub open: BTreeMap<String, u64>,
}

impl Account {
    /// Tokens generated if every reservation is used whole.
    pub fn committed(&self) -> u64 {
        total(self.open.values().copied()).saturating_add(self.settled)
    }

    /// Whether the budget holds `tokens` more, if every reservation is used whole.
    pub fn allows(&self, budget: u64, tokens: u64) -> bool {
        self.committed().saturating_add(tokens) <= budget
    }

    /// Sets tokens aside.
    pub fn reserve(&mut self, reservation: String, tokens: u64) {
        self.open.insert(reservation, tokens);
    }

    /// Ends a reservation; one that is not open changes nothing.
    pub fn settle(&mut self, reservation: &str, used: u64) {
        if self.open.remove(reservation).is_some() {
            self.settled = self.settled.saturating_add(used);
        }
    }
}
