//! Sent chunks of answers, kept so that clients can resume.

use std::collections::{BTreeMap, VecDeque};

use elderworks_types::text::BYTES_PER_TOKEN;

use crate::{Completion, NumberedChunk, RequestId, Resumed};

/// The answer of one request, and its chunks sent so far.
#[derive(Debug, Default)]
struct Stream {
    text: String,
    first_chunk: u32,
    sent_tokens: u64,
    chunks: Vec<NumberedChunk>,
    completion: Option<Completion>,
}

/// Answers of open and recently completed requests.
#[derive(Debug)]
pub(crate) struct Streams {
    streams: BTreeMap<RequestId, Stream>,
    completed: VecDeque<RequestId>,
    max_completed: usize,
    tokens_per_chunk: u64,
}

impl Streams {
    pub(crate) fn new(max_completed: usize, tokens_per_chunk: u64) -> Self {
        Self {
            streams: BTreeMap::new(),
            completed: VecDeque::new(),
            max_completed,
            tokens_per_chunk: tokens_per_chunk.max(1),
        }
    }

    pub(crate) fn contains(&self, id: &RequestId) -> bool {
        self.streams.contains_key(id)
    }

    pub(crate) fn open(&mut self, id: RequestId, first_chunk: u32, text: String) {
        let stream = Stream {
            text,
            first_chunk,
            ..Stream::default()
        };
        self.streams.insert(id, stream);
    }

    /// Returns the chunks that become complete with `generated` tokens. At the end of the answer, the
    /// last chunk can be shorter.
    pub(crate) fn advance(
        &mut self,
        id: &RequestId,
        generated: u64,
        is_complete: bool,
    ) -> Vec<NumberedChunk> {
        let Some(stream) = self.streams.get_mut(id) else {
            return Vec::new();
        };
        let mut fresh = Vec::new();
        while stream.sent_tokens < generated {
            let step = self.tokens_per_chunk.min(generated - stream.sent_tokens);
            if step < self.tokens_per_chunk && !is_complete {
                break;
            }
            fresh.push(stream.next_chunk(step));
        }
        fresh
    }

    /// Records the completion of a request, and drops the oldest completed ones beyond the limit.
    pub(crate) fn complete(&mut self, mut completion: Completion) -> Completion {
        if let Some(stream) = self.streams.get_mut(&completion.id) {
            completion.chunks = stream.chunks.len() as u32;
            stream.completion = Some(completion.clone());
            self.completed.push_back(completion.id.clone());
        }
        while self.completed.len() > self.max_completed {
            if let Some(oldest) = self.completed.pop_front() {
                self.streams.remove(&oldest);
            }
        }
        completion
    }

    /// Removes the answer of a request.
    pub(crate) fn remove(&mut self, id: &RequestId) {
        self.streams.remove(id);
        self.completed.retain(|completed| completed != id);
    }

    pub(crate) fn resume(&self, id: &RequestId, from_chunk: u32) -> Option<Resumed> {
        let stream = self.streams.get(id)?;
        let chunks = stream
            .chunks
            .iter()
            .filter(|chunk| chunk.index >= from_chunk)
            .cloned()
            .collect();
        Some(Resumed {
            chunks,
            completion: stream.completion.clone(),
        })
    }
}

impl Stream {
    fn next_chunk(&mut self, tokens: u64) -> NumberedChunk {
        let start = self.sent_tokens as usize * BYTES_PER_TOKEN;
        self.sent_tokens += tokens;
        let end = self.sent_tokens as usize * BYTES_PER_TOKEN;
        let end = end.min(self.text.len());
        let text = self.text.get(start..end).unwrap_or_default().to_owned();
        let chunk = NumberedChunk {
            index: self.first_chunk + self.chunks.len() as u32,
            text,
        };
        self.chunks.push(chunk.clone());
        chunk
    }
}
