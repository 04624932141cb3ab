//! Random choices, all from one seed, in independent streams by purpose.

use std::time::Duration;

use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a stream of random numbers is for. A change in one leaves the others as they were.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Delays, loss, duplication.
    Network = 1,
    /// The programs that callers run.
    Workload = 2,
    /// Which faults apply_fault, when and where.
    Faults = 3,
    /// Seeds given to processes.
    Processes = 4,
    /// Answers and timings of the platform.
    Platform = 5,
}

/// One stream.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// The stream of `seed` for `purpose`.
    pub fn new(seed: u64, purpose: Purpose) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(purpose as u64);
        Self(generator)
    }

    /// A number from `low` to below `high`; `low` where the range is empty.
    pub fn in_range(&mut self, low: u64, high: u64) -> u64 {
        if low >= high {
            return low;
        }
        self.0.random_range(low..high)
    }

    /// An index below `length`; 0 where `length` is 0.
    pub fn index(&mut self, length: usize) -> usize {
        self.in_range(0, length as u64) as usize
    }

    /// True in `percent` of cases.
    pub fn chance(&mut self, percent: u32) -> bool {
        self.in_range(0, 100) < u64::from(percent)
    }

    /// A duration from `low` to below `high`.
    pub fn duration(&mut self, low: Duration, high: Duration) -> Duration {
        let low = low.as_micros() as u64;
        let high = high.as_micros() as u64;
        Duration::from_micros(self.in_range(low, high))
    }

    /// The generator itself, for models that draw their own numbers.
    pub fn generator(&mut self) -> &mut dyn RngCore {
        &mut self.0
    }

    /// Any number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }
}
