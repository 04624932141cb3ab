//! The wallets of every program at one owner, and the advances that wait to be settled.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_protocol::ledger::LedgerRecord;
use elderworks_types::Timestamp;

use super::wallet::{Advance, Wallet};

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
    advances_made: u64,
    wallets: BTreeMap<String, Wallet>,
    closing: Vec<Closing>,
}

impl Wallets {
    pub(super) fn new(owner: String) -> Self {
        Self {
            owner,
            advances_made: 0,
            wallets: BTreeMap::new(),
            closing: Vec::new(),
        }
    }

    /// A name for a new advance.
    pub(super) fn next_advance_id(&mut self) -> String {
        self.advances_made += 1;
        format!("{}/{}", self.owner, self.advances_made)
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
        let closing = self.closing.iter();
        let in_closing: u64 = closing
            .filter(|closing| closing.program == program)
            .map(|closing| closing.used)
            .sum();
        wallet.map_or(0, Wallet::consumed) + in_closing
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
