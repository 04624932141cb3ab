//! Notes on recent calls, shown by `explain` in addition to the journal.

use std::collections::{BTreeMap, VecDeque};

use elderworks_protocol::sidecar::AttemptView;
use elderworks_types::{Attempt, CallId, EngineId, Timestamp};

/// Maximum number of lines, and of attempts, kept per call.
const MAX_NOTES_PER_CALL: usize = 24;

/// Notes on recent calls; the oldest are removed first.
#[derive(Debug)]
pub(crate) struct CallNoteStore {
    limit: usize,
    calls: BTreeMap<CallId, CallNotes>,
    order: VecDeque<CallId>,
}

/// Notes on one call, shown by `explain`.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallNotes {
    /// Time of arrival.
    pub received: Timestamp,
    /// Time of the end.
    pub ended: Option<Timestamp>,
    /// Attempts sent, with their times.
    pub attempts: Vec<AttemptView>,
    /// Descriptions of waits and decisions, one per line.
    pub lines: Vec<String>,
}

impl CallNoteStore {
    /// Creates a store for at most `limit` calls.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            calls: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Creates the notes of a call.
    pub fn start(&mut self, call: CallId, received: Timestamp) {
        let notes = self.entry(call);
        notes.received = received;
    }

    /// Adds a line to the notes of a call.
    pub fn add_line(&mut self, call: CallId, line: impl Into<String>) {
        let notes = self.entry(call);
        if notes.lines.len() < MAX_NOTES_PER_CALL {
            notes.lines.push(line.into());
        }
    }

    /// Records that an attempt was sent.
    pub fn add_attempt(
        &mut self,
        call: CallId,
        attempt: Attempt,
        engine: Option<EngineId>,
        started: Timestamp,
    ) {
        let notes = self.entry(call);
        notes.attempts.retain(|view| view.attempt != attempt);
        if notes.attempts.len() < MAX_NOTES_PER_CALL {
            notes.attempts.push(AttemptView {
                attempt,
                engine,
                started,
                first_chunk: None,
            });
        }
    }

    /// Records the arrival of a chunk; only the time of an attempt's first chunk is kept.
    pub fn record_chunk(&mut self, call: CallId, attempt: Attempt, now: Timestamp) {
        let notes = self.entry(call);
        let view = notes
            .attempts
            .iter_mut()
            .find(|view| view.attempt == attempt);
        if let Some(view) = view {
            view.first_chunk.get_or_insert(now);
        }
    }

    /// Records the end of a call.
    pub fn record_end(&mut self, call: CallId, now: Timestamp) {
        self.entry(call).ended = Some(now);
    }

    /// Returns the notes of a call if they are still kept.
    pub fn get(&self, call: CallId) -> Option<&CallNotes> {
        self.calls.get(&call)
    }

    fn entry(&mut self, call: CallId) -> &mut CallNotes {
        if !self.calls.contains_key(&call) {
            self.order.push_back(call);
            if self.order.len() > self.limit
                && let Some(oldest) = self.order.pop_front()
            {
                self.calls.remove(&oldest);
            }
        }
        self.calls.entry(call).or_default()
    }
}
