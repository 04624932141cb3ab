//! Bookkeeping of the HTTP layer per request: its readers, and the metadata for answers in the
//! OpenAI format.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_engine_model::{Request, RequestId, Work};
use elderworks_platform_api::engine::FinishReason;
use elderworks_types::text::token_count;
use elderworks_types::{ModelName, RunId, Timestamp, Tokens};
use tokio::sync::watch;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Request metadata that every part of its answer repeats.
#[derive(Clone, Debug)]
pub(super) struct RequestInfo {
    pub(super) model: ModelName,
    pub(super) first_chunk: u32,
    created: Timestamp,
    /// Maximum number of tokens to generate, without the text that the request continues.
    max_generated: Tokens,
}

impl RequestInfo {
    pub(super) fn new(now: Timestamp, request: &Request) -> Self {
        let continued = match &request.work {
            Work::Text { continue_text, .. } => token_count(continue_text),
            Work::Synthetic { .. } => Tokens::ZERO,
        };
        Self {
            model: request.model.clone(),
            first_chunk: request.first_chunk,
            created: now,
            max_generated: request.max_output.saturating_sub(continued),
        }
    }

    /// Returns the creation time in seconds since the Unix epoch.
    pub(super) fn created_seconds(&self) -> u64 {
        self.created.0 / MICROS_PER_SECOND
    }

    /// Returns the finish reason of an answer of `output` tokens.
    pub(super) fn finish_reason(&self, output: Tokens) -> FinishReason {
        if output >= self.max_generated {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }
}

struct Entry {
    run: RunId,
    info: RequestInfo,
    /// Signals new chunks and completion.
    progress: watch::Sender<()>,
    is_complete: bool,
    readers: usize,
    /// Time of insertion, or at which the last reader was removed.
    unread_since: Timestamp,
}

/// Waiting, running and completed requests.
#[derive(Default)]
pub(super) struct Requests {
    entries: BTreeMap<RequestId, Entry>,
}

impl Requests {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a request without readers.
    pub(super) fn insert(&mut self, now: Timestamp, id: RequestId, run: RunId, info: RequestInfo) {
        let entry = Entry {
            run,
            info,
            progress: watch::Sender::new(()),
            is_complete: false,
            readers: 0,
            unread_since: now,
        };
        self.entries.insert(id, entry);
    }

    /// Registers a reader of an answer; returns `None` if the request is unknown. The returned
    /// signal closes when the request is removed.
    pub(super) fn add_reader(
        &mut self,
        id: &RequestId,
    ) -> Option<(RequestInfo, watch::Receiver<()>)> {
        let entry = self.entries.get_mut(id)?;
        entry.readers += 1;
        Some((entry.info.clone(), entry.progress.subscribe()))
    }

    /// Unregisters a reader.
    pub(super) fn remove_reader(&mut self, now: Timestamp, id: &RequestId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.readers = entry.readers.saturating_sub(1);
            entry.unread_since = now;
        }
    }

    /// Wakes the readers of an answer that has new chunks.
    pub(super) fn notify_progress(&mut self, id: &RequestId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.progress.send_replace(());
        }
    }

    /// Marks an answer as complete and wakes its readers.
    pub(super) fn complete(&mut self, id: &RequestId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.is_complete = true;
            entry.progress.send_replace(());
        }
    }

    pub(super) fn remove(&mut self, id: &RequestId) {
        self.entries.remove(id);
    }

    /// Removes the requests for which `is_known` returns false.
    pub(super) fn retain(&mut self, is_known: impl Fn(&RequestId) -> bool) {
        self.entries.retain(|id, _| is_known(id));
    }

    /// Returns the waiting and running requests of a run.
    pub(super) fn open_requests_of(&self, run: RunId) -> Vec<RequestId> {
        self.open_where(|entry| entry.run == run)
    }

    /// Returns the waiting and running requests that have had no reader for `grace`.
    pub(super) fn abandoned(&self, now: Timestamp, grace: Duration) -> Vec<RequestId> {
        self.open_where(|entry| entry.readers == 0 && entry.unread_since + grace <= now)
    }

    fn open_where(&self, matches: impl Fn(&Entry) -> bool) -> Vec<RequestId> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.is_complete && matches(entry))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
