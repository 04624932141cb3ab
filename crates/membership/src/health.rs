//! What a node thinks of its own health, so that it does not take its own trouble for that of
//! others.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Longest a probe timeout is stretched, as a multiple.
const MAX_SCORE: u32 = 3;

/// A gap between ticks of this many probe intervals means that the process was paused.
const PAUSE_INTERVALS: u32 = 4;

/// Health of this node as seen from its own ticks and probes.
#[derive(Debug, Default)]
pub struct LocalHealth {
    score: u32,
    last_tick: Option<Timestamp>,
    refraining: bool,
}

impl LocalHealth {
    /// Notes a tick; returns whether the process was paused before it.
    pub fn note_tick(&mut self, now: Timestamp, probe_interval: Duration) -> bool {
        let paused = self
            .last_tick
            .is_some_and(|last| now.since(last) > probe_interval * PAUSE_INTERVALS);
        self.last_tick = Some(now);
        self.refraining |= paused;
        paused
    }

    /// Notes an answer to a probe that was sent since the last pause.
    pub fn note_answer(&mut self) {
        self.refraining = false;
        self.score = self.score.saturating_sub(1);
    }

    /// Notes a probe that went unanswered.
    pub fn note_silence(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Whether this node may declare others suspect or dead: not between a pause and the next answer.
    pub fn may_accuse(&self) -> bool {
        !self.refraining
    }

    /// A probe timeout stretched by the trouble that this node has had lately.
    pub fn stretch(&self, timeout: Duration) -> Duration {
        timeout * (1 + self.score)
    }
}
