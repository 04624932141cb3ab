//! A worker's response: its head, and its body in chunks.

use std::rc::Rc;
use std::time::Duration;

use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, StatusCode};
use bytes::Bytes;
use elderworks_gateway_core::pressure::should_read_answer;
use elderworks_types::Timestamp;
use tokio_util::codec::Decoder;

use super::{Pool, WorkerConnection};
use crate::memory::MemoryReservation;

/// Maximum number of bytes of chunk headers and trailers beyond [`MAX_FRAMING_PER_BYTE`].
const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// Maximum number of bytes of chunk headers for each byte of the body. A chunk of a single byte needs
/// five.
const MAX_FRAMING_PER_BYTE: usize = 16;

/// The error of a response that ended before it was complete.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("incomplete response: {0}")]
pub(crate) struct IncompleteResponse(pub(crate) String);

/// How the end of a body is determined.
enum Framing {
    /// By a length or by chunked encoding.
    Framed(ClientPayloadCodec),
    /// By the end of the connection. The HTTP library treats such a response as one without a body.
    UntilClose,
}

/// A worker's response.
pub(crate) struct WorkerResponse {
    /// Status and headers.
    pub(crate) head: ResponseHead,
    /// When its connection was open.
    pub(crate) opened: Timestamp,
    body: Option<Body>,
    /// Accounts for the memory of the body while it is buffered.
    buffered_bytes: MemoryReservation,
}

struct Body {
    connection: WorkerConnection,
    framing: Framing,
    /// Number of bytes received after the head.
    received_bytes: usize,
    /// Number of bytes of the body so far.
    body_bytes: usize,
    pool_return: PoolReturn,
}

/// Parameters for returning a connection to the pool after its response.
pub(crate) struct PoolReturn {
    /// The pool.
    pub(crate) pool: Rc<Pool>,
    /// Id of the worker.
    pub(crate) worker: String,
    /// Whether the connection can be reused if the response is complete.
    pub(crate) reusable: bool,
    /// Idle timeout that the worker announced.
    pub(crate) idle_timeout: Option<Duration>,
    /// Maximum number of idle connections that this node keeps to the worker.
    pub(crate) max_idle: usize,
}

impl PoolReturn {
    /// Returns the connection to the pool if it can be reused, or else closes it.
    fn return_connection(self, mut connection: WorkerConnection, keeps_alive: bool) {
        let is_clean = connection.receiver.buffer.is_empty() && connection.sender.buffer.is_empty();
        if self.reusable && keeps_alive && is_clean {
            connection.receiver.buffer = bytes::BytesMut::new();
            connection.sender.buffer = bytes::BytesMut::new();
            self.pool
                .put(&self.worker, connection, self.idle_timeout, self.max_idle);
        }
    }
}

impl WorkerResponse {
    /// Creates the response to a `method` request, whose head `codec` decoded from `connection`.
    pub(crate) fn new(
        method: &Method,
        head: ResponseHead,
        codec: ClientCodec,
        connection: WorkerConnection,
        pool_return: PoolReturn,
        buffered_bytes: MemoryReservation,
    ) -> Self {
        let opened = connection.opened;
        let framing = if method != Method::HEAD && ends_on_close(&head) {
            Framing::UntilClose
        } else if codec.message_type() == MessageType::None {
            pool_return.return_connection(connection, codec.keep_alive());
            return Self {
                head,
                opened,
                body: None,
                buffered_bytes,
            };
        } else {
            Framing::Framed(codec.into_payload_codec())
        };
        let body = Body {
            received_bytes: connection.receiver.buffer.len(),
            body_bytes: 0,
            connection,
            framing,
            pool_return,
        };
        Self {
            head,
            opened,
            body: Some(body),
            buffered_bytes,
        }
    }

