//! Parameters of the engine model.

use std::time::Duration;

/// Speed, memory and limits of one engine. `docs/ENGINE-MODEL.md` has the sources of the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineParameters {
    /// Base duration of a step, for reading the weights.
    pub step_base: Duration,
    /// Additional duration of a step per decoding sequence.
    pub step_per_sequence: Duration,
    /// Additional duration of a step per context token of its decoding sequences, in nanoseconds.
    pub step_nanos_per_context_token: u64,
    /// Additional duration of a step per prefilled token, in nanoseconds.
    pub step_nanos_per_prefill_token: u64,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
    /// Token budget of a step: one token per decoding sequence, the rest for chunked prefill.
    pub step_tokens: u64,
    /// Size of prefix cache and working memory, in blocks of `TOKENS_PER_BLOCK` tokens.
    pub cache_blocks: usize,
    /// Maximum number of waiting requests; further ones are rejected.
    pub max_waiting: usize,
    /// Minimum difference in priority at which a waiting request preempts a running one in a full
    /// batch.
    pub preemption_gap: i64,
    /// Number of tokens per streamed chunk.
    pub tokens_per_chunk: u64,
    /// Time to import one block from another engine.
    pub transfer_per_block: Duration,
    /// Number of completed requests whose answers can be resumed.
    pub retained_requests: usize,
    /// Size of a model's weights, in bytes.
    pub model_bytes: u64,
    /// Delay and loss of published reports and events.
    pub feed: FeedParameters,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            step_base: Duration::from_micros(14_000),
            step_per_sequence: Duration::from_micros(120),
            step_nanos_per_context_token: 40,
            step_nanos_per_prefill_token: 110_000,
            max_batch: 32,
            step_tokens: 512,
            cache_blocks: 8_192,
            max_waiting: 256,
            preemption_gap: 1,
            tokens_per_chunk: 8,
            transfer_per_block: Duration::from_micros(250),
            retained_requests: 256,
            model_bytes: 16_000_000_000,
            feed: FeedParameters::default(),
        }
    }
}

impl EngineParameters {
    /// Returns the duration of a step that decodes `sequences` sequences with `context_tokens` tokens
    /// of context in total, and prefills `prefill_tokens` tokens.
    pub fn step_duration(
        &self,
        sequences: u64,
        context_tokens: u64,
        prefill_tokens: u64,
    ) -> Duration {
        let context = Duration::from_nanos(self.step_nanos_per_context_token * context_tokens);
        let prefill = Duration::from_nanos(self.step_nanos_per_prefill_token * prefill_tokens);
        let decoding = self.step_per_sequence * u32::try_from(sequences).unwrap_or(u32::MAX);
        self.step_base + decoding + context + prefill
    }
}

/// Delay and loss of an engine's published state.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedParameters {
    /// Delay until a load report becomes visible.
    pub load_lag: Duration,
    /// Delay until a cache event becomes visible.
    pub cache_lag: Duration,
    /// Fraction of cache events that are lost, from 0 to 1. Their sequence numbers are skipped.
    pub cache_loss_ratio: f64,
    /// Number of cache events kept for readers.
    pub retained_events: usize,
}

impl Default for FeedParameters {
    fn default() -> Self {
        Self {
            load_lag: Duration::from_millis(500),
            cache_lag: Duration::from_millis(500),
            cache_loss_ratio: 0.01,
            retained_events: 4_096,
        }
    }
}
