//! Splits a stream of server-sent events into complete events, so that partial events are never
//! forwarded.

use bytes::{Bytes, BytesMut};

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event as received, including the terminating empty line.
    pub raw: Bytes,
    /// Value of the `id` field, if present.
    pub id: Option<String>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: Bytes,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next event, or `None` while it is incomplete.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Some(parse_event(raw))
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the end of the first event, after its empty line.
    fn find_end(&mut self) -> Option<usize> {
        // The last three bytes may be the start of the terminating empty line.
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

/// Returns the value of a field line without the optional space after the colon.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
