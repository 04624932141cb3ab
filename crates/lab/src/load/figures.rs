//! Sums and distributions over all programs.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::program::ProgramRecord;

/// Longest latency told apart, in microseconds: one hour.
const MAX_MICROSECONDS: u64 = 3_600_000_000;

/// Significant digits kept of each latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A distribution of latencies.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

impl Latencies {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are constants in range"))
    }

    fn add(&mut self, latency: Duration) {
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROSECONDS);
        self.0.saturating_record(microseconds);
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The latency that `quantile` (0 to 1) of all do not exceed, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// The longest, in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.0.max() as f64 / 1000.0
    }
}

/// Figures of one experiment.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Completed programs, from their intended start.
    pub programs: Latencies,
    /// Answered calls, from their sending.
    pub calls: Latencies,
    /// First pieces of answered calls, from the calls' sending.
    pub first_pieces: Latencies,
    /// Programs that broke off, by error code.
    pub errors: BTreeMap<String, u64>,
    /// Answers whose pieces did not join to the whole.
    pub broken_answers: u64,
    /// Prompt tokens of answered calls.
    pub prompt_tokens: u64,
    /// Of those, tokens from engines' caches.
    pub cached_tokens: u64,
    /// Length of the experiment.
    pub elapsed: Duration,
}

impl Figures {
    /// Of no program yet.
    pub fn new() -> Self {
        Self {
            programs: Latencies::new(),
            calls: Latencies::new(),
            first_pieces: Latencies::new(),
            errors: BTreeMap::new(),
            broken_answers: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Adds one program.
    pub fn add(&mut self, record: ProgramRecord) {
        match record.error {
            None => self.programs.add(record.duration),
            Some(error) => *self.errors.entry(error.code().to_owned()).or_default() += 1,
        }
        for call in record.calls {
            self.calls.add(call.duration);
            if let Some(first) = call.first_piece {
                self.first_pieces.add(first);
            }
            self.broken_answers += u64::from(!call.is_whole);
            self.prompt_tokens += call.prompt_tokens;
            self.cached_tokens += call.cached_tokens;
        }
    }
}
