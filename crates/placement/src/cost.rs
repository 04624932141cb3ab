//! The cost model by which engines are compared.
//!
//! The constants match `docs/ENGINE-MODEL.md`. Only their ratios affect the choice of an engine.

use std::time::Duration;

use elderworks_types::Tokens;

/// Maximum number of sequences that an engine decodes in one batch.
pub const ENGINE_BATCH: u32 = 32;

/// Time an engine takes to prefill one prompt token.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(110);

/// Duration of a decoding step with a single sequence in the batch.
const SINGLE_SEQUENCE_STEP: Duration = Duration::from_micros(14_500);

/// Time that each further sequence, with its context, adds to a decoding step.
const STEP_PER_SEQUENCE: Duration = Duration::from_micros(300);

/// One-way network latency to an engine in another zone.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(2);

/// Returns the time an engine takes to prefill `tokens`.
pub fn prefill_time(tokens: Tokens) -> Duration {
    PREFILL_PER_TOKEN * u32::try_from(tokens.0).unwrap_or(u32::MAX)
}

/// Returns the time that `sequences` other sequences add to a decoding step.
pub fn added_step_time(sequences: u32) -> Duration {
    STEP_PER_SEQUENCE * sequences.min(ENGINE_BATCH)
}

/// Returns the duration of a decoding step of a full batch.
pub fn full_batch_step() -> Duration {
    SINGLE_SEQUENCE_STEP + added_step_time(ENGINE_BATCH)
}

/// Returns the network round-trip time to an engine, counted only across zones.
pub fn network_round_trip(same_zone: bool) -> Duration {
    if same_zone {
        Duration::ZERO
    } else {
        CROSS_ZONE_LATENCY * 2
    }
}
