//! How much of one answer has been passed on to its callers.

use elderworks_protocol::sidecar::{Chunk, Delivered};
use elderworks_types::Attempt;

/// The passed-on part of an answer. Chunks are taken in order only; chunks of a later attempt
/// either continue the text (their numbers go on) or repeat it from the start, in which case the
/// repetition is compared with what was passed on and skipped.
#[derive(Debug, Default)]
pub struct Delivery {
    attempt: Option<Attempt>,
    chunks: u32,
    text: String,
    /// Bytes of `text` that the present attempt has produced or repeated.
    repeated: usize,
    /// Whether the present attempt says something else than `text`.
    diverged: bool,
}

/// What remains to be passed on when the whole answer is known.
#[derive(Debug, PartialEq, Eq)]
pub enum Ending {
    /// The rest of the text, possibly empty.
    Tail(String),
    /// The answer does not begin with what was passed on.
    Restarted,
}

impl Delivery {
    /// The text passed on so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Whether any chunk was ever taken, which shows that the call ran.
    pub fn has_begun(&self) -> bool {
        self.attempt.is_some()
    }

    /// Takes a chunk; returns the text to be passed on, if it adds any.
    pub fn accept(&mut self, chunk: &Chunk) -> Option<String> {
        if !self.enter(chunk) {
            return None;
        }
        self.attempt = Some(chunk.attempt);
        self.chunks += 1;
        if self.diverged {
            return None;
        }
        self.extend(&chunk.text)
    }

    /// Whether the chunk is the next one, of this attempt or of a later one.
    fn enter(&mut self, chunk: &Chunk) -> bool {
        if self.attempt.is_some_and(|current| chunk.attempt < current) {
            return false;
        }
        if chunk.index == self.chunks {
            return true;
        }
        let is_repetition = chunk.index == 0 && self.attempt != Some(chunk.attempt);
        if is_repetition {
            self.chunks = 0;
            self.repeated = 0;
            self.diverged = false;
        }
        is_repetition
    }

    fn extend(&mut self, piece: &str) -> Option<String> {
        let known = &self.text[self.repeated..];
        if known.starts_with(piece) {
            self.repeated += piece.len();
            return None;
        }
        let Some(added) = piece.strip_prefix(known) else {
            self.diverged = true;
            return None;
        };
        let added = added.to_owned();
        self.text.push_str(&added);
        self.repeated = self.text.len();
        Some(added)
    }

    /// What a node is told of the progress, so that it can go on from there.
    pub fn progress(&self) -> Delivered {
        if self.diverged {
            return Delivered::default();
        }
        Delivered {
            attempt: self.attempt,
            chunks: self.chunks,
            text: self.text[..self.repeated].to_owned(),
        }
    }

    /// What is left to pass on of the whole answer.
    pub fn ending(&self, content: &str) -> Ending {
        match content.strip_prefix(self.text.as_str()) {
            Some(tail) => Ending::Tail(tail.to_owned()),
            None => Ending::Restarted,
        }
    }
}
