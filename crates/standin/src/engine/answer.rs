//! Delivery of generated answers to HTTP clients, streamed or complete.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use elderworks_engine_model::{Completion, NumberedChunk, RequestId, Resumed};
use elderworks_platform_api::engine::{
    ChatChunk, ChatCompletion, ChatUsage, ChunkChoice, CompletionChoice, DONE_MARKER, Delta,
};
use elderworks_types::{Message, Role};
use futures_util::Stream;
use futures_util::stream::unfold;
use tokio::sync::watch;

use super::requests::RequestInfo;
use super::state::EngineService;
use crate::clock::now;
use crate::shared::Shared;

/// Reads one request's answer, starting at a given chunk.
///
/// The request does not count as abandoned while a reader exists.
pub(super) struct AnswerReader {
    service: Arc<Shared<EngineService>>,
    progress: watch::Receiver<()>,
    id: RequestId,
    info: RequestInfo,
    /// Index of the next chunk to read.
    next: u32,
}

impl AnswerReader {
    /// Creates a reader that starts at chunk `next`, or returns `None` if the request is unknown.
    pub(super) fn new(
        service: &Arc<Shared<EngineService>>,
        id: RequestId,
        next: u32,
    ) -> Option<Self> {
        let (info, progress) = service.lock().requests().add_reader(&id)?;
        Some(Self {
            service: service.clone(),
            progress,
            id,
            info,
            next,
        })
    }

    /// Converts the reader into a stream of server-sent events.
    pub(super) fn into_events(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        unfold(Some(self), |reader| async move {
            let mut reader = reader?;
            let update = reader.next_update().await?;
            let events = reader.encode(&update);
            let reader = update.completion.is_none().then_some(reader);
            Some((Ok(events), reader))
        })
    }

    /// Waits for the complete answer; returns `None` if the request is cancelled.
    pub(super) async fn into_completion(mut self) -> Option<ChatCompletion> {
        let mut content = String::new();
        loop {
            let update = self.next_update().await?;
            content.extend(update.chunks.iter().map(|chunk| chunk.text.as_str()));
            if let Some(completion) = update.completion {
                return Some(self.completion(content, &completion));
            }
        }
    }

    /// Waits for new chunks or for completion; returns `None` once the request is unknown.
    async fn next_update(&mut self) -> Option<Resumed> {
        loop {
            let update = self.service.lock().resume(&self.id, self.next)?;
            if let Some(last) = update.chunks.last() {
                self.next = last.index + 1;
            }
            if !update.chunks.is_empty() || update.completion.is_some() {
                return Some(update);
            }
            self.progress.changed().await.ok()?;
        }
    }

    fn encode(&self, update: &Resumed) -> Bytes {
        let mut events = String::new();
        for chunk in &update.chunks {
            push_event(&mut events, chunk.index, &self.text_chunk(chunk));
        }
        if let Some(completion) = &update.completion {
            push_event(&mut events, self.next, &self.last_chunk(completion));
            events.push_str(&format!("data: {DONE_MARKER}\n\n"));
        }
        Bytes::from(events)
    }

    fn text_chunk(&self, chunk: &NumberedChunk) -> ChatChunk {
        let is_first = chunk.index == self.info.first_chunk;
        let delta = Delta {
            role: is_first.then_some(Role::Assistant),
            content: Some(chunk.text.clone()),
        };
        self.chunk(ChunkChoice {
            index: 0,
            delta,
            finish_reason: None,
        })
    }

    fn last_chunk(&self, completion: &Completion) -> ChatChunk {
        let choice = ChunkChoice {
            index: 0,
            delta: Delta::default(),
            finish_reason: Some(self.info.finish_reason(completion.usage.output)),
        };
        ChatChunk {
            usage: Some(ChatUsage::from(completion.usage)),
            ..self.chunk(choice)
        }
    }

    fn chunk(&self, choice: ChunkChoice) -> ChatChunk {
        ChatChunk {
            id: self.id.to_string(),
            object: ChatChunk::OBJECT.to_owned(),
            created: self.info.created_seconds(),
            model: self.info.model.clone(),
            choices: vec![choice],
            usage: None,
        }
    }

    fn completion(&self, content: String, completion: &Completion) -> ChatCompletion {
        let choice = CompletionChoice {
            index: 0,
            message: Message::new(Role::Assistant, content),
            finish_reason: self.info.finish_reason(completion.usage.output),
        };
        ChatCompletion {
            id: self.id.to_string(),
            object: ChatCompletion::OBJECT.to_owned(),
            created: self.info.created_seconds(),
            model: self.info.model.clone(),
            choices: vec![choice],
            usage: ChatUsage::from(completion.usage),
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        let mut state = self.service.lock();
        state.requests().remove_reader(now(), &self.id);
    }
}

fn push_event(events: &mut String, index: u32, chunk: &ChatChunk) {
    // Encoding cannot fail: all map keys of the wire types are valid in JSON.
    let data = serde_json::to_string(chunk).expect("wire types encode as JSON");
    events.push_str(&format!("id: {index}\ndata: {data}\n\n"));
}
