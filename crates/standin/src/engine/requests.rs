//! What the engine's front keeps of each request: who reads its answer, and how to answer in the
//! OpenAI form.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_engine_model::{Request, RequestId, Work};
use elderworks_platform_api::engine::FinishReason;
use elderworks_types::text::token_count;
use elderworks_types::{ModelName, RunId, Timestamp, Tokens};
use tokio::sync::watch;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// What of a request goes into each piece of its answer.
#[derive(Clone, Debug)]
pub(super) struct RequestInfo {
    pub(super) model: ModelName,
    pub(super) first_chunk: u32,
    created: Timestamp,
    /// Most tokens that it may generate itself.
    limit: Tokens,
}

impl RequestInfo {
    pub(super) fn of(now: Timestamp, request: &Request) -> Self {
        let continued = match &request.work {
            Work::Text { continue_text, .. } => token_count(continue_text),
            Work::Synthetic { .. } => Tokens::ZERO,
        };
        Self {
            model: request.model.clone(),
            first_chunk: request.first_chunk,
            created: now,
            limit: request.max_output.saturating_sub(continued),
        }
    }

    /// Seconds since the Unix epoch.
    pub(super) fn created_seconds(&self) -> u64 {
        self.created.0 / MICROS_PER_SECOND
    }

    /// Why an answer of this length ended.
    pub(super) fn finish_reason(&self, output: Tokens) -> FinishReason {
        if output >= self.limit {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }
}

struct Entry {
    run: RunId,
    info: RequestInfo,
    /// Signals more of the answer, and its end.
    progress: watch::Sender<()>,
    ended: bool,
    readers: usize,
    /// Since when nobody reads it.
    unread_since: Timestamp,
}

/// Requests that wait, run or have ended.
#[derive(Default)]
pub(super) struct Requests {
    entries: BTreeMap<RequestId, Entry>,
}

impl Requests {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a request that nobody reads yet.
    pub(super) fn insert(&mut self, now: Timestamp, id: RequestId, run: RunId, info: RequestInfo) {
        let entry = Entry {
            run,
            info,
            progress: watch::Sender::new(()),
            ended: false,
            readers: 0,
            unread_since: now,
        };
        self.entries.insert(id, entry);
    }

    /// Someone begins to read an answer. The signal closes once the request is forgotten.
    pub(super) fn add_reader(
        &mut self,
        id: &RequestId,
    ) -> Option<(RequestInfo, watch::Receiver<()>)> {
        let entry = self.entries.get_mut(id)?;
        entry.readers += 1;
        Some((entry.info.clone(), entry.progress.subscribe()))
    }

    /// Someone no longer reads an answer.
    pub(super) fn remove_reader(&mut self, now: Timestamp, id: &RequestId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.readers = entry.readers.saturating_sub(1);
            entry.unread_since = now;
        }
    }

    /// There is more of an answer.
    pub(super) fn progressed(&mut self, id: &RequestId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.progress.send_replace(());
        }
    }

    /// An answer is whole.
    pub(super) fn ended(&mut self, id: &RequestId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.ended = true;
            entry.progress.send_replace(());
        }
    }

    /// A request is no longer known.
    pub(super) fn forget(&mut self, id: &RequestId) {
        self.entries.remove(id);
    }

    /// Forgets all but those that are still known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&RequestId) -> bool) {
        self.entries.retain(|id, _| is_known(id));
    }

    /// Requests of a run that wait or run.
    pub(super) fn open_of(&self, run: RunId) -> Vec<RequestId> {
        self.open_where(|entry| entry.run == run)
    }

    /// Requests that wait or run and that nobody has read for `grace`.
    pub(super) fn abandoned(&self, now: Timestamp, grace: Duration) -> Vec<RequestId> {
        self.open_where(|entry| entry.readers == 0 && entry.unread_since + grace <= now)
    }

    fn open_where(&self, matches: impl Fn(&Entry) -> bool) -> Vec<RequestId> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.ended && matches(entry))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
