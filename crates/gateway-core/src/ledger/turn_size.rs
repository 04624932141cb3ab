//! Estimates the typical size of a partition's turns.

/// Every turn moves the estimate by at most the estimate divided by this number: it follows a
/// change of load within some dozen turns, and single huge turns hardly affect it.
const STEP_DIVISOR: u64 = 16;

/// Approximate median of the maximum tokens per turn. Each larger turn raises it by one step, and
/// each smaller turn lowers it.
#[derive(Debug, Default)]
pub(super) struct TypicalTurn {
    tokens: u64,
}

impl TypicalTurn {
    /// Records a turn that generates at most `tokens`.
    pub(super) fn record(&mut self, tokens: u64) {
        if self.tokens == 0 {
            self.tokens = tokens;
            return;
        }
        let step = self.tokens.div_ceil(STEP_DIVISOR);
        let change = self.tokens.abs_diff(tokens).min(step);
        if tokens > self.tokens {
            self.tokens += change;
        } else {
            self.tokens -= change;
        }
    }

    /// Returns the estimate in tokens, or 0 before the first turn.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }
}
