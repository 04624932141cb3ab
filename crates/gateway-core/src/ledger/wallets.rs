//! The wallets of every program at one owner, and the advances that wait to be settled.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_protocol::ledger::LedgerRecord;
use elderworks_types::Timestamp;

use super::wallet::{Advance, Wallet, total};

/// An advance that is to be settled, with the time since when.
#[derive(Debug)]
struct Closing {
    program: String,
    id: String,
    used: u64,
    since: Timestamp,
}

/// Wallets by program.
#[derive(Debug)]
pub(super) struct Wallets {
    /// Names this owner on the log; never used by another, nor by an earlier start of it.
    owner: String,
    names_made: u64,
    wallets: BTreeMap<String, Wallet>,
    closing: Vec<Closing>,
}

impl Wallets {
    pub(super) fn new(owner: String) -> Self {
        Self {
            owner,
            names_made: 0,
            wallets: BTreeMap::new(),
            closing: Vec::new(),
        }
    }

    /// A name for a new advance or overdraft.
    pub(super) fn next_name(&mut self) -> String {
        self.names_made += 1;
        format!("{}/{}", self.owner, self.names_made)
    }

    pub(super) fn get(&self, program: &str) -> Option<&Wallet> {
        self.wallets.get(program)
    }

    pub(super) fn get_mut(&mut self, program: &str) -> Option<&mut Wallet> {
        self.wallets.get_mut(program)
    }

    /// Whether a turn is running on a program's wallet.
    pub(super) fn is_running(&self, program: &str, turn: &str) -> bool {
        let wallet = self.wallets.get(program);
        wallet.is_some_and(|wallet| wallet.is_running(turn))
    }

    /// Tokens generated on this owner's advances to a program that are not settled yet.
    pub(super) fn unsettled_use(&self, program: &str) -> u64 {
        let wallet = self.wallets.get(program);
        let consumed = wallet.map_or(0, Wallet::consumed);
        consumed.saturating_add(self.used_in_closing(program))
    }

    fn used_in_closing(&self, program: &str) -> u64 {
        let closing = self.closing.iter();
        let of_program = closing.filter(|closing| closing.program == program);
        total(of_program.map(|closing| closing.used))
    }

    /// Tokens that turns of a program draw on this owner's advances and overdraft, as far as they
    /// are not settled yet.
    pub(super) fn drawn(&self, program: &str) -> u64 {
        let wallet = self.wallets.get(program);
        let drawn = wallet.map_or(0, Wallet::drawn);
        drawn.saturating_add(self.used_in_closing(program))
    }

    /// Programs that have drawn more than is set aside for them, with how much.
    pub(super) fn overdrawn(&self) -> Vec<(String, u64)> {
        let overdrawn = self.wallets.iter();
        overdrawn
            .map(|(program, wallet)| (program.clone(), wallet.overdrawn()))
            .filter(|(_, tokens)| *tokens > 0)
            .collect()
    }

    /// Whether any program has drawn more than is set aside for it.
    pub(super) fn has_overdrawn(&self) -> bool {
        self.wallets.values().any(|wallet| wallet.overdrawn() > 0)
    }

    /// The wallet of a program, empty if it has none.
    pub(super) fn entry(&mut self, program: &str) -> &mut Wallet {
        self.wallets.entry(program.to_owned()).or_default()
    }

    /// Takes notice of a record that is durable.
    pub(super) fn note_record(&mut self, now: Timestamp, record: &LedgerRecord) {
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
                self.closing.retain(|closing| closing.id != *reservation);
            }
            _ => {}
        }
    }

    /// Moves wallets that have been idle for long enough to those that wait to be settled.
    pub(super) fn close_idle(&mut self, now: Timestamp, idle: Duration) {
        let programs: Vec<String> = self
            .wallets
            .iter_mut()
            .filter_map(|(program, wallet)| {
                wallet.end_lost_turns(now);
                wallet.is_idle(now, idle).then(|| program.clone())
            })
            .collect();
        for program in programs {
            let Some(wallet) = self.wallets.remove(&program) else {
                continue;
            };
            for spent in wallet.into_spent() {
                self.closing.push(Closing {
                    program: program.clone(),
                    id: spent.id,
                    used: spent.used,
                    since: now,
                });
            }
        }
    }

    /// Records that settle what waits for it.
    pub(super) fn settlements(&self) -> Vec<LedgerRecord> {
        self.closing
            .iter()
            .map(|closing| LedgerRecord::Settled {
                program: closing.program.clone(),
                reservation: closing.id.clone(),
                used: closing.used,
            })
            .collect()
    }

    /// Since when the longest has waited to be settled.
    pub(super) fn closing_since(&self) -> Option<Timestamp> {
        self.closing.iter().map(|closing| closing.since).min()
    }

    /// When the wallet that will be idle first was last used.
    pub(super) fn first_idle(&self) -> Option<Timestamp> {
        self.wallets
            .values()
            .filter(|wallet| wallet.is_idle(wallet.last_used(), Duration::ZERO))
            .map(Wallet::last_used)
            .min()
    }

    /// Whether a reservation was made by this owner.
    pub(super) fn is_own(&self, reservation: &str) -> bool {
        reservation
            .strip_prefix(self.owner.as_str())
            .is_some_and(|rest| rest.starts_with('/'))
    }
}
