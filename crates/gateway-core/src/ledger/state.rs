//! State of a partition, built by applying its records in log order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use elderworks_protocol::ledger::{LedgerRecord, StoredTurn, TurnStorage, Witness};
use elderworks_types::Timestamp;

use super::Account;
use super::overdraft::owner_of;
use super::wallet::saturating_sum;

/// How long turns are retained after their last use, unless the configuration asks for longer.
pub const TURN_RETENTION: Duration = Duration::from_secs(75);

/// How long accounts are retained after their last use, or longer if turns are. A program may wait
/// minutes for a tool, and dropping its account would restore its full budget.
pub const ACCOUNT_RETENTION: Duration = Duration::from_secs(600);

/// How long an overdraft counts after the last sign of its owner in the log. This is twice as long
/// as a program that draws on it may be idle, and four times as long as an owner may use it without
/// a successful call to the log.
pub const OVERDRAFT_RETENTION: Duration = Duration::from_secs(1_200);

/// Age after which records that are still needed are appended again. Well below the shortest
/// retention of the log.
const REWRITE_AFTER: Duration = Duration::from_secs(100);

/// Maximum number of turns in a conversation; a longer chain is treated as a cycle.
const MAX_CONVERSATION_TURNS: usize = 10_000;

#[derive(Debug)]
struct Timestamped<T> {
    value: T,
    last_used: Timestamp,
    last_written: Timestamp,
}

#[derive(Debug)]
struct AccountEntry {
    account: Account,
    /// When this node first read each open reservation.
    reserved: BTreeMap<String, Timestamp>,
    last_used: Timestamp,
    last_written: Timestamp,
}

/// What determines which overdrafts a turn's program may have drawn on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramTurn<'a> {
    /// The program.
    pub program: &'a str,
    /// The program's budget, in tokens.
    pub budget: u64,
    /// Whether the turn is stored.
    pub storage: TurnStorage,
}

/// An overdraft that is open in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenOverdraft {
    /// Divisor of a program's budget: a turn may start on the overdraft only if, with it, the
    /// program draws at most `budget / share` tokens.
    pub share: u64,
    /// Minimum budget of a program that may draw on it.
    pub min_budget: u64,
    /// Whether only programs may draw on it whose account its owner has read in the log.
    pub known_programs: bool,
    /// Whether only turns may draw on it that aren't stored.
    pub unstored_only: bool,
    /// `Some` once the overdraft is superseded, which forbids its owner to draw on it after reading
    /// that record. Contains the programs that had an account at that point.
    pub superseded: Option<BTreeSet<String>>,
    /// The nodes that record whether it is used.
    pub witnesses: Vec<Witness>,
}

impl OpenOverdraft {
    /// Returns whether the program of a turn may have drawn on the overdraft or may still do so.
    /// The turns of a program are all stored, or none is.
    fn may_serve(&self, turn: ProgramTurn<'_>) -> bool {
        let is_unknown = |known: &BTreeSet<String>| !known.contains(turn.program);
        let is_excluded = self.known_programs && self.superseded.as_ref().is_some_and(is_unknown);
        let is_stored = turn.storage == TurnStorage::Stored;
        turn.budget >= self.min_budget && !is_excluded && !(self.unstored_only && is_stored)
    }
}

/// Accounts, stored turns and open overdrafts of one partition.
#[derive(Debug, Default)]
pub struct LedgerState {
    accounts: BTreeMap<String, AccountEntry>,
    turns: BTreeMap<String, Timestamped<StoredTurn>>,
    overdrafts: BTreeMap<String, Timestamped<OpenOverdraft>>,
}

