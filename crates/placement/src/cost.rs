//! What a call costs an engine, as placement assumes it.
//!
//! The figures are those of `docs/ENGINE-MODEL.md`. Only their ratios matter to a choice.

use std::time::Duration;

use elderworks_types::Tokens;

/// Sequences that an engine decodes at a time.
pub const ENGINE_BATCH: u32 = 32;

/// Engine time to prefill one prompt token.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(110);

/// Time of a decoding step of an engine that serves one sequence.
const STEP_ALONE: Duration = Duration::from_micros(14_500);

/// Added to a decoding step by each further sequence, its context included.
const STEP_PER_SEQUENCE: Duration = Duration::from_micros(300);

/// One way to an engine of another zone.
const OTHER_ZONE: Duration = Duration::from_millis(2);

/// Engine time to prefill so many tokens.
pub fn prefill(tokens: Tokens) -> Duration {
    PREFILL_PER_TOKEN * u32::try_from(tokens.0).unwrap_or(u32::MAX)
}

/// What so many sequences add to a decoding step of another one.
pub fn added_to_step(sequences: u32) -> Duration {
    STEP_PER_SEQUENCE * sequences.min(ENGINE_BATCH)
}

/// Time of one decoding step of a full batch.
pub fn full_step() -> Duration {
    STEP_ALONE + added_to_step(ENGINE_BATCH)
}

/// Round trip added by an engine's distance.
pub fn distance(same_zone: bool) -> Duration {
    if same_zone {
        Duration::ZERO
    } else {
        OTHER_ZONE * 2
    }
}
