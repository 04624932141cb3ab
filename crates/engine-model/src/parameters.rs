//! Parameters of the engine model.

use std::time::Duration;

/// Speed, memory and limits of one engine. Defaults and their sources: `docs/ENGINE-MODEL.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineParameters {
    /// Time of a step that does no work: weights are read once per step.
    pub step_base: Duration,
    /// Added to a step for each sequence that decodes in it.
    pub step_per_sequence: Duration,
    /// Added to a step for each token of context that its decoding sequences attend to, in
    /// nanoseconds.
    pub step_nanos_per_context_token: u64,
    /// Added to a step for each prompt token prefilled in it, in nanoseconds.
    pub step_nanos_per_prefill_token: u64,
    /// Most sequences in the batch.
    pub max_batch: usize,
    /// Most tokens in one step: one per decoding sequence, the rest for chunks of prefill.
    pub step_tokens: u64,
    /// Prefix cache and working memory, in blocks of `TOKENS_PER_BLOCK` tokens.
    pub cache_blocks: usize,
    /// Most requests waiting; a further one is rejected as not run.
    pub max_waiting: usize,
    /// How much smaller the priority of a waiting request must be than that of a running one to
    /// displace it from a full batch.
    pub preemption_gap: i64,
    /// Tokens in one streamed chunk.
    pub tokens_per_chunk: u64,
    /// Time to move one block to or from another engine.
    pub transfer_per_block: Duration,
    /// Ended requests whose answers can still be resumed.
    pub retained_requests: usize,
    /// Bytes of one model's weights, for loading from the weight store.
    pub model_bytes: u64,
    /// Delay and loss of published events and reports.
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
    /// Duration of a step that decodes `sequences` over `context_tokens` and prefills
    /// `prefill_tokens`.
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

/// How late and how incompletely an engine publishes its state.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedParameters {
    /// Age of the newest load report that can be read.
    pub load_lag: Duration,
    /// Age of the newest cache event that can be read.
    pub cache_lag: Duration,
    /// Share of cache events that are lost, from 0 to 1. Their sequence numbers stay missing.
    pub cache_loss_ratio: f64,
    /// Cache events kept for readers.
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
