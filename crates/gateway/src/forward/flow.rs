//! The way of a stream between a worker that may send fast and a caller that may read slowly.
//!
//! The worker is read ahead of the caller as far as the stream's buffer goes, so that most answers
//! free their worker whatever their caller does; beyond it, the worker waits. Thresholds are
//! `elderworks_gateway_core::pressure`'s.

use std::time::{Duration, Instant};

use bytes::Bytes;
use elderworks_gateway_core::pressure::{MAX_STALL, StallStep, after_stall, should_read_stream};

use super::CallError;
use crate::caller::Caller;
use crate::gateway::Gateway;
use crate::memory::{MemoryTracker, StreamRegistration};
use crate::metrics::StalledCallerLabel;
use crate::upstream::Answer;

/// What happens next to a stream.
pub(super) enum Step {
    /// More of it has come.
    Piece(Bytes),
    /// The worker has ended it.
    End,
    /// The worker's answer broke off.
    Broken(String),
    /// Nothing has come for a while.
    Silent,
    /// The worker is let go until the caller has read what is held for it.
    ReleaseWorker,
}

/// One stream's flow.
pub(super) struct Flow<'a> {
    gateway: &'a Gateway,
    memory: MemoryTracker,
    entry: StreamRegistration,
    request: &'a str,
    is_resumable: bool,
    /// Silence of the worker that is told, if any is.
    told_silence: Option<Duration>,
    /// When the caller last took bytes, or when there were first some to take.
    stalled_since: Instant,
    is_paused: bool,
}

impl<'a> Flow<'a> {
    /// A stream that begins.
    pub(super) fn new(
        gateway: &'a Gateway,
        request: &'a str,
        is_resumable: bool,
        told_silence: Option<Duration>,
    ) -> Self {
        let memory = gateway.memory.clone();
        Self {
            entry: memory.register_stream(),
            memory,
            gateway,
            request,
            is_resumable,
            told_silence,
            stalled_since: Instant::now(),
            is_paused: false,
        }
    }

    /// Encodes a piece for the caller.
    pub(super) fn push(&mut self, caller: &mut Caller<'_>, piece: Bytes) -> Result<(), CallError> {
        if caller.unsent() == 0 {
            self.stalled_since = Instant::now();
        }
        caller.push_piece(piece)?;
        self.entry.note(caller.unsent(), self.stalled_since);
        Ok(())
    }

    /// Sends what the caller takes until there is something to do. `waiting_since` is since when
    /// the worker is silent: never while it is not read from.
    pub(super) async fn next(
        &mut self,
        caller: &mut Caller<'_>,
        answer: &mut Answer,
        waiting_since: &mut Option<Instant>,
    ) -> Result<Step, CallError> {
        let buffer = self.gateway.settings.policy.stream_buffer_bytes;
        let silence_end = self.told_silence.map(|silence| Instant::now() + silence);
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
                    self.note_taken(caller);
                }
                piece = answer.next_piece(), if reads => {
                    return Ok(match piece {
                        Ok(Some(piece)) => Step::Piece(piece),
                        Ok(None) => Step::End,
                        Err(broken) => Step::Broken(broken.to_string()),
                    });
                }
                () = sleep_until_some(silence_end), if reads && silence_end.is_some() => {
                    return Ok(Step::Silent);
                }
                () = tokio::time::sleep_until(stall_end.into()), if !reads => {
                    match after_stall(self.stalled_since.elapsed(), self.is_resumable) {
                        StallStep::Wait => {}
                        StallStep::ReleaseWorker => {
                            self.log(unsent, "the worker is let go: the caller reads nothing");
                            return Ok(Step::ReleaseWorker);
                        }
                        StallStep::GiveUp => return Err(self.give_up(unsent, STALLED)),
                    }
                }
            }
        }
    }

    /// Sends the caller everything that is held for it.
    pub(super) async fn drain(&mut self, caller: &mut Caller<'_>) -> Result<(), CallError> {
        while caller.unsent() > 0 {
            let unsent = caller.unsent();
            tokio::select! {
                biased;
                () = self.entry.wait_for_abort() => return Err(self.give_up(unsent, MEMORY_FULL)),
                sent = caller.send_some() => {
                    sent?;
                    self.note_taken(caller);
                }
            }
        }
        Ok(())
    }

    fn note_taken(&mut self, caller: &Caller<'_>) {
        self.stalled_since = Instant::now();
        self.entry.note(caller.unsent(), self.stalled_since);
    }

    /// Notes whether the worker waits for the caller; tells whether that has changed.
    fn note_pause(&mut self, is_paused: bool, unsent: usize) -> bool {
        let has_changed = is_paused != self.is_paused;
        self.is_paused = is_paused;
        if has_changed && is_paused {
            self.gateway.metrics.streams_paused.inc();
            self.log(unsent, "the worker waits for the caller");
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
        CallError::Broken(reason)
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

/// Why a stream is ended although its worker goes on.
const MEMORY_FULL: &str = "memory is full and the caller reads nothing";

/// The same while there is memory.
const STALLED: &str = "the caller reads nothing and its worker waits";
