//! Token accounting of one program.

use std::collections::BTreeMap;

use super::wallet::saturating_sum;

/// Tokens that a program has generated, and tokens reserved for turns that may still be running.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Tokens generated under settled reservations.
    pub settled: u64,
    /// Open reservations by name, with the tokens reserved by each.
    pub open: BTreeMap<String, u64>,
}

impl Account {
    /// Returns the tokens that count against the budget, assuming that every open reservation is
    /// used in full.
    pub fn committed(&self) -> u64 {
        saturating_sum(self.open.values().copied()).saturating_add(self.settled)
    }

    /// Returns whether `tokens` more fit into the budget, assuming that every open reservation is
    /// used in full.
    pub fn allows(&self, budget: u64, tokens: u64) -> bool {
        self.committed().saturating_add(tokens) <= budget
    }

    /// Opens a reservation of `tokens`.
    pub fn reserve(&mut self, reservation: String, tokens: u64) {
        self.open.insert(reservation, tokens);
    }

    /// Closes a reservation that has generated `used` tokens. Unknown or closed reservations are
    /// ignored.
    pub fn settle(&mut self, reservation: &str, used: u64) {
        if self.open.remove(reservation).is_some() {
            self.settled = self.settled.saturating_add(used);
        }
    }
}