impl LedgerState {
    /// Applies the next record of the log.
    pub fn apply(&mut self, now: Timestamp, record: LedgerRecord) {
        match record {
            LedgerRecord::Reserved {
                program,
                reservation,
                tokens,
            } => {
                self.renew_overdraft_of(now, &reservation);
                let entry = self.account_entry(now, program);
                entry.reserved.insert(reservation.clone(), now);
                entry.account.reserve(reservation, tokens);
            }
            LedgerRecord::Settled {
                program,
                reservation,
                used,
            } => {
                self.renew_overdraft_of(now, &reservation);
                let entry = self.account_entry(now, program);
                entry.reserved.remove(&reservation);
                entry.account.settle(&reservation, used);
            }
            LedgerRecord::Kept { turn, content } => {
                let entry = Timestamped {
                    value: content,
                    last_used: now,
                    last_written: now,
                };
                self.turns.insert(turn, entry);
            }
            LedgerRecord::Account {
                program,
                settled,
                open,
            } => {
                self.add_known_program(&program);
                let entry = self.account_entry(now, program);
                entry.account.settled = settled;
                entry.account.open = open.into_iter().collect();
                let known = std::mem::take(&mut entry.reserved);
                let seen = |name: &String| known.get(name).copied().unwrap_or(now);
                let open = entry.account.open.keys();
                entry.reserved = open.map(|name| (name.clone(), seen(name))).collect();
            }
            LedgerRecord::Overdraft {
                overdraft,
                share,
                witnesses,
                idle_ms,
            } => {
                let idle = Duration::from_millis(idle_ms);
                let mut value = OpenOverdraft {
                    share,
                    min_budget: 0,
                    known_programs: false,
                    unstored_only: false,
                    superseded: None,
                    witnesses,
                };
                if let Some(known) = self.overdrafts.remove(&overdraft) {
                    value.min_budget = known.value.min_budget;
                    value.known_programs = known.value.known_programs;
                    value.unstored_only = known.value.unstored_only;
                    value.superseded = known.value.superseded;
                }
                let entry = Timestamped {
                    value,
                    last_used: now - idle,
                    last_written: now,
                };
                self.overdrafts.insert(overdraft, entry);
            }
            LedgerRecord::OverdraftTerms {
                overdraft,
                min_budget,
                known_programs,
            } => {
                if let Some(entry) = self.overdrafts.get_mut(&overdraft) {
                    entry.value.min_budget = min_budget;
                    entry.value.known_programs = known_programs;
                }
            }
            LedgerRecord::OverdraftSuperseded { overdraft } => {
                if let Some(entry) = self.overdrafts.get_mut(&overdraft) {
                    let known = self.accounts.keys().cloned();
                    entry
                        .value
                        .superseded
                        .get_or_insert_with(|| known.collect());
                }
            }
            LedgerRecord::OverdraftForUnstored { overdraft } => {
                if let Some(entry) = self.overdrafts.get_mut(&overdraft) {
                    entry.value.unstored_only = true;
                }
            }
            LedgerRecord::OverdraftClosed { overdraft } => {
                self.overdrafts.remove(&overdraft);
            }
        }
    }

    /// Adds a program to the known programs of all superseded overdrafts. A rewritten account may
    /// stem from records that the log has truncated, so it may be older than the supersession.
    fn add_known_program(&mut self, program: &str) {
        if self.accounts.contains_key(program) {
            return;
        }
        for entry in self.overdrafts.values_mut() {
            if let Some(known) = &mut entry.value.superseded {
                known.insert(program.to_owned());
            }
        }
    }

    /// Renews the overdraft of an owner whose record was read: the owner is alive and may still use
    /// it.
    fn renew_overdraft_of(&mut self, now: Timestamp, reservation: &str) {
        let owner = owner_of(reservation);
        for (name, entry) in &mut self.overdrafts {
            if owner_of(name) == owner {
                entry.last_used = now;
            }
        }
    }

    /// Returns the open overdrafts by name.
    pub fn overdrafts(&self) -> impl Iterator<Item = (&str, &OpenOverdraft)> {
        let open = self.overdrafts.iter();
        open.map(|(name, entry)| (name.as_str(), &entry.value))
    }

