//! The order in which a process sends its requests to owners.

/// Number of low bits that count the requests of one process.
const COUNTER_BITS: u32 = 40;

/// Orders the requests that one process sends. They may arrive in another order if they travel on
/// different connections. The high bits identify the process, the low bits count its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SentNumber(pub u64);

impl SentNumber {
    /// Returns whether the same process has sent this request before the other one.
    pub fn precedes(self, other: Self) -> bool {
        let is_same_process = self.0 >> COUNTER_BITS == other.0 >> COUNTER_BITS;
        is_same_process && self.0 < other.0
    }
}

/// Issues the numbers of one process.
#[derive(Debug)]
pub struct SentNumbers {
    last: u64,
}

impl SentNumbers {
    /// Creates the numbers of a process that is identified by a random number.
    pub fn new(process: u64) -> Self {
        Self {
            last: process << COUNTER_BITS,
        }
    }

    /// Returns the number of the next request.
    pub fn issue(&mut self) -> SentNumber {
        self.last += 1;
        SentNumber(self.last)
    }
}
