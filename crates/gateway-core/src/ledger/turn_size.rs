//! What a turn of a partition's programs usually generates at most.

/// The estimate moves by one part in so many with each turn, so it follows a change of load within
/// some dozen turns, and one program with huge turns hardly moves it.
const STEP: u64 = 16;

/// The median of what turns generate at most, roughly: it rises a step with each larger turn and
/// falls a step with each smaller one.
#[derive(Debug, Default)]
pub(super) struct TypicalTurn {
    tokens: u64,
}

impl TypicalTurn {
    /// Takes a turn into account.
    pub(super) fn note(&mut self, tokens: u64) {
        if self.tokens == 0 {
            self.tokens = tokens;
            return;
        }
        let step = self.tokens.div_ceil(STEP);
        let nearest = self.tokens.abs_diff(tokens).min(step);
        if tokens > self.tokens {
            self.tokens += nearest;
        } else {
            self.tokens -= nearest;
        }
    }

    /// Tokens; 0 if no turn is known.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }
}
