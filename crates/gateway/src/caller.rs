//! The sending side of a caller's connection: answers, whole or as streams.

use std::io;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use tokio_util::codec::Encoder;

use crate::buffered::Sender;
use crate::memory::MemoryReservation;
use crate::reply::Refusal;

/// How far the answer to the present request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Nothing was sent.
    None,
    /// The head of a stream was sent, perhaps some of its events.
    Streaming,
    /// The whole answer was sent.
    Done,
}

/// Sends answers to one caller.
pub(crate) struct Caller<'a> {
    codec: &'a mut Codec,
    sender: &'a mut Sender,
    /// Counts what is encoded and not sent.
    unsent: MemoryReservation,
    close_after: bool,
    progress: Progress,
    status: Option<StatusCode>,
}

impl<'a> Caller<'a> {
    /// For the answer to one request; `unsent` counts what it holds, and `close_after` announces
    /// the end of the connection.
    pub(crate) fn new(
        codec: &'a mut Codec,
        sender: &'a mut Sender,
        unsent: MemoryReservation,
        close_after: bool,
    ) -> Self {
        Self {
            codec,
            sender,
            unsent,
            close_after,
            progress: Progress::None,
            status: None,
        }
    }

    /// How far the answer has come.
    pub(crate) fn progress(&self) -> Progress {
        self.progress
    }

    /// The status sent, if any.
    pub(crate) fn status(&self) -> Option<StatusCode> {
        self.status
    }

    /// Sends a whole answer.
    pub(crate) async fn send_whole(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            let piece = Message::Chunk(Some(Bytes::copy_from_slice(body)));
            self.codec.encode(piece, &mut self.sender.buffer)?;
        }
        self.progress = Progress::Done;
        self.flush().await
    }

    /// Sends an answer of the gateway's own.
    pub(crate) async fn send_refusal(&mut self, refusal: &Refusal) -> io::Result<()> {
        self.send_whole(refusal.status(), &refusal.headers(), &refusal.body())
            .await
    }

    /// Sends the head of a stream.
    pub(crate) async fn start_stream(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Stream)?;
        self.progress = Progress::Streaming;
        self.flush().await
    }

    /// Encodes a piece of a stream; [`Self::send_some`] sends it.
    pub(crate) fn push_piece(&mut self, piece: Bytes) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(Some(piece)), &mut self.sender.buffer)?;
        self.count_unsent();
        Ok(())
    }

    /// Encodes the end of a whole stream.
    pub(crate) fn push_end(&mut self) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(None), &mut self.sender.buffer)?;
        self.count_unsent();
        Ok(())
    }

    /// Notes that a whole stream was sent.
    pub(crate) fn note_stream_sent(&mut self) {
        self.progress = Progress::Done;
    }

    /// Bytes that are encoded and not sent.
    pub(crate) fn unsent(&self) -> usize {
        self.sender.buffer.len()
    }

    /// Sends as much as the caller takes at once, at least a byte.
    pub(crate) async fn send_some(&mut self) -> io::Result<()> {
        let sent = self.sender.send_some().await;
        self.count_unsent();
        sent
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.count_unsent();
        while self.unsent() > 0 {
            self.send_some().await?;
        }
        Ok(())
    }

    fn count_unsent(&mut self) {
        self.unsent.set(self.sender.buffer.len());
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        size: BodySize,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        for (name, value) in headers {
            response.headers_mut().append(name.clone(), value.clone());
        }
        if self.close_after {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        self.status = Some(status);
        self.codec
            .encode(Message::Item((response, size)), &mut self.sender.buffer)
    }
}
