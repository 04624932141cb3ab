//! The body of a response.

use bytes::{Bytes, BytesMut};

use super::ResponseError;
use super::chunked::{ChunkDecoder, ChunkPart};
use super::framing::Framing;

/// How a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The server closed its direction, after everything that it sent was received.
    Closed,
    /// The connection failed, at its receiving or at its sending side.
    Failed(String),
}

/// Result of decoding the bytes received so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// The next bytes of the body; not empty.
    Data(Bytes),
    /// The body is whole.
    End,
    /// More bytes are needed.
    Incomplete,
}

/// Decodes a body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Debug)]
enum State {
    /// This many bytes remain.
    Length(u64),
    Chunked(ChunkDecoder),
    UntilClose,
}

impl BodyDecoder {
    pub(super) fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty => State::Length(0),
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Chunked(ChunkDecoder::default()),
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Decodes and removes the next part at the start of `buf`.
    ///
    /// # Errors
    ///
    /// Fails if the bytes can't be a part of the body.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<BodyPart, ResponseError> {
        match &mut self.state {
            State::Length(0) => Ok(BodyPart::End),
            State::Length(_) | State::UntilClose if buf.is_empty() => Ok(BodyPart::Incomplete),
            State::Length(left) => Ok(BodyPart::Data(split_data(buf, left))),
            State::UntilClose => Ok(BodyPart::Data(buf.split().freeze())),
            State::Chunked(chunks) => Ok(match chunks.decode(buf)? {
                ChunkPart::Data(data) => BodyPart::Data(data),
                ChunkPart::End => BodyPart::End,
                ChunkPart::Incomplete => BodyPart::Incomplete,
            }),
        }
    }

    /// Returns whether nothing remains to be decoded, without regard to the end of the connection.
    pub fn is_whole(&self) -> bool {
        match &self.state {
            State::Length(left) => *left == 0,
            State::Chunked(chunks) => chunks.is_whole(),
            State::UntilClose => false,
        }
    }

    /// Returns the number of bytes that remain, if a length tells it.
    pub fn remaining(&self) -> Option<u64> {
        match &self.state {
            State::Length(left) => Some(*left),
            State::Chunked(_) | State::UntilClose => None,
        }
    }

    /// Returns whether only the end of the connection tells the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// Decides whether a body is whole whose connection ended after [`BodyPart::Incomplete`].
    ///
    /// # Errors
    ///
    /// Fails if it isn't.
    pub fn finish(&self, end: ConnectionEnd) -> Result<(), ResponseError> {
        match end {
            ConnectionEnd::Closed if self.ends_with_connection() => Ok(()),
            ConnectionEnd::Closed => {
                let reason = "connection closed".to_owned();
                Err(ResponseError::Incomplete(reason))
            }
            ConnectionEnd::Failed(reason) => Err(ResponseError::Incomplete(reason)),
        }
    }
}

/// Removes and returns at most `left` bytes, and subtracts their number.
pub(super) fn split_data(buf: &mut BytesMut, left: &mut u64) -> Bytes {
    let most = usize::try_from(*left).unwrap_or(usize::MAX);
    let data = buf.split_to(buf.len().min(most)).freeze();
    *left -= data.len() as u64;
    data
}
