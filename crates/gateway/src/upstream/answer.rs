//! A worker's answer: its head, then its body piece by piece.

use std::rc::Rc;
use std::time::Duration;

use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, StatusCode};
use bytes::Bytes;
use elderworks_gateway_core::pressure::should_read_answer;
use tokio_util::codec::Decoder;

use super::{Pool, WorkerConnection};
use crate::memory::MemoryReservation;

/// An answer that ended before it was whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub(crate) struct BrokenAnswer(pub(crate) String);

/// How the end of a body is known.
enum Framing {
    /// By a length or by chunks.
    Framed(ClientPayloadCodec),
    /// By the end of the connection. The library's codec takes such an answer for one without a
    /// body.
    UntilClose,
}

/// The answer of a worker.
pub(crate) struct Answer {
    /// Status and headers.
    pub(crate) head: ResponseHead,
    body: Option<Body>,
    /// Counts the bytes collected of it, for as long as the answer is held.
    collected: MemoryReservation,
}

struct Body {
    connection: WorkerConnection,
    framing: Framing,
    home: Home,
}

/// Where a connection goes after its answer.
pub(crate) struct Home {
    /// The pool.
    pub(crate) pool: Rc<Pool>,
    /// The worker.
    pub(crate) worker: String,
    /// Whether the connection may be used again if its answer ends well.
    pub(crate) reusable: bool,
    /// The idle time that the worker named.
    pub(crate) idle_time: Option<Duration>,
    /// Most connections at rest that this node may keep to the worker.
    pub(crate) most_idle: usize,
}

impl Home {
    fn take_back(self, mut connection: WorkerConnection, keeps_alive: bool) {
        let is_clean = connection.receiver.buffer.is_empty() && connection.sender.buffer.is_empty();
        if self.reusable && keeps_alive && is_clean {
            connection.receiver.buffer = bytes::BytesMut::new();
            connection.sender.buffer = bytes::BytesMut::new();
            self.pool
                .put(&self.worker, connection, self.idle_time, self.most_idle);
        }
    }
}

impl Answer {
    /// An answer to a `method` request whose head has been decoded by `codec` from `connection`.
    pub(crate) fn new(
        method: &Method,
        head: ResponseHead,
        codec: ClientCodec,
        connection: WorkerConnection,
        home: Home,
        collected: MemoryReservation,
    ) -> Self {
        let framing = if method != Method::HEAD && ends_with_connection(&head) {
            Framing::UntilClose
        } else if codec.message_type() == MessageType::None {
            home.take_back(connection, codec.keep_alive());
            return Self {
                head,
                body: None,
                collected,
            };
        } else {
            Framing::Framed(codec.into_payload_codec())
        };
        let body = Body {
            connection,
            framing,
            home,
        };
        Self {
            head,
            body: Some(body),
            collected,
        }
    }

    /// The next piece of the body; `None` once it was whole.
    pub(crate) async fn next_piece(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        loop {
            let Some(body) = &mut self.body else {
                return Ok(None);
            };
            match body.decode_piece()? {
                Decoded::Piece(piece) => return Ok(Some(piece)),
                Decoded::End => {
                    self.finish();
                    return Ok(None);
                }
                Decoded::Incomplete => {}
            }
            let received = body.connection.receiver.fill().await;
            if received.map_err(|error| BrokenAnswer(error.to_string()))? > 0 {
                continue;
            }
            let ends_here = matches!(body.framing, Framing::UntilClose);
            self.body = None;
            if ends_here {
                return Ok(None);
            }
            return Err(BrokenAnswer("connection closed".to_owned()));
        }
    }

    /// The whole body, up to a size.
    pub(crate) async fn whole_body(&mut self, most: usize) -> Result<Bytes, BrokenAnswer> {
        let mut whole = bytes::BytesMut::new();
        while let Some(piece) = self.next_piece().await? {
            if whole.len() + piece.len() > most {
                return Err(BrokenAnswer(format!("more than {most} bytes")));
            }
            self.collected.set(whole.len() + piece.len());
            if whole.is_empty() {
                whole = bytes::BytesMut::from(&piece[..]);
            } else {
                whole.extend_from_slice(&piece);
            }
            let memory = self.collected.memory().clone();
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
            body.home.take_back(body.connection, codec.keep_alive());
        }
    }
}

/// What the bytes received so far hold.
enum Decoded {
    Piece(Bytes),
    End,
    Incomplete,
}

impl Body {
    fn decode_piece(&mut self) -> Result<Decoded, BrokenAnswer> {
        let buffer = &mut self.connection.receiver.buffer;
        let codec = match &mut self.framing {
            Framing::Framed(codec) => codec,
            Framing::UntilClose if buffer.is_empty() => return Ok(Decoded::Incomplete),
            Framing::UntilClose => return Ok(Decoded::Piece(buffer.split().freeze())),
        };
        loop {
            let decoded = codec
                .decode(buffer)
                .map_err(|error| BrokenAnswer(error.to_string()))?;
            match decoded {
                Some(Some(piece)) if piece.is_empty() => {}
                Some(Some(piece)) => return Ok(Decoded::Piece(piece)),
                Some(None) => return Ok(Decoded::End),
                None => return Ok(Decoded::Incomplete),
            }
        }
    }
}

/// Whether only the end of the connection ends an answer's body.
pub(crate) fn ends_with_connection(head: &ResponseHead) -> bool {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let is_framed =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    !has_no_body && !is_framed
}

/// The idle time that a worker names in an answer.
pub(crate) fn named_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse::<f64>().ok())?;
    Duration::try_from_secs_f64(seconds).ok()
}
