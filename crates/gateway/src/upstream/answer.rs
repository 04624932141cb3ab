//! A worker's answer: its head, then its body piece by piece.

use std::rc::Rc;
use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::HeaderMap;
use bytes::Bytes;
use tokio_util::codec::Decoder;

use super::{Pool, WorkerConnection};

/// An answer that ended before it was whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub(crate) struct BrokenAnswer(pub(crate) String);

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By a length or by chunks.
    Framed,
    /// By the end of the connection.
    UntilClose,
}

/// The answer of a worker.
pub(crate) struct Answer {
    /// Status and headers.
    pub(crate) head: ResponseHead,
    body: Option<Body>,
}

struct Body {
    connection: WorkerConnection,
    codec: ClientPayloadCodec,
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
}

impl Home {
    fn take_back(self, mut connection: WorkerConnection, keeps_alive: bool) {
        let is_clean = connection.receiver.buffer.is_empty() && connection.sender.buffer.is_empty();
        if self.reusable && keeps_alive && is_clean {
            connection.receiver.buffer = bytes::BytesMut::new();
            connection.sender.buffer = bytes::BytesMut::new();
            self.pool.put(&self.worker, connection, self.idle_time);
        }
    }
}

impl Answer {
    /// An answer whose head has been decoded by `codec` from `connection`.
    pub(crate) fn new(
        head: ResponseHead,
        codec: ClientCodec,
        connection: WorkerConnection,
        home: Home,
    ) -> Self {
        let framing = match codec.message_type() {
            MessageType::None => {
                home.take_back(connection, codec.keep_alive());
                return Self { head, body: None };
            }
            MessageType::Payload => Framing::Framed,
            MessageType::Stream => Framing::UntilClose,
        };
        let body = Body {
            connection,
            codec: codec.into_payload_codec(),
            framing,
            home,
        };
        Self {
            head,
            body: Some(body),
        }
    }

    /// The next piece of the body; `None` once it was whole.
    pub(crate) async fn next_piece(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        loop {
            let Some(body) = &mut self.body else {
                return Ok(None);
            };
            let decoded = body
                .codec
                .decode(&mut body.connection.receiver.buffer)
                .map_err(|error| BrokenAnswer(error.to_string()))?;
            match decoded {
                Some(Some(piece)) if piece.is_empty() => continue,
                Some(Some(piece)) => return Ok(Some(piece)),
                Some(None) => {
                    self.finish();
                    return Ok(None);
                }
                None => {}
            }
            let received = body
                .connection
                .receiver
                .fill()
                .await
                .map_err(|error| BrokenAnswer(error.to_string()))?;
            if received > 0 {
                continue;
            }
            let ends_here = body.framing == Framing::UntilClose;
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
            if whole.is_empty() {
                whole = bytes::BytesMut::from(&piece[..]);
            } else {
                whole.extend_from_slice(&piece);
            }
        }
        Ok(whole.freeze())
    }

    fn finish(&mut self) {
        if let Some(body) = self.body.take() {
            let keeps_alive = body.codec.keep_alive() && body.framing == Framing::Framed;
            body.home.take_back(body.connection, keeps_alive);
        }
    }
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
