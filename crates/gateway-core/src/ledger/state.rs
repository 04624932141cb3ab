//! What a partition's records add up to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use elderworks_protocol::ledger::{KeptTurn, LedgerRecord, Witness};
use elderworks_types::Timestamp;

use super::Account;
use super::overdraft::owner_of;
use super::wallet::total;

/// Turns are held this long after they were last touched, unless the configuration keeps them for
/// longer.
pub const TURN_RETENTION: Duration = Duration::from_secs(75);

/// Accounts are held this long after they were last touched: a program may wait for a tool for
/// minutes, and must not find its budget whole again. Longer where turns are held longer.
pub const ACCOUNT_RETENTION: Duration = Duration::from_secs(600);

/// An overdraft counts until its owner has given no sign of life in the log for this long: twice as
/// long as a program that draws on it may rest, and four times as long as an owner may use it
/// without a call to the log that succeeds.
pub const OVERDRAFT_RETENTION: Duration = Duration::from_secs(1_200);

/// Records older than this are written anew while what they say still counts. Well under the
/// shortest history that the log keeps.
const REWRITE_AFTER: Duration = Duration::from_secs(100);

/// Most turns in one conversation; a longer chain is taken for a loop.
const MAX_CHAIN: usize = 10_000;

#[derive(Debug)]
struct Dated<T> {
    value: T,
    touched: Timestamp,
    written: Timestamp,
}

#[derive(Debug)]
struct DatedAccount {
    account: Account,
    /// When each open reservation was first seen here.
    reserved: BTreeMap<String, Timestamp>,
    touched: Timestamp,
    written: Timestamp,
}

/// An overdraft that has not been closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenOverdraft {
    /// A turn may begin on it if, with it, the program draws no more than one part in so many of
    /// its budget.
    pub share: u64,
    /// Programs with smaller budgets may not draw on it.
    pub min_budget: u64,
    /// Whether only programs may draw on it whose account its owner has read in the log.
    pub known_programs: bool,
    /// Set once its owner may not draw on it any more, as soon as it has read that: the programs
    /// that had an account then.
    pub superseded: Option<BTreeSet<String>>,
    /// The nodes that know whether it is used.
    pub witnesses: Vec<Witness>,
}

impl OpenOverdraft {
    /// Whether a program can have drawn on it, or can yet.
    fn may_have_served(&self, program: &str, budget: u64) -> bool {
        let is_too_new = |known: &BTreeSet<String>| !known.contains(program);
        let is_spared = self.known_programs && self.superseded.as_ref().is_some_and(is_too_new);
        budget >= self.min_budget && !is_spared
    }
}

