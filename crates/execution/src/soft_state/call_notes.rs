//! What `explain` shows beyond the journal.

use std::collections::{BTreeMap, VecDeque};

use elderworks_protocol::sidecar::AttemptView;
use elderworks_types::{Attempt, CallId, EngineId, Timestamp};

/// Most lines kept of one call.
const MAX_NOTES_PER_CALL: usize = 24;

/// Notes on recent calls; the oldest are dropped first.
#[derive(Debug)]
pub(crate) struct CallNoteStore {
    limit: usize,
    calls: BTreeMap<CallId, CallNotes>,
    order: VecDeque<CallId>,
}

/// Notes on one call.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallNotes {
    /// When it arrived.
    pub received: Timestamp,
    /// When it ended.
    pub ended: Option<Timestamp>,
    /// Its attempts.
    pub attempts: Vec<AttemptView>,
    /// One line for each wait and decision.
    pub lines: Vec<String>,
}

impl CallNoteStore {
    /// A notebook for this many calls.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            calls: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Begins the notes of a call.
    pub fn start(&mut self, call: CallId, received: Timestamp) {
        let notes = self.entry(call);
        notes.received = received;
    }

    /// Adds a line.
    pub fn add_line(&mut self, call: CallId, line: impl Into<String>) {
        let notes = self.entry(call);
        if notes.lines.len() < MAX_NOTES_PER_CALL {
            notes.lines.push(line.into());
        }
    }

    /// An attempt was sent.
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

    /// A chunk of an attempt arrived.
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

    /// The call ended.
    pub fn record_end(&mut self, call: CallId, now: Timestamp) {
        self.entry(call).ended = Some(now);
    }

    /// The notes of a call, if they are still kept.
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
