//! Decoding of answers streamed as server-sent events.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::Instant;
use bytes::Bytes;
use elderworks_http_client::response::ResponseError;
use elderworks_platform_api::engine::{ChatChunk, DONE_MARKER};
use elderworks_types::{Tokens, Usage, text};
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::stream::{LocalBoxStream, try_unfold};
use futures_util::{Stream, StreamExt};
use tokio::time::{timeout, timeout_at};

use super::{AnswerItem, AnswerStream, Finish};
use crate::http::{response_failure, timed_out};
use crate::{BackendError, LostReason};

/// Maximum number of bytes between the ends of two consecutive events.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Timeout of reading the end of a stream after the end of its answer.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Decodes a stream of server-sent events whose first chunk must have the number `from`. The stream
/// fails at `deadline`, and on malformed bytes.
pub fn decode_answer(
    bytes: impl Stream<Item = Result<Bytes, ResponseError>> + 'static,
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
    events: LocalBoxStream<'static, Result<Event, EventStreamError<ResponseError>>>,
    /// Number of bytes received since the end of the last event.
    pending_bytes: Rc<Cell<usize>>,
    next_index: u32,
    /// Number of text bytes received, used to estimate the usage of an answer that breaks off.
    text_bytes: usize,
    deadline: Instant,
}

/// The content of one event.
enum Decoded {
    Text(String),
    Finish(Finish),
}

impl AnswerReader {
    fn new(
        bytes: impl Stream<Item = Result<Bytes, ResponseError>> + 'static,
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
            BackendError::lost(
                LostReason::Broken,
                "the stream ended before the end of the answer",
            )
        })?;
        event.map_err(event_failure)
    }

    /// Reads the rest of the stream, so that the engine doesn't see its connection closed before the end.
    /// Errors and timeouts are ignored because the answer is complete.
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

/// Makes the stream fail once more than [`MAX_EVENT_BYTES`] bytes have been received since `pending`
/// was last reset to 0.
fn limit_pending(
    bytes: impl Stream<Item = Result<Bytes, ResponseError>> + 'static,
    pending: Rc<Cell<usize>>,
) -> LocalBoxStream<'static, Result<Bytes, ResponseError>> {
    let limited = bytes.map(move |item| {
        let received = item?;
        pending.set(pending.get().saturating_add(received.len()));
        if pending.get() > MAX_EVENT_BYTES {
            return Err(ResponseError::TooLarge(MAX_EVENT_BYTES));
        }
        Ok(received)
    });
    limited.boxed_local()
}

fn event_failure(error: EventStreamError<ResponseError>) -> BackendError {
    match error {
        EventStreamError::Transport(error) => response_failure(error),
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
    let choice = choice.ok_or_else(|| malformed("chunk without a choice"))?;
    let Some(reason) = choice.finish_reason else {
        return Ok(Decoded::Text(choice.delta.content.unwrap_or_default()));
    };
    if choice.delta.content.is_some_and(|text| !text.is_empty()) {
        return Err(malformed("unexpected text in the final chunk"));
    }
    let usage = chunk.usage.map(Usage::from);
    let usage = usage.ok_or_else(|| malformed("final chunk without usage"))?;
    Ok(Decoded::Finish(Finish { reason, usage }))
}

fn check_index(event: &Event, expected: u32) -> Result<(), BackendError> {
    if event.id.parse() == Ok(expected) {
        return Ok(());
    }
    let detail = format!("event {:?}, expected chunk {expected}", event.id);
    Err(malformed(detail))
}

fn malformed(detail: impl ToString) -> BackendError {
    BackendError::lost(LostReason::Malformed, detail)
}
