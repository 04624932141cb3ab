//! Assembly of an answer's text from the chunks of one or more attempts.

use elderworks_protocol::sidecar::{Chunk, Delivered};
use elderworks_types::Attempt;

/// The part of an answer that has been delivered to callers.
///
/// Chunks are accepted only in order. A later attempt either continues the text at the next chunk
/// index or starts over at index 0; in the latter case its text is compared with the delivered
/// text, and only what exceeds it is delivered.
#[derive(Debug, Default)]
pub struct Delivery {
    attempt: Option<Attempt>,
    chunks: u32,
    text: String,
    /// Length in bytes of the prefix of `text` that the current attempt has produced.
    matched_bytes: usize,
    /// Whether the current attempt's text differs from `text`.
    diverged: bool,
}

/// What remains to be delivered once the full answer is known.
#[derive(Debug, PartialEq, Eq)]
pub enum Remainder {
    /// The undelivered rest of the text, possibly empty.
    Tail(String),
    /// The answer does not start with the delivered text.
    Mismatch,
}

impl Delivery {
    /// Returns the text delivered so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns whether any chunk was accepted, which proves that the call has run.
    pub fn has_received_chunks(&self) -> bool {
        self.attempt.is_some()
    }

    /// Accepts a chunk and returns the text that it adds, if any.
    pub fn accept(&mut self, chunk: &Chunk) -> Option<String> {
        if !self.start_chunk(chunk) {
            return None;
        }
        self.attempt = Some(chunk.attempt);
        self.chunks += 1;
        if self.diverged {
            return None;
        }
        self.extend(&chunk.text)
    }

    /// Returns whether the chunk is the next expected one. Resets the progress if a later attempt
    /// starts over.
    fn start_chunk(&mut self, chunk: &Chunk) -> bool {
        if self.attempt.is_some_and(|current| chunk.attempt < current) {
            return false;
        }
        if chunk.index == self.chunks {
            return true;
        }
        let is_repetition = chunk.index == 0 && self.attempt != Some(chunk.attempt);
        if is_repetition {
            self.chunks = 0;
            self.matched_bytes = 0;
            self.diverged = false;
        }
        is_repetition
    }

    fn extend(&mut self, chunk_text: &str) -> Option<String> {
        let known = &self.text[self.matched_bytes..];
        if known.starts_with(chunk_text) {
            self.matched_bytes += chunk_text.len();
            return None;
        }
        let Some(added) = chunk_text.strip_prefix(known) else {
            self.diverged = true;
            return None;
        };
        let added = added.to_owned();
        self.text.push_str(&added);
        self.matched_bytes = self.text.len();
        Some(added)
    }

    /// Returns the progress to report to a node, from which it can resume the answer.
    pub fn progress(&self) -> Delivered {
        if self.diverged {
            return Delivered::default();
        }
        Delivered {
            attempt: self.attempt,
            chunks: self.chunks,
            text: self.text[..self.matched_bytes].to_owned(),
        }
    }

    /// Returns what remains to be delivered of the full answer `content`.
    pub fn remainder(&self, content: &str) -> Remainder {
        match content.strip_prefix(self.text.as_str()) {
            Some(tail) => Remainder::Tail(tail.to_owned()),
            None => Remainder::Mismatch,
        }
    }
}
