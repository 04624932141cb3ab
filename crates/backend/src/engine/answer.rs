//! Decoding of streamed answers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_rt::time::Instant;
use bytes::Bytes;
use elderworks_platform_api::engine::{ChatChunk, DONE_MARKER};
use elderworks_types::{Tokens, Usage, text};
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::stream::{LocalBoxStream, try_unfold};
use futures_util::{Stream, StreamExt};
use tokio::time::{timeout, timeout_at};

use super::{AnswerItem, AnswerStream, Finish};
use crate::http::{payload_failure, timed_out};
use crate::{BackendError, LostReason};

/// Most bytes that may come between the ends of two events.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Longest wait for the end of a stream after the end of its answer.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Decodes a server-sent event stream whose first chunk should be number `from`, giving up at
/// `deadline`. Survives arbitrary bytes.
pub fn decode_answer(
    bytes: impl Stream<Item = Result<Bytes, PayloadError>> + 'static,
    from: u32,
    deadline: Instant,
) -> AnswerStream {
    let reader = AnswerReader::new(bytes, from, deadline);
    try_unfold(Some(reader), |reader| async move {
        let Some(mut reader) = reader else {
            return Ok(None);
        };
        let item = reader.next_item().await?;
        let reader = match &item {
            AnswerItem::Chunk { .. } => Some(reader),
            AnswerItem::Finished(_) => None,
        };
        Ok(Some((item, reader)))
    })
    .boxed_local()
}

struct AnswerReader {
    events: LocalBoxStream<'static, Result<Event, EventStreamError<PayloadError>>>,
    /// Bytes received since the last event ended.
    pending_bytes: Rc<Cell<usize>>,
    next_index: u32,
    /// Bytes of text received, from which consumption is estimated until the engine reports it.
    text_bytes: usize,
    deadline: Instant,
}

/// What one event says.
enum Decoded {
    Text(String),
    Finish(Finish),
}

impl AnswerReader {
    fn new(
        bytes: impl Stream<Item = Result<Bytes, PayloadError>> + 'static,
        from: u32,
        deadline: Instant,
    ) -> Self {
        let pending_bytes = Rc::new(Cell::new(0));
        let limited = limit_pending(bytes, pending_bytes.clone());
        Self {
            events: limited.eventsource().boxed_local(),
            pending_bytes,
            next_index: from,
            text_bytes: 0,
            deadline,
        }
    }

    async fn next_item(&mut self) -> Result<AnswerItem, BackendError> {
        let consumed = self.consumed();
        let event = self
            .next_event()
            .await
            .map_err(|error| error.with_usage(consumed))?;
        let decoded = decode_event(&event, self.next_index);
        match decoded.map_err(|error| error.with_usage(consumed))? {
            Decoded::Finish(finish) => {
                self.drain().await;
                Ok(AnswerItem::Finished(finish))
            }
            Decoded::Text(text) => Ok(self.chunk(text)),
        }
    }

    fn chunk(&mut self, text: String) -> AnswerItem {
        let index = self.next_index;
        self.next_index = self.next_index.saturating_add(1);
        self.text_bytes += text.len();
        AnswerItem::Chunk { index, text }
    }

    async fn next_event(&mut self) -> Result<Event, BackendError> {
        let event = timeout_at(self.deadline, self.events.next()).await;
        let event = event.map_err(|_| timed_out())?;
        self.pending_bytes.set(0);
        let event = event.ok_or_else(|| {
            BackendError::lost(LostReason::Broken, "the stream ended before the answer did")
        })?;
        event.map_err(event_failure)
    }

    /// Reads the end of the stream, so that its connection can be used again. The answer is whole
    /// already: a stream that does not end is left.
    async fn drain(&mut self) {
        let to_end = async { while self.next_event().await.is_ok() {} };
        let _ = timeout(DRAIN_TIMEOUT, to_end).await;
    }

    fn consumed(&self) -> Usage {
        let output = self.text_bytes.div_ceil(text::BYTES_PER_TOKEN) as u64;
        Usage {
            output: Tokens(output),
            ..Usage::default()
        }
    }
}

/// Fails the stream once more than [`MAX_EVENT_BYTES`] have come since `pending` was last set to 0.
fn limit_pending(
    bytes: impl Stream<Item = Result<Bytes, PayloadError>> + 'static,
    pending: Rc<Cell<usize>>,
) -> LocalBoxStream<'static, Result<Bytes, PayloadError>> {
    let limited = bytes.map(move |item| {
        let received = item?;
        pending.set(pending.get().saturating_add(received.len()));
        if pending.get() > MAX_EVENT_BYTES {
            return Err(PayloadError::Overflow);
        }
        Ok(received)
    });
    limited.boxed_local()
}

fn event_failure(error: EventStreamError<PayloadError>) -> BackendError {
    match error {
        EventStreamError::Transport(error) => payload_failure(error),
        error => malformed(error),
    }
}

fn decode_event(event: &Event, expected_index: u32) -> Result<Decoded, BackendError> {
    if event.data == DONE_MARKER {
        return Err(malformed("the stream ended without a finish reason"));
    }
    check_index(event, expected_index)?;
    let chunk: ChatChunk = serde_json::from_str(&event.data).map_err(malformed)?;
    let choice = chunk.choices.into_iter().next();
    let choice = choice.ok_or_else(|| malformed("a chunk without a choice"))?;
    let Some(reason) = choice.finish_reason else {
        return Ok(Decoded::Text(choice.delta.content.unwrap_or_default()));
    };
    if choice.delta.content.is_some_and(|text| !text.is_empty()) {
        return Err(malformed("text in the chunk that ends the answer"));
    }
    let usage = chunk.usage.map(Usage::from);
    let usage = usage.ok_or_else(|| malformed("an end without usage"))?;
    Ok(Decoded::Finish(Finish { reason, usage }))
}

fn check_index(event: &Event, expected: u32) -> Result<(), BackendError> {
    if event.id.parse() == Ok(expected) {
        return Ok(());
    }
    let detail = format!("event {:?} where chunk {expected} was due", event.id);
    Err(malformed(detail))
}

fn malformed(detail: impl ToString) -> BackendError {
    BackendError::lost(LostReason::Malformed, detail)
}
