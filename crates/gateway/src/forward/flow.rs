//! Flow control between a worker that may send fast and a caller that may read slowly.
//!
//! The gateway reads ahead of the caller up to the stream's buffer limit, so that most responses
//! release their worker regardless of the caller's speed. Beyond the limit the worker is not read
//! from. The thresholds are defined in `elderworks_gateway_core::pressure`.

use std::time::{Duration, Instant};

use bytes::Bytes;
use elderworks_gateway_core::pressure::{MAX_STALL, StallStep, after_stall, should_read_stream};

use super::CallError;
use crate::caller::Caller;
use crate::gateway::Gateway;
use crate::memory::{MemoryTracker, StreamRegistration};
use crate::metrics::StalledCallerLabel;
use crate::upstream::WorkerResponse;

/// The next step of a forwarded stream.
pub(super) enum FlowStep {
    /// Received a chunk.
    Chunk(Bytes),
    /// The worker completed the stream.
    End,
    /// The stream broke off.
    Broken(String),
    /// The worker has been silent for the configured time.
    Silent,
    /// The connection to the worker is to be closed until the caller has read the buffered data.
    ReleaseWorker,
}

/// Flow control of one stream.
pub(super) struct StreamFlow<'a> {
    gateway: &'a Gateway,
    memory: MemoryTracker,
    entry: StreamRegistration,
    request: &'a str,
    is_resumable: bool,
    /// Silence of the worker after which [`FlowStep::Silent`] is returned, if any.
    silence_limit: Option<Duration>,
    /// When the caller last read bytes, or when the first unsent bytes became available.
    stalled_since: Instant,
    is_paused: bool,
}

impl<'a> StreamFlow<'a> {
    /// Creates the flow control of a new stream.
    pub(super) fn new(
        gateway: &'a Gateway,
        request: &'a str,
        is_resumable: bool,
        silence_limit: Option<Duration>,
    ) -> Self {
        let memory = gateway.memory.clone();
        Self {
            entry: memory.register_stream(),
            memory,
            gateway,
            request,
            is_resumable,
            silence_limit,
            stalled_since: Instant::now(),
            is_paused: false,
        }
    }

    /// Encodes a chunk for the caller.
    pub(super) fn push(&mut self, caller: &mut Caller<'_>, chunk: Bytes) -> Result<(), CallError> {
        if caller.unsent() == 0 {
            self.stalled_since = Instant::now();
        }
        caller.push_chunk(chunk)?;
        self.entry.note(caller.unsent(), self.stalled_since);
        Ok(())
    }

    /// Sends to the caller what it accepts until the next step. `waiting_since` holds the time
    /// since which the worker has been silent, or `None` while the worker is not read from.
    pub(super) async fn next(
        &mut self,
        caller: &mut Caller<'_>,
        response: &mut WorkerResponse,
        waiting_since: &mut Option<Instant>,
    ) -> Result<FlowStep, CallError> {
        let buffer = self.gateway.settings.policy.stream_buffer_bytes;
        let silence_end = self.silence_limit.map(|silence| Instant::now() + silence);
        loop {
            let unsent = caller.unsent();
            let reads = should_read_stream(unsent, buffer, self.memory.pressure());
            if self.note_pause(!reads, unsent) {
                *waiting_since = reads.then(Instant::now);
            }
            let stall_end = self.stalled_since + MAX_STALL;
            tokio::select! {
                biased;
                () = self.entry.wait_for_abort() => return Err(self.give_up(unsent, MEMORY_FULL)),
                sent = caller.send_some(), if unsent > 0 => {
                    sent?;
                    self.note_sent(caller);
                }
                chunk = response.next_chunk(), if reads => {
                    return Ok(match chunk {
                        Ok(Some(chunk)) => FlowStep::Chunk(chunk),
                        Ok(None) => FlowStep::End,
                        Err(broken) => FlowStep::Broken(broken.to_string()),
                    });
                }
                () = sleep_until_some(silence_end), if reads && silence_end.is_some() => {
                    return Ok(FlowStep::Silent);
                }
                () = tokio::time::sleep_until(stall_end.into()), if !reads => {
                    match after_stall(self.stalled_since.elapsed(), self.is_resumable) {
                        StallStep::Wait => {}
                        StallStep::ReleaseWorker => {
                            self.log(unsent, "worker released: the caller is not reading");
                            return Ok(FlowStep::ReleaseWorker);
                        }
                        StallStep::GiveUp => return Err(self.give_up(unsent, STALLED)),
                    }
                }
            }
        }
    }

    /// Sends all buffered data to the caller.
    pub(super) async fn drain(&mut self, caller: &mut Caller<'_>) -> Result<(), CallError> {
        while caller.unsent() > 0 {
            let unsent = caller.unsent();
            tokio::select! {
                biased;
                () = self.entry.wait_for_abort() => return Err(self.give_up(unsent, MEMORY_FULL)),
                sent = caller.send_some() => {
                    sent?;
                    self.note_sent(caller);
                }
            }
        }
        Ok(())
    }

    fn note_sent(&mut self, caller: &Caller<'_>) {
        self.stalled_since = Instant::now();
        self.entry.note(caller.unsent(), self.stalled_since);
    }

    /// Records whether reading from the worker is paused; returns whether that has changed.
    fn note_pause(&mut self, is_paused: bool, unsent: usize) -> bool {
        let has_changed = is_paused != self.is_paused;
        self.is_paused = is_paused;
        if has_changed && is_paused {
            self.gateway.metrics.streams_paused.inc();
            self.log(
                unsent,
                "reading from the worker paused until the caller reads",
            );
        }
        has_changed
    }

    fn give_up(&self, unsent: usize, reason: &'static str) -> CallError {
        let label = StalledCallerLabel { reason };
        self.gateway
            .metrics
            .callers_given_up
            .get_or_create(&label)
            .inc();
        self.log(unsent, reason);
        CallError::Aborted(reason)
    }

    fn log(&self, unsent: usize, decision: &str) {
        log::info!(
            request = self.request, unsent = unsent, held = self.memory.held(),
            pressure:? = self.memory.pressure();
            "{decision}"
        );
    }
}

async fn sleep_until_some(end: Option<Instant>) {
    match end {
        Some(end) => tokio::time::sleep_until(end.into()).await,
        None => std::future::pending().await,
    }
}

/// Reason for ending a stream under memory pressure.
const MEMORY_FULL: &str = "memory is full and the caller reads nothing";

/// Reason for ending a stalled stream.
const STALLED: &str = "the caller reads nothing and its worker waits";
