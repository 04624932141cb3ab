//! Decoder of streamed answers (server-sent events).

use super::{ClientError, decode_error, parse};
use crate::wire::{AnswerChunk, CompletedCall};

/// Separator of server-sent events.
const END_OF_EVENT: &[u8] = b"\n\n";

/// An event of a streamed answer before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEvent<'a> {
    /// The next part of the text.
    Chunk(&'a str),
    /// The answer starts over; the text received so far must be discarded.
    Restarted,
}

/// An incremental decoder of one streamed response.
#[derive(Debug, Default)]
pub struct AnswerReader {
    buffer: Vec<u8>,
    completed: Option<CompletedCall>,
}

impl AnswerReader {
    /// Processes the next bytes of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if an event can't be decoded or reports an error.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        on_event: &mut impl FnMut(AnswerEvent<'_>),
    ) -> Result<(), ClientError> {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.end_of_event() {
            let event: Vec<u8> = self.buffer.drain(..end).collect();
            self.handle_event(&String::from_utf8_lossy(&event), on_event)?;
        }
        Ok(())
    }

    fn end_of_event(&self) -> Option<usize> {
        let windows = self.buffer.windows(END_OF_EVENT.len());
        let start = windows
            .into_iter()
            .position(|window| window == END_OF_EVENT)?;
        Some(start + END_OF_EVENT.len())
    }

    fn handle_event(
        &mut self,
        event: &str,
        on_event: &mut impl FnMut(AnswerEvent<'_>),
    ) -> Result<(), ClientError> {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data: ").unwrap_or_default().as_bytes();
        match field("event: ") {
            Some("chunk") => {
                let chunk: AnswerChunk = parse(data)?;
                on_event(AnswerEvent::Chunk(&chunk.text));
            }
            Some("restarted") => on_event(AnswerEvent::Restarted),
            Some("completed") => self.completed = Some(parse(data)?),
            Some("error") => return Err(decode_error(data)),
            _ => {}
        }
        Ok(())
    }

    /// Returns the full answer after the end of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the response ended before the answer was complete.
    pub fn finish(self) -> Result<CompletedCall, ClientError> {
        self.completed.ok_or(ClientError::Truncated)
    }
}
