//! Buffer for the answer of an open call.

use elderworks_protocol::sidecar::{Chunk, Delivered};
use elderworks_types::{Attempt, CallId};

/// Chunks of an answer, kept until the call has ended so that a reconnecting caller gets all of
/// them.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuffer {
    /// Text that was delivered before this buffer was created.
    base_text: String,
    /// Number of chunks in which that text was delivered.
    base_chunks: u32,
    /// The chunks after that text, each with its attempt.
    chunks: Vec<(Attempt, String)>,
}

/// Position of an arriving chunk relative to the buffered ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkOrder {
    /// The next chunk.
    Next,
    /// A chunk that was received before.
    Repeated,
    /// A chunk after a gap.
    Gap,
}

impl AnswerBuffer {
    /// Creates a buffer for an answer that continues text delivered before.
    pub fn continuing(text: String, chunks: u32) -> Self {
        Self {
            base_text: text,
            base_chunks: chunks,
            chunks: Vec::new(),
        }
    }

    /// Returns the index of the next chunk.
    pub fn next_index(&self) -> u32 {
        self.base_chunks + self.chunks.len() as u32
    }

    /// Returns all text so far.
    pub fn text(&self) -> String {
        let mut text = self.base_text.clone();
        for (_, chunk) in &self.chunks {
            text.push_str(chunk);
        }
        text
    }

    /// Adds an arriving chunk if it is the next one.
    pub fn take(&mut self, attempt: Attempt, index: u32, text: &str) -> ChunkOrder {
        let expected = self.next_index();
        if index < expected {
            return ChunkOrder::Repeated;
        }
        if index > expected {
            return ChunkOrder::Gap;
        }
        self.chunks.push((attempt, text.to_owned()));
        ChunkOrder::Next
    }

    /// Returns the buffered chunks from `index` on.
    pub fn chunks_from(&self, call: CallId, index: u32) -> Vec<Chunk> {
        let skipped = index.saturating_sub(self.base_chunks) as usize;
        self.chunks
            .iter()
            .enumerate()
            .skip(skipped)
            .map(|(position, (attempt, text))| Chunk {
                call,
                attempt: *attempt,
                index: self.base_chunks + position as u32,
                text: text.clone(),
            })
            .collect()
    }

    /// Returns the index of the first chunk to send to a caller that has already received
    /// `delivered`, or `None` if the buffered chunks can't be joined to `delivered`.
    ///
    /// `current` is the running attempt. A caller with chunks of an earlier attempt that this
    /// answer does not continue gets the answer from its start, and compares it with the text that
    /// it has.
    pub fn resume_index(&self, delivered: &Delivered, current: Option<Attempt>) -> Option<u32> {
        let from_start = (self.base_chunks == 0).then_some(0);
        if delivered.chunks == 0 {
            return from_start;
        }
        let text = self.text();
        let is_held = delivered.chunks <= self.next_index() && text.starts_with(&delivered.text);
        if is_held && delivered.chunks >= self.base_chunks {
            return Some(delivered.chunks);
        }
        let is_ahead = delivered.chunks > self.next_index() && delivered.text.starts_with(&text);
        if is_ahead && delivered.attempt == current {
            return Some(delivered.chunks);
        }
        let first_attempt = self.chunks.first().map(|(attempt, _)| *attempt);
        let repeats = first_attempt.or(current) > delivered.attempt;
        from_start.filter(|_| repeats)
    }
}
