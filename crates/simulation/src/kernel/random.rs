//! Random numbers from one seed, in an independent stream for each purpose.

use std::time::Duration;

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Purpose of a random stream. Drawing from one stream does not affect the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Network delays, loss, duplication and reordering.
    Network = 1,
    /// Programs that callers run.
    Workload = 2,
    /// Kinds, triggers and targets of faults.
    Faults = 3,
    /// Seeds and clocks of processes.
    Processes = 4,
    /// Answers and timing of the platform.
    Platform = 5,
}

/// Random stream.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Creates the stream of `seed` for `purpose`.
    pub fn new(seed: u64, purpose: Purpose) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(purpose as u64);
        Self(generator)
    }

    /// Returns a number in `low..high`, or `low` if the range is empty.
    pub fn in_range(&mut self, low: u64, high: u64) -> u64 {
        if low >= high {
            return low;
        }
        self.0.random_range(low..high)
    }

    /// Returns an index in `0..length`, or 0 if `length` is 0.
    pub fn index(&mut self, length: usize) -> usize {
        self.in_range(0, length as u64) as usize
    }

    /// Returns true with a probability of `percent` percent.
    pub fn chance(&mut self, percent: u32) -> bool {
        self.in_range(0, 100) < u64::from(percent)
    }

    /// Returns a duration in `low..high` with a resolution of one microsecond.
    pub fn duration(&mut self, low: Duration, high: Duration) -> Duration {
        let low = low.as_micros() as u64;
        let high = high.as_micros() as u64;
        Duration::from_micros(self.in_range(low, high))
    }

    /// Returns the underlying generator, for models that draw numbers directly.
    pub fn generator(&mut self) -> &mut dyn RngCore {
        &mut self.0
    }

    /// Returns a number from the full range of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }
}
