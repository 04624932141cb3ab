//! Reading a streamed answer.

use super::{ClientError, error_of, parse};
use crate::wire::{CompletedCall, Piece};

const END_OF_EVENT: &[u8] = b"\n\n";

/// What a stream says before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEvent<'a> {
    /// The next piece of text.
    Chunk(&'a str),
    /// The pieces so far are void.
    Restarted,
}

/// Turns the bytes of one response into events.
#[derive(Debug, Default)]
pub struct AnswerReader {
    buffer: Vec<u8>,
    completed: Option<CompletedCall>,
}

impl AnswerReader {
    /// Takes the next bytes of the response.
    pub fn take(
        &mut self,
        bytes: &[u8],
        on_event: &mut impl FnMut(AnswerEvent<'_>),
    ) -> Result<(), ClientError> {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.end_of_event() {
            let event: Vec<u8> = self.buffer.drain(..end).collect();
            self.event(&String::from_utf8_lossy(&event), on_event)?;
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

    fn event(
        &mut self,
        event: &str,
        on_event: &mut impl FnMut(AnswerEvent<'_>),
    ) -> Result<(), ClientError> {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data: ").unwrap_or_default().as_bytes();
        match field("event: ") {
            Some("chunk") => {
                let piece: Piece = parse(data)?;
                on_event(AnswerEvent::Chunk(&piece.text));
            }
            Some("restarted") => on_event(AnswerEvent::Restarted),
            Some("completed") => self.completed = Some(parse(data)?),
            Some("error") => return Err(error_of(data)),
            _ => {}
        }
        Ok(())
    }

    /// The whole answer, once the response has ended.
    pub fn finish(self) -> Result<CompletedCall, ClientError> {
        self.completed.ok_or(ClientError::CutOff)
    }
}