    /// Returns the tokens that other owners may have granted a program on their overdrafts beyond
    /// its reservations in the log. `is_own` returns whether an overdraft belongs to the calling
    /// owner.
    ///
    /// Programs and turns that an overdraft does not serve are not charged for it. An owner starts a
    /// turn on its overdraft only if the tokens that the program draws at most, apart from settled
    /// ones, stay within the share of its budget. The charge therefore covers everything that the
    /// owner can have granted without a record, and the charges of several open overdrafts are added.
    pub fn overdrawn_by_others(&self, turn: ProgramTurn<'_>, is_own: impl Fn(&str) -> bool) -> u64 {
        let charges = self.overdraft_charges(turn, is_own);
        saturating_sum(charges.map(|(_, tokens)| tokens))
    }

    /// Returns what [`Self::overdrawn_by_others`] adds up: the overdrafts of other owners that may
    /// serve a turn's program, each with the tokens charged for it.
    pub(super) fn overdraft_charges(
        &self,
        turn: ProgramTurn<'_>,
        is_own: impl Fn(&str) -> bool,
    ) -> impl Iterator<Item = (&str, u64)> {
        let others = self.overdrafts().filter(move |(name, _)| !is_own(name));
        others
            .filter(move |(_, overdraft)| overdraft.may_serve(turn))
            .map(move |(name, overdraft)| {
                let owner = owner_of(name);
                let limit = turn.budget / overdraft.share.max(1);
                let reserved = self.reserved(turn.program, |other| owner_of(other) == owner);
                (name, limit.saturating_sub(reserved))
            })
    }

    /// Returns a program's open reservations, each with its tokens and when this node first read
    /// it.
    pub(super) fn open_reservations(
        &self,
        program: &str,
    ) -> impl Iterator<Item = (&str, u64, Option<Timestamp>)> {
        let entry = self.accounts.get(program).into_iter();
        entry.flat_map(|entry| {
            let open = entry.account.open.iter();
            open.map(|(name, tokens)| (name.as_str(), *tokens, entry.reserved.get(name).copied()))
        })
    }

    /// Returns the tokens of a program's open reservations for which `is_wanted` returns true.
    pub fn reserved(&self, program: &str, is_wanted: impl Fn(&str) -> bool) -> u64 {
        let Some(account) = self.account(program) else {
            return 0;
        };
        let wanted = account.open.iter().filter(|(name, _)| is_wanted(name));
        saturating_sum(wanted.map(|(_, tokens)| *tokens))
    }

    /// Returns the account of a program, if it has one.
    pub fn account(&self, program: &str) -> Option<&Account> {
        self.accounts.get(program).map(|entry| &entry.account)
    }

    /// Returns the tokens that other owners have reserved for a program in reservations that were
    /// first read less than `max_age` ago. `is_own` returns whether a reservation belongs to the
    /// calling owner.
    pub fn recently_reserved_by_others(
        &self,
        program: &str,
        now: Timestamp,
        max_age: Duration,
        is_own: impl Fn(&str) -> bool,
    ) -> u64 {
        let Some(entry) = self.accounts.get(program) else {
            return 0;
        };
        let others = entry.account.open.iter().filter(|(name, _)| !is_own(name));
        let is_recent = |name: &str| {
            let seen = entry.reserved.get(name);
            seen.is_some_and(|seen| now.since(*seen) < max_age)
        };
        let recent = others.filter(|(name, _)| is_recent(name));
        saturating_sum(recent.map(|(_, tokens)| *tokens))
    }

