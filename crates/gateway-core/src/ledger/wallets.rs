//! The wallets of all programs at one owner, and the advances that wait to be settled.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_protocol::ledger::LedgerRecord;
use elderworks_types::Timestamp;

use super::wallet::{Advance, Wallet, saturating_sum};

/// An advance that waits to be settled.
#[derive(Debug)]
struct PendingSettlement {
    program: String,
    id: String,
    used: u64,
    since: Timestamp,
}

/// Wallets by program, and pending settlements.
#[derive(Debug)]
pub(super) struct Wallets {
    /// Name of this owner in the log. No other owner uses it, nor an earlier start of the same
    /// node.
    owner: String,
    names_issued: u64,
    wallets: BTreeMap<String, Wallet>,
    pending: Vec<PendingSettlement>,
}

impl Wallets {
    pub(super) fn new(owner: String) -> Self {
        Self {
            owner,
            names_issued: 0,
            wallets: BTreeMap::new(),
            pending: Vec::new(),
        }
    }

    /// Returns a unique name for a new advance or overdraft.
    pub(super) fn next_name(&mut self) -> String {
        self.names_issued += 1;
        format!("{}/{}", self.owner, self.names_issued)
    }

    pub(super) fn get(&self, program: &str) -> Option<&Wallet> {
        self.wallets.get(program)
    }

    pub(super) fn get_mut(&mut self, program: &str) -> Option<&mut Wallet> {
        self.wallets.get_mut(program)
    }

    /// Returns whether a turn is running on a program's wallet.
    pub(super) fn is_running(&self, program: &str, turn: &str) -> bool {
        let wallet = self.wallets.get(program);
        wallet.is_some_and(|wallet| wallet.is_running(turn))
    }

    /// Returns the tokens that a program has generated on this owner's advances and that are not
    /// settled yet.
    pub(super) fn unsettled_tokens(&self, program: &str) -> u64 {
        let wallet = self.wallets.get(program);
        let consumed = wallet.map_or(0, Wallet::consumed);
        consumed.saturating_add(self.pending_tokens(program))
    }

    fn pending_tokens(&self, program: &str) -> u64 {
        let pending = self.pending.iter();
        let of_program = pending.filter(|pending| pending.program == program);
        saturating_sum(of_program.map(|pending| pending.used))
    }

    /// Returns the unsettled tokens that turns of a program have drawn on this owner's advances and
    /// overdraft.
    pub(super) fn drawn(&self, program: &str) -> u64 {
        let wallet = self.wallets.get(program);
        let drawn = wallet.map_or(0, Wallet::drawn);
        drawn.saturating_add(self.pending_tokens(program))
    }

    /// Returns the programs that have drawn more than their advances, with the excess in tokens.
    pub(super) fn overdrawn(&self) -> Vec<(String, u64)> {
        let overdrawn = self.wallets.iter();
        overdrawn
            .map(|(program, wallet)| (program.clone(), wallet.overdrawn()))
            .filter(|(_, tokens)| *tokens > 0)
            .collect()
    }

    /// Returns whether any program has drawn more than its advances.
    pub(super) fn has_overdrawn(&self) -> bool {
        self.wallets.values().any(|wallet| wallet.overdrawn() > 0)
    }

    /// Returns the wallet of a program, which is created if missing.
    pub(super) fn entry(&mut self, program: &str) -> &mut Wallet {
        self.wallets.entry(program.to_owned()).or_default()
    }

    /// Applies a durable record to the wallets and the pending settlements.
    pub(super) fn on_record(&mut self, now: Timestamp, record: &LedgerRecord) {
        match record {
            LedgerRecord::Reserved {
                program,
                reservation,
                tokens,
            } if self.is_own(reservation) => {
                let advance = Advance {
                    id: reservation.clone(),
                    tokens: *tokens,
                };
                self.entry(program).add(now, advance);
            }
            LedgerRecord::Settled { reservation, .. } => {
                self.pending.retain(|pending| pending.id != *reservation);
            }
            _ => {}
        }
    }

    /// Closes wallets that have been idle for long enough; their advances then wait to be settled.
    pub(super) fn close_idle(&mut self, now: Timestamp, idle: Duration) {
        let programs: Vec<String> = self
            .wallets
            .iter_mut()
            .filter_map(|(program, wallet)| {
                wallet.finish_lost_turns(now);
                wallet.is_idle(now, idle).then(|| program.clone())
            })
            .collect();
        for program in programs {
            self.close(now, &program);
        }
    }

    /// Closes a program's wallet if its advances are to be settled at the end of its turns.
    pub(super) fn close_if_ended(&mut self, now: Timestamp, program: &str) {
        if self.get(program).is_some_and(Wallet::is_ended) {
            self.close(now, program);
        }
    }

    fn close(&mut self, now: Timestamp, program: &str) {
        let Some(wallet) = self.wallets.remove(program) else {
            return;
        };
        for spent in wallet.into_spent() {
            self.pending.push(PendingSettlement {
                program: program.to_owned(),
                id: spent.id,
                used: spent.used,
                since: now,
            });
        }
    }

    /// Returns the records that settle all waiting advances.
    pub(super) fn settlements(&self) -> Vec<LedgerRecord> {
        self.pending
            .iter()
            .map(|pending| LedgerRecord::Settled {
                program: pending.program.clone(),
                reservation: pending.id.clone(),
                used: pending.used,
            })
            .collect()
    }

    /// Returns since when the oldest pending settlement has waited.
    pub(super) fn oldest_settlement_since(&self) -> Option<Timestamp> {
        self.pending.iter().map(|pending| pending.since).min()
    }

    /// Returns when the wallet that becomes idle next was last used.
    pub(super) fn next_idle_last_used(&self) -> Option<Timestamp> {
        self.wallets
            .values()
            .filter(|wallet| wallet.is_idle(wallet.last_used(), Duration::ZERO))
            .map(Wallet::last_used)
            .min()
    }

    /// Returns whether a reservation or overdraft was made by this owner.
    pub(super) fn is_own(&self, reservation: &str) -> bool {
        reservation
            .strip_prefix(self.owner.as_str())
            .is_some_and(|rest| rest.starts_with('/'))
    }
}
