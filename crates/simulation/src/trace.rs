//! What happened, as text for people and as a digest for comparing two runs.

use xxhash_rust::xxh3::Xxh3;

use crate::kernel::Instant;

const MAX_LINES: usize = 20_000;

/// Lines of one simulation, in order of time.
pub struct Trace {
    keep: bool,
    lines: Vec<String>,
    hasher: Xxh3,
}

impl Trace {
    /// An empty trace; without `keep` only the digest is made.
    pub fn new(keep: bool) -> Self {
        Self {
            keep,
            lines: Vec::new(),
            hasher: Xxh3::new(),
        }
    }

    /// Adds a line.
    pub fn line(&mut self, now: Instant, text: std::fmt::Arguments<'_>) {
        let line = format!("{now} {text}");
        self.hasher.update(line.as_bytes());
        if self.keep && self.lines.len() < MAX_LINES {
            self.lines.push(line);
        }
    }

    /// Hash of every line so far.
    pub fn digest(&self) -> u64 {
        self.hasher.digest()
    }

    /// The lines kept.
    pub fn into_lines(self) -> Vec<String> {
        self.lines
    }
}