    /// Returns whether a turn is stored.
    pub fn has_turn(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Returns the inputs and outputs of all turns up to the end of `turn`, in order; `None` if one
    /// is missing.
    pub fn conversation(&self, turn: &str) -> Option<Bytes> {
        let mut chain = Vec::new();
        let mut next = Some(turn);
        while let Some(name) = next {
            let kept = &self.turns.get(name)?.value;
            chain.push(kept);
            if chain.len() > MAX_CONVERSATION_TURNS {
                return None;
            }
            next = kept.previous.as_deref();
        }
        let length = chain
            .iter()
            .map(|kept| kept.input.len() + kept.output.len())
            .sum();
        let mut text = BytesMut::with_capacity(length);
        for kept in chain.iter().rev() {
            text.extend_from_slice(&kept.input);
            text.extend_from_slice(&kept.output);
        }
        Some(text.freeze())
    }

    /// Drops turns that were last used longer ago than `retention`, accounts after
    /// [`ACCOUNT_RETENTION`], and overdrafts after [`OVERDRAFT_RETENTION`]. A turn is retained as
    /// long as any turn that continues it, directly or indirectly.
    pub fn expire(&mut self, now: Timestamp, retention: Duration) {
        let account_retention = retention.max(ACCOUNT_RETENTION);
        self.accounts
            .retain(|_, entry| now.since(entry.last_used) < account_retention);
        self.overdrafts
            .retain(|_, entry| now.since(entry.last_used) < OVERDRAFT_RETENTION);
        let kept = self.turns_with_ancestors(|entry| now.since(entry.last_used) < retention);
        self.turns.retain(|turn, _| kept.contains(turn));
    }

    fn turns_with_ancestors(
        &self,
        is_recent: impl Fn(&Timestamped<StoredTurn>) -> bool,
    ) -> BTreeSet<String> {
        let mut kept: BTreeSet<String> = BTreeSet::new();
        for (turn, entry) in &self.turns {
            if !is_recent(entry) {
                continue;
            }
            let mut next = Some(turn);
            while let Some(name) = next
                && let Some(entry) = self.turns.get(name)
                && kept.insert(name.clone())
            {
                next = entry.value.previous.as_ref();
            }
        }
        kept
    }

    /// Returns the records to append again before the log truncates them.
    pub fn records_to_rewrite(&self, now: Timestamp) -> Vec<LedgerRecord> {
        let accounts = self
            .accounts
            .iter()
            .filter(|(_, entry)| now.since(entry.last_written) >= REWRITE_AFTER)
            .map(|(program, entry)| LedgerRecord::Account {
                program: program.clone(),
                settled: entry.account.settled,
                open: entry.account.open.clone().into_iter().collect(),
            });
        let turns = self
            .turns
            .iter()
            .filter(|(_, entry)| now.since(entry.last_written) >= REWRITE_AFTER)
            .map(|(turn, entry)| LedgerRecord::Kept {
                turn: turn.clone(),
                content: entry.value.clone(),
            });
        let overdrafts = self
            .overdrafts
            .iter()
            .filter(|(_, entry)| now.since(entry.last_written) >= REWRITE_AFTER)
            .flat_map(|(overdraft, entry)| overdraft_records(now, overdraft, entry));
        accounts.chain(turns).chain(overdrafts).collect()
    }

    /// Returns the number of accounts and turns.
    pub fn len(&self) -> usize {
        self.accounts.len() + self.turns.len()
    }

    /// Returns whether there are neither accounts nor turns.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn account_entry(&mut self, now: Timestamp, program: String) -> &mut AccountEntry {
        let entry = self
            .accounts
            .entry(program)
            .or_insert_with(|| AccountEntry {
                account: Account::default(),
                reserved: BTreeMap::new(),
                last_used: now,
                last_written: now,
            });
        entry.last_used = now;
        entry.last_written = now;
        entry
    }
}

/// Returns the records that write an open overdraft again.
fn overdraft_records(
    now: Timestamp,
    overdraft: &str,
    entry: &Timestamped<OpenOverdraft>,
) -> Vec<LedgerRecord> {
    let idle = now.since(entry.last_used).as_millis();
    let open = &entry.value;
    let mut records = vec![
        LedgerRecord::Overdraft {
            overdraft: overdraft.to_owned(),
            share: open.share,
            witnesses: open.witnesses.clone(),
            idle_ms: u64::try_from(idle).unwrap_or(u64::MAX),
        },
        LedgerRecord::OverdraftTerms {
            overdraft: overdraft.to_owned(),
            min_budget: open.min_budget,
            known_programs: open.known_programs,
        },
    ];
    if open.unstored_only {
        records.push(LedgerRecord::OverdraftForUnstored {
            overdraft: overdraft.to_owned(),
        });
    }
    if open.superseded.is_some() {
        records.push(LedgerRecord::OverdraftSuperseded {
            overdraft: overdraft.to_owned(),
        });
    }
    records
}
