//! Which runs are backed up at another engine while they run.
//!
//! A backup moves a run's whole memory once, whatever becomes of its engine. It pays for runs that
//! generate much on little memory; the figure is the bytes that it moves for each token that the run
//! has yet to generate. Backups at a time and bytes a second are bounded for each node.

use elderworks_types::Timestamp;

/// What backups may cost; a `max_bytes_per_token` of 0 means none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackupRules {
    /// Bytes moved for each token yet to be generated, at most.
    pub max_bytes_per_token: u64,
    /// Runs of one node that have a backup at the same time.
    pub max_concurrent: u32,
    /// Bytes that backups of one node move, on average over [`BURST_S`] seconds.
    pub bytes_per_s: u64,
}

/// The bound on bytes a second may be used up ahead by this many seconds.
pub const BURST_S: u64 = 2;

/// What a run keeps in memory, and has yet to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSize {
    /// Tokens of its prompt and of what it has generated.
    pub tokens: u64,
    /// Tokens that it has yet to generate, at most.
    pub remaining_tokens: u64,
    /// Bytes of one token in memory.
    pub token_bytes: u64,
}

impl RunSize {
    /// Bytes that a backup moves if the run goes to its end.
    pub fn backup_bytes(&self) -> u64 {
        let tokens = self.tokens.saturating_add(self.remaining_tokens);
        tokens.saturating_mul(self.token_bytes)
    }
}

/// The backups of one node.
#[derive(Debug, Default)]
pub struct Backups {
    at_once: u32,
    /// Bytes that are charged and not yet worked off.
    charged: u64,
    charged_at: Timestamp,
}

impl Backups {
    /// Whether a run gets a backup; its bytes are charged then, and [`Backups::end`] is to be called
    /// once it is over. Returns the bytes.
    pub fn begin(&mut self, rules: &BackupRules, run: &RunSize, now: Timestamp) -> Option<u64> {
        let bytes = run.backup_bytes();
        let most = rules
            .max_bytes_per_token
            .saturating_mul(run.remaining_tokens);
        if bytes == 0 || bytes > most || self.at_once >= rules.max_concurrent {
            return None;
        }
        let charged = self.still_charged(rules, now).saturating_add(bytes);
        if charged > rules.bytes_per_s.saturating_mul(BURST_S) {
            return None;
        }
        self.charged = charged;
        self.charged_at = now;
        self.at_once += 1;
        Some(bytes)
    }

    /// A run that had a backup is over.
    pub fn end(&mut self) {
        self.at_once = self.at_once.saturating_sub(1);
    }

    /// Runs that have a backup.
    pub fn at_once(&self) -> u32 {
        self.at_once
    }

    fn still_charged(&self, rules: &BackupRules, now: Timestamp) -> u64 {
        let passed_us = now.since(self.charged_at).as_micros();
        let worked_off = u128::from(rules.bytes_per_s) * passed_us / 1_000_000;
        let worked_off = u64::try_from(worked_off).unwrap_or(u64::MAX);
        self.charged.saturating_sub(worked_off)
    }
}
