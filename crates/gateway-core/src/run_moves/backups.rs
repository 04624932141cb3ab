//! Selects the runs that are backed up to another engine while they run.
//!
//! A backup transfers a run's whole memory once, whether or not it will be needed. It is worth its
//! cost for runs that still generate many tokens from little memory, so the criterion is the number
//! of bytes transferred per token yet to be generated. Each node also limits its concurrent backups
//! and their total bytes per second.

use elderworks_types::Timestamp;

/// Limits on the cost of backups. A `max_bytes_per_token` of 0 disables them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackupRules {
    /// Maximum number of bytes transferred per token yet to be generated.
    pub max_bytes_per_token: u64,
    /// Maximum number of concurrent backups of one node.
    pub max_concurrent: u32,
    /// Maximum bytes per second of one node's backups, averaged over [`BURST_S`] seconds.
    pub bytes_per_s: u64,
}

/// Capacity of the rate limiter, in seconds' worth of bytes.
pub const BURST_S: u64 = 2;

/// Memory and remaining work of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSize {
    /// Number of tokens of its prompt and of its output so far.
    pub tokens: u64,
    /// Maximum number of tokens that it may still generate.
    pub remaining_tokens: u64,
    /// Bytes per token in memory.
    pub token_bytes: u64,
}

impl RunSize {
    /// Returns the bytes that a backup transfers if the run generates all its remaining tokens.
    pub fn backup_bytes(&self) -> u64 {
        let tokens = self.tokens.saturating_add(self.remaining_tokens);
        tokens.saturating_mul(self.token_bytes)
    }
}

/// Admission of one node's backups: a concurrency limit and a leaky bucket of bytes.
#[derive(Debug, Default)]
pub struct Backups {
    at_once: u32,
    /// Bytes in the bucket at `charged_at`.
    charged: u64,
    charged_at: Timestamp,
}

impl Backups {
    /// Starts a backup of a run if the limits allow it, and returns the bytes charged for it. The
    /// caller must call [`Backups::end`] once the run has ended.
    pub fn start(&mut self, rules: &BackupRules, run: &RunSize, now: Timestamp) -> Option<u64> {
        let bytes = run.backup_bytes();
        let max_bytes = rules
            .max_bytes_per_token
            .saturating_mul(run.remaining_tokens);
        if bytes == 0 || bytes > max_bytes || self.at_once >= rules.max_concurrent {
            return None;
        }
        let charged = self.remaining_charge(rules, now).saturating_add(bytes);
        if charged > rules.bytes_per_s.saturating_mul(BURST_S) {
            return None;
        }
        self.charged = charged;
        self.charged_at = now;
        self.at_once += 1;
        Some(bytes)
    }

    /// Records that a run with a backup has ended.
    pub fn end(&mut self) {
        self.at_once = self.at_once.saturating_sub(1);
    }

    /// Returns the number of runs that have a backup.
    pub fn at_once(&self) -> u32 {
        self.at_once
    }

    /// Returns the bytes left in the bucket at `now`.
    fn remaining_charge(&self, rules: &BackupRules, now: Timestamp) -> u64 {
        let passed_us = now.since(self.charged_at).as_micros();
        let drained = u128::from(rules.bytes_per_s) * passed_us / 1_000_000;
        let drained = u64::try_from(drained).unwrap_or(u64::MAX);
        self.charged.saturating_sub(drained)
    }
}
