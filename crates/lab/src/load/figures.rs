//! Totals and latency distributions over all programs.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::program::ProgramRecord;

/// Maximum recorded latency: one hour. Longer latencies are clamped to it.
const MAX_MICROSECONDS: u64 = 3_600_000_000;

/// Precision of recorded latencies, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A latency histogram in microseconds.
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

    /// Returns the number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the latency at `quantile` (0 to 1), in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the maximum latency in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.0.max() as f64 / 1000.0
    }
}

/// Results of one load experiment.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Latencies of completed programs, from their intended start.
    pub programs: Latencies,
    /// Latencies of answered calls, from sending.
    pub calls: Latencies,
    /// Times from sending a call to the first piece of its answer.
    pub first_pieces: Latencies,
    /// Number of failed programs by error code.
    pub errors: BTreeMap<String, u64>,
    /// Number of answers whose streamed pieces do not add up to the final answer.
    pub broken_answers: u64,
    /// Prompt tokens of answered calls.
    pub prompt_tokens: u64,
    /// Prompt tokens of answered calls that came from engine caches.
    pub cached_tokens: u64,
    /// Duration of the experiment.
    pub elapsed: Duration,
}

impl Figures {
    /// Creates empty figures.
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

    /// Adds the record of one program.
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
            self.broken_answers += u64::from(!call.pieces_match_answer);
            self.prompt_tokens += call.prompt_tokens;
            self.cached_tokens += call.cached_tokens;
        }
    }
}
