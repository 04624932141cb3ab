//! Splits an event stream into whole events, so that no part of an event is passed on.

use bytes::{Bytes, BytesMut};

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event as received, its closing empty line included.
    pub raw: Bytes,
    /// Its id, if it has one.
    pub id: Option<String>,
    /// Its data; several data lines are joined by line feeds.
    pub data: Bytes,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event; `None` while it is incomplete.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Some(parse_event(raw))
    }

    /// Bytes of an event that is not whole yet.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The end of the first event: behind its empty line.
    fn find_end(&mut self) -> Option<usize> {
        // The last three bytes may be the beginning of the closing empty line.
        let from = self.searched.saturating_sub(3);
        for index in from..self.buffer.len() {
            let rest = &self.buffer[index..];
            for ending in [&b"\n\n"[..], &b"\r\n\r\n"[..], &b"\n\r\n"[..]] {
                if rest.starts_with(ending) {
                    return Some(index + ending.len());
                }
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn parse_event(raw: Bytes) -> StreamEvent {
    let mut id = None;
    let mut data = BytesMut::new();
    let mut has_data = false;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"id") {
            id = std::str::from_utf8(value).ok().map(str::to_owned);
        } else if let Some(value) = field_value(line, b"data") {
            if has_data {
                data.extend_from_slice(b"\n");
            }
            has_data = true;
            data.extend_from_slice(value);
        }
    }
    StreamEvent {
        raw,
        id,
        data: data.freeze(),
    }
}

/// The value of a field line, without the one space that may follow the colon.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