    /// Returns the next chunk of the body; `None` after the end of the body.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, IncompleteResponse> {
        loop {
            let Some(body) = &mut self.body else {
                return Ok(None);
            };
            match body.decode_chunk()? {
                Decoded::Chunk(chunk) => {
                    body.body_bytes += chunk.len();
                    return Ok(Some(chunk));
                }
                Decoded::End => {
                    self.finish();
                    return Ok(None);
                }
                Decoded::Incomplete => {}
            }
            body.check_framing()?;
            let received = body.connection.receiver.fill().await;
            let count = received.map_err(|error| IncompleteResponse(error.to_string()))?;
            body.received_bytes += count;
            if count > 0 {
                continue;
            }
            let end = body.end_of_connection();
            self.body = None;
            return end.map(|()| None);
        }
    }

    /// Returns the whole body, or an error if it is larger than `max_bytes`.
    pub(crate) async fn buffer_body(
        &mut self,
        max_bytes: usize,
    ) -> Result<Bytes, IncompleteResponse> {
        let mut whole = bytes::BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if whole.len() + chunk.len() > max_bytes {
                return Err(IncompleteResponse(format!("more than {max_bytes} bytes")));
            }
            self.buffered_bytes.set(whole.len() + chunk.len());
            if whole.is_empty() {
                whole = bytes::BytesMut::from(&chunk[..]);
            } else {
                whole.extend_from_slice(&chunk);
            }
            let memory = self.buffered_bytes.memory().clone();
            if !should_read_answer(whole.len(), memory.pressure()) {
                memory.wait_for_capacity().await;
            }
        }
        Ok(whole.freeze())
    }

    fn finish(&mut self) {
        if let Some(body) = self.body.take()
            && let Framing::Framed(codec) = body.framing
        {
            body.pool_return
                .return_connection(body.connection, codec.keep_alive());
        }
    }
}

/// Result of decoding the bytes received so far.
enum Decoded {
    Chunk(Bytes),
    End,
    Incomplete,
}

impl Body {
    /// Checks that the worker doesn't send chunk headers or trailers without end. Must be called when
    /// everything received was decoded.
    fn check_framing(&self) -> Result<(), IncompleteResponse> {
        let framing_bytes = self.received_bytes - self.body_bytes;
        let max_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BYTE * self.body_bytes;
        match framing_bytes <= max_bytes {
            true => Ok(()),
            false => Err(IncompleteResponse(
                "more framing than the body needs".to_owned(),
            )),
        }
    }

    /// Returns whether the body is complete when nothing more can be received.
    fn end_of_connection(&self) -> Result<(), IncompleteResponse> {
        if let Some(failure) = self.connection.sender.break_off() {
            return Err(IncompleteResponse(failure.to_string()));
        }
        match self.framing {
            Framing::UntilClose => Ok(()),
            Framing::Framed(_) => Err(IncompleteResponse("connection closed".to_owned())),
        }
    }

    fn decode_chunk(&mut self) -> Result<Decoded, IncompleteResponse> {
        let buffer = &mut self.connection.receiver.buffer;
        let codec = match &mut self.framing {
            Framing::Framed(codec) => codec,
            Framing::UntilClose if buffer.is_empty() => return Ok(Decoded::Incomplete),
            Framing::UntilClose => return Ok(Decoded::Chunk(buffer.split().freeze())),
        };
        loop {
            let decoded = codec
                .decode(buffer)
                .map_err(|error| IncompleteResponse(error.to_string()))?;
            match decoded {
                Some(Some(chunk)) if chunk.is_empty() => {}
                Some(Some(chunk)) => return Ok(Decoded::Chunk(chunk)),
                Some(None) => return Ok(Decoded::End),
                None => return Ok(Decoded::Incomplete),
            }
        }
    }
}

/// Returns whether the body of a response ends when the connection is closed.
pub(crate) fn ends_on_close(head: &ResponseHead) -> bool {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let is_framed =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    !has_no_body && !is_framed
}

/// Returns the timeout of a `Keep-Alive` header.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse::<f64>().ok())?;
    Duration::try_from_secs_f64(seconds).ok()
}