/// Accounts, kept turns and overdrafts of one partition.
#[derive(Debug, Default)]
pub struct LedgerState {
    accounts: BTreeMap<String, DatedAccount>,
    turns: BTreeMap<String, Dated<KeptTurn>>,
    overdrafts: BTreeMap<String, Dated<OpenOverdraft>>,
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
                self.note_owner(now, &reservation);
                let entry = self.account_entry(now, program);
                entry.reserved.insert(reservation.clone(), now);
                entry.account.reserve(reservation, tokens);
            }
            LedgerRecord::Settled {
                program,
                reservation,
                used,
            } => {
                self.note_owner(now, &reservation);
                let entry = self.account_entry(now, program);
                entry.reserved.remove(&reservation);
                entry.account.settle(&reservation, used);
            }
            LedgerRecord::Kept { turn, content } => {
                let dated = Dated {
                    value: content,
                    touched: now,
                    written: now,
                };
                self.turns.insert(turn, dated);
            }
            LedgerRecord::Account {
                program,
                settled,
                open,
            } => {
                self.note_known_before(&program);
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
                    superseded: None,
                    witnesses,
                };
                if let Some(known) = self.overdrafts.remove(&overdraft) {
                    value.min_budget = known.value.min_budget;
                    value.known_programs = known.value.known_programs;
                    value.superseded = known.value.superseded;
                }
                let dated = Dated {
                    value,
                    touched: now - idle,
                    written: now,
                };
                self.overdrafts.insert(overdraft, dated);
            }
            LedgerRecord::OverdraftTerms {
                overdraft,
                min_budget,
                known_programs,
            } => {
                if let Some(dated) = self.overdrafts.get_mut(&overdraft) {
                    dated.value.min_budget = min_budget;
                    dated.value.known_programs = known_programs;
                }
            }
            LedgerRecord::OverdraftSuperseded { overdraft } => {
                if let Some(dated) = self.overdrafts.get_mut(&overdraft) {
                    let known = self.accounts.keys().cloned();
                    dated
                        .value
                        .superseded
                        .get_or_insert_with(|| known.collect());
                }
            }
            LedgerRecord::OverdraftClosed { overdraft } => {
                self.overdrafts.remove(&overdraft);
            }
        }
    }

    /// A program whose account is written anew may have had one before any record that is kept.
    fn note_known_before(&mut self, program: &str) {
        if self.accounts.contains_key(program) {
            return;
        }
        for dated in self.overdrafts.values_mut() {
            if let Some(known) = &mut dated.value.superseded {
                known.insert(program.to_owned());
            }
        }
    }

    /// A record shows that its owner lives, so its overdraft may still be used.
    fn note_owner(&mut self, now: Timestamp, reservation: &str) {
        let owner = owner_of(reservation);
        for (name, dated) in &mut self.overdrafts {
            if owner_of(name) == owner {
                dated.touched = now;
            }
        }
    }

    /// Overdrafts that have not been closed, by name.
    pub fn overdrafts(&self) -> impl Iterator<Item = (&str, &OpenOverdraft)> {
        let open = self.overdrafts.iter();
        open.map(|(name, dated)| (name.as_str(), &dated.value))
    }

    /// Tokens that other owners may have let a program generate on their overdrafts, beyond what
    /// stands in the log. `is_own` tells which overdrafts are the asker's.
    ///
    /// Programs that an overdraft does not serve cannot have drawn on it.
    /// An owner lets a turn begin only if what the program then draws at most, beside settled
    /// tokens, stays within a share of its budget. So the charge covers all that it can have
    /// granted unseen, and charges of several open overdrafts add up.
    pub fn overdrawn_by_others(
        &self,
        program: &str,
        budget: u64,
        is_own: impl Fn(&str) -> bool,
    ) -> u64 {
        let others = self.overdrafts().filter(|(name, _)| !is_own(name));
        let charges = others
            .filter(|(_, overdraft)| overdraft.may_have_served(program, budget))
            .map(|(name, overdraft)| {
                let owner = owner_of(name);
                let limit = budget / overdraft.share.max(1);
                limit.saturating_sub(self.reserved(program, |other| owner_of(other) == owner))
            });
        total(charges)
    }

    /// Tokens set aside for a program on reservations that `is_wanted` takes.
    pub fn reserved(&self, program: &str, is_wanted: impl Fn(&str) -> bool) -> u64 {
        let Some(account) = self.account(program) else {
            return 0;
        };
        let wanted = account.open.iter().filter(|(name, _)| is_wanted(name));
        total(wanted.map(|(_, tokens)| *tokens))
    }

    /// The account of a program, if it has one.
    pub fn account(&self, program: &str) -> Option<&Account> {
        self.accounts.get(program).map(|dated| &dated.account)
    }

    /// Tokens that others have set aside for a program, on reservations seen here for less than
    /// `patience`. `is_own` tells which reservations are the asker's.
    pub fn lately_reserved_by_others(
        &self,
        program: &str,
        now: Timestamp,
        patience: Duration,
        is_own: impl Fn(&str) -> bool,
    ) -> u64 {
        let Some(dated) = self.accounts.get(program) else {
            return 0;
        };
        let others = dated.account.open.iter().filter(|(name, _)| !is_own(name));
        let is_recent = |name: &str| {
            let seen = dated.reserved.get(name);
            seen.is_some_and(|seen| now.since(*seen) < patience)
        };
        let recent = others.filter(|(name, _)| is_recent(name));
        total(recent.map(|(_, tokens)| *tokens))
    }

    /// Whether a turn is kept.
    pub fn has_turn(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Inputs and outputs of all turns up to the end of `turn`, in order; `None` if one is missing.
    pub fn conversation(&self, turn: &str) -> Option<Bytes> {
        let mut chain = Vec::new();
        let mut next = Some(turn);
        while let Some(name) = next {
            let kept = &self.turns.get(name)?.value;
            chain.push(kept);
            if chain.len() > MAX_CHAIN {
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

    /// Drops turns that were last touched longer ago than `retention`, and accounts after
    /// [`ACCOUNT_RETENTION`]. A turn stays as long as one that goes on from it, however far up the
    /// conversation.
    pub fn expire(&mut self, now: Timestamp, retention: Duration) {
        let for_accounts = retention.max(ACCOUNT_RETENTION);
        self.accounts
            .retain(|_, dated| now.since(dated.touched) < for_accounts);
        self.overdrafts
            .retain(|_, dated| now.since(dated.touched) < OVERDRAFT_RETENTION);
        let kept = self.turns_with_ancestors(|dated| now.since(dated.touched) < retention);
        self.turns.retain(|turn, _| kept.contains(turn));
    }

    fn turns_with_ancestors(
        &self,
        is_recent: impl Fn(&Dated<KeptTurn>) -> bool,
    ) -> BTreeSet<String> {
        let mut kept: BTreeSet<String> = BTreeSet::new();
        for (turn, dated) in &self.turns {
            if !is_recent(dated) {
                continue;
            }
            let mut next = Some(turn);
            while let Some(name) = next
                && let Some(dated) = self.turns.get(name)
                && kept.insert(name.clone())
            {
                next = dated.value.previous.as_ref();
            }
        }
        kept
    }

    /// Records to append anew, so that what they say outlasts the log's history.
    pub fn rewrites(&self, now: Timestamp) -> Vec<LedgerRecord> {
        let accounts = self
            .accounts
            .iter()
            .filter(|(_, dated)| now.since(dated.written) >= REWRITE_AFTER)
            .map(|(program, dated)| LedgerRecord::Account {
                program: program.clone(),
                settled: dated.account.settled,
                open: dated.account.open.clone().into_iter().collect(),
            });
        let turns = self
            .turns
            .iter()
            .filter(|(_, dated)| now.since(dated.written) >= REWRITE_AFTER)
            .map(|(turn, dated)| LedgerRecord::Kept {
                turn: turn.clone(),
                content: dated.value.clone(),
            });
        let overdrafts = self
            .overdrafts
            .iter()
            .filter(|(_, dated)| now.since(dated.written) >= REWRITE_AFTER)
            .flat_map(|(overdraft, dated)| overdraft_records(now, overdraft, dated));
        accounts.chain(turns).chain(overdrafts).collect()
    }

    /// How many accounts and turns are held.
    pub fn len(&self) -> usize {
        self.accounts.len() + self.turns.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn account_entry(&mut self, now: Timestamp, program: String) -> &mut DatedAccount {
        let dated = self
            .accounts
            .entry(program)
            .or_insert_with(|| DatedAccount {
                account: Account::default(),
                reserved: BTreeMap::new(),
                touched: now,
                written: now,
            });
        dated.touched = now;
        dated.written = now;
        dated
    }
}

/// The records that an open overdraft is written anew with.
fn overdraft_records(
    now: Timestamp,
    overdraft: &str,
    dated: &Dated<OpenOverdraft>,
) -> Vec<LedgerRecord> {
    let idle = now.since(dated.touched).as_millis();
    let open = &dated.value;
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
    if open.superseded.is_some() {
        records.push(LedgerRecord::OverdraftSuperseded {
            overdraft: overdraft.to_owned(),
        });
    }
    records
}
