//! The answer of an open call as it arrives.

use elderworks_protocol::sidecar::{Chunk, Delivered};
use elderworks_types::{Attempt, CallId};

/// Chunks of an answer, kept until the call has ended so that a caller that returns misses none.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuffer {
    /// Text that was delivered before this buffer began.
    base_text: String,
    /// How many chunks that text came in.
    base_chunks: u32,
    /// The chunks that followed, with the attempt that each is of.
    chunks: Vec<(Attempt, String)>,
}

/// What became of an arriving chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkOrder {
    /// It is the next one.
    Next,
    /// It was there already.
    Repeated,
    /// Others before it are missing.
    Gap,
}

impl AnswerBuffer {
    /// An answer that continues text delivered before.
    pub fn continuing(text: String, chunks: u32) -> Self {
        Self {
            base_text: text,
            base_chunks: chunks,
            chunks: Vec::new(),
        }
    }

    /// Number of chunks so far, and so the number of the next.
    pub fn next_index(&self) -> u32 {
        self.base_chunks + self.chunks.len() as u32
    }

    /// All of the text so far.
    pub fn text(&self) -> String {
        let mut text = self.base_text.clone();
        for (_, chunk) in &self.chunks {
            text.push_str(chunk);
        }
        text
    }

    /// Takes an arriving chunk.
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

    /// The chunks from `index` on that are still held.
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

    /// The number of the first chunk that a caller holding `delivered` still needs; `None` if the
    /// chunks held here could not be joined to what it holds.
    ///
    /// `current` is the attempt that is out. A caller that holds chunks of an earlier attempt,
    /// which this answer does not continue, gets the answer from its start: it compares the
    /// repetition with what it has.
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
