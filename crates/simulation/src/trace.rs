//! Trace of a simulation: readable lines, and a digest that allows two runs to be compared.

use xxhash_rust::xxh3::Xxh3;

use crate::kernel::Instant;

/// Maximum number of lines kept; later lines only enter the digest.
const MAX_LINES: usize = 20_000;

/// Lines of one simulation in chronological order.
pub struct Trace {
    keep: bool,
    lines: Vec<String>,
    hasher: Xxh3,
}

impl Trace {
    /// Creates an empty trace; without `keep`, only the digest is computed.
    pub fn new(keep: bool) -> Self {
        Self {
            keep,
            lines: Vec::new(),
            hasher: Xxh3::new(),
        }
    }

    /// Appends a line with the time `now`.
    pub fn line(&mut self, now: Instant, text: std::fmt::Arguments<'_>) {
        let line = format!("{now} {text}");
        self.hasher.update(line.as_bytes());
        if self.keep && self.lines.len() < MAX_LINES {
            self.lines.push(line);
        }
    }

    /// Returns the hash of all lines added so far, including lines that were not kept.
    pub fn digest(&self) -> u64 {
        self.hasher.digest()
    }

    /// Returns the kept lines.
    pub fn into_lines(self) -> Vec<String> {
        self.lines
    }
}
