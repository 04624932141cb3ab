//! Bodies in chunks (RFC 9112, section 7.1).

use bytes::{Buf, Bytes, BytesMut};

use super::ResponseError;
use super::body::split_data;

/// Maximum size in bytes of the line before a chunk, and of the trailer.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// Maximum number of bytes of chunk headers and trailers beyond [`MAX_FRAMING_PER_BYTE`].
const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// Maximum number of bytes of chunk headers for each byte of the body. A chunk of a single byte needs
/// five.
const MAX_FRAMING_PER_BYTE: usize = 16;

/// Maximum number of lines in the trailer.
const MAX_TRAILERS: usize = 96;

/// Line end after the data of a chunk.
const LINE_END: &[u8] = b"\r\n";

/// A part of a body in chunks.
pub(super) enum ChunkPart {
    Data(Bytes),
    End,
    Incomplete,
}

/// Decodes a body in chunks.
#[derive(Debug, Default)]
pub(super) struct ChunkDecoder {
    next: Element,
    /// Number of bytes of the body so far.
    body_bytes: usize,
    /// Number of bytes of the framing so far.
    framing_bytes: usize,
}

/// What comes next.
#[derive(Clone, Copy, Debug, Default)]
enum Element {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// Data, of which this many bytes remain.
    Data(u64),
    /// The line end after the data.
    LineEnd,
    /// The lines after the last chunk.
    Trailer,
    /// Nothing.
    End,
}

impl ChunkDecoder {
    /// Returns whether the last chunk and the trailer were decoded.
    pub(super) fn is_whole(&self) -> bool {
        matches!(self.next, Element::End)
    }

    pub(super) fn decode(&mut self, buf: &mut BytesMut) -> Result<ChunkPart, ResponseError> {
        loop {
            let len = match self.next {
                Element::Size => self.size_line(buf)?,
                Element::Data(0) => {
                    self.next = Element::LineEnd;
                    continue;
                }
                Element::Data(_) if buf.is_empty() => None,
                Element::Data(mut left) => {
                    let data = split_data(buf, &mut left);
                    self.body_bytes += data.len();
                    self.next = Element::Data(left);
                    return Ok(ChunkPart::Data(data));
                }
                Element::LineEnd => self.line_end(buf)?,
                Element::Trailer => self.trailer(buf)?,
                Element::End => return Ok(ChunkPart::End),
            };
            let Some(len) = len else {
                self.check_framing(buf.len())?;
                return Ok(ChunkPart::Incomplete);
            };
            buf.advance(len);
            self.framing_bytes += len;
        }
    }

    /// Returns the length of the line with a chunk's size, once it is complete.
    fn size_line(&mut self, buf: &[u8]) -> Result<Option<usize>, ResponseError> {
        let parsed = httparse::parse_chunk_size(buf)
            .map_err(|_| ResponseError::Chunks("invalid size of a chunk"))?;
        let httparse::Status::Complete((len, size)) = parsed else {
            return Ok(None);
        };
        // The parser also takes a line without any digit for the size 0.
        if !buf[0].is_ascii_hexdigit() {
            return Err(ResponseError::Chunks("no size of a chunk"));
        }
        self.next = match size {
            0 => Element::Trailer,
            size => Element::Data(size),
        };
        Ok(Some(len))
    }

    fn line_end(&mut self, buf: &[u8]) -> Result<Option<usize>, ResponseError> {
        let received = &buf[..buf.len().min(LINE_END.len())];
        if !LINE_END.starts_with(received) {
            return Err(ResponseError::Chunks("a chunk is longer than its size"));
        }
        if received.len() < LINE_END.len() {
            return Ok(None);
        }
        self.next = Element::Size;
        Ok(Some(LINE_END.len()))
    }

    /// Returns the length of the trailer, whose content isn't used, once it is complete.
    fn trailer(&mut self, buf: &[u8]) -> Result<Option<usize>, ResponseError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_TRAILERS];
        let parsed = httparse::parse_headers(buf, &mut lines)
            .map_err(|_| ResponseError::Chunks("invalid trailer"))?;
        let httparse::Status::Complete((len, _)) = parsed else {
            return Ok(None);
        };
        self.next = Element::End;
        Ok(Some(len))
    }

    /// Checks that the framing has no line without end and isn't far larger than the body. `pending` is
    /// the number of bytes received but not decoded.
    fn check_framing(&self, pending: usize) -> Result<(), ResponseError> {
        let max_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BYTE * self.body_bytes;
        if pending > MAX_LINE_BYTES || self.framing_bytes + pending > max_bytes {
            return Err(ResponseError::Chunks("more framing than the body needs"));
        }
        Ok(())
    }
}
