//! An exchange of a request and its response on one connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{Method, RequestHeadType, ResponseHead, ServiceConfig};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio_util::codec::Encoder;

use crate::buffered::{self, Receiver, Sender};
use crate::connect::ConnectError;
use crate::response::{
    BodyDecoder, BodyPart, ConnectionEnd, DecodedHead, HeadDecoder, ResponseError,
};

/// A connection to a server, idle or in use.
#[derive(Debug)]
pub struct Connection {
    /// The receiving half.
    pub receiver: Receiver,
    /// The sending half.
    pub sender: Sender,
}

impl Connection {
    /// Creates a connection from a socket.
    pub fn new(stream: TcpStream) -> Self {
        let (receiver, sender) = buffered::split(stream);
        Self { receiver, sender }
    }

    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Fails with the error of the socket, and with `TimedOut` after `timeout`.
    pub async fn open(server: SocketAddr, timeout: Duration) -> Result<Self, ConnectError> {
        let connecting = actix_rt::time::timeout(timeout, TcpStream::connect(server));
        let stream = connecting
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        // The connection works without this option, with worse latency.
        let _ = stream.set_nodelay(true);
        Ok(Self::new(stream))
    }

    /// Returns how the connection ended when nothing more can be received.
    fn end(&self) -> ConnectionEnd {
        match self.sender.break_off() {
            Some(failure) => ConnectionEnd::Failed(failure.to_string()),
            None => ConnectionEnd::Closed,
        }
    }
}

/// The reason why no valid response head was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request can have reached the server.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part.
    #[error("no response: {0}")]
    NoResponse(ResponseError),
}

/// A request that is being sent, and the heads received meanwhile.
#[derive(Debug)]
pub struct Exchange {
    connection: Connection,
    method: Method,
    /// Whether part of the request remains to be sent.
    is_sending: bool,
    /// Whether any byte of the request was sent.
    any_sent: bool,
    /// Whether a response was discarded. The server may have sent more that aren't expected.
    has_skipped: bool,
}

impl Exchange {
    /// Encodes a request, to be sent on a connection.
    ///
    /// # Errors
    ///
    /// Fails if the head can't be encoded; nothing was sent then.
    pub fn new(
        mut connection: Connection,
        config: &ServiceConfig,
        head: RequestHeadType,
        body: Option<&Bytes>,
    ) -> Result<Self, ExchangeError> {
        let size = match body {
            Some(body) => BodySize::Sized(body.len() as u64),
            None => BodySize::None,
        };
        let method = head.as_ref().method.clone();
        let buffer = &mut connection.sender.buffer;
        ClientCodec::new(config.clone())
            .encode(Message::Item((head, size)), buffer)
            .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        if let Some(body) = body {
            buffer.extend_from_slice(body);
        }
        Ok(Self {
            connection,
            method,
            is_sending: true,
            any_sent: false,
            has_skipped: false,
        })
    }

    /// Sends the rest of the request while waiting for the head of a response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the head, or if the bytes received are no head.
    pub async fn next_head(&mut self) -> Result<DecodedHead, ExchangeError> {
        let mut heads = HeadDecoder::new(&self.method);
        loop {
            let decoded = heads.decode(&mut self.connection.receiver.buffer);
            if let Some(decoded) = decoded.map_err(ExchangeError::NoResponse)? {
                return Ok(decoded);
            }
            self.transfer_some().await?;
        }
    }

    /// Receives and discards the body of a response that isn't the expected one, of at most `max_bytes`
    /// as sent.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger, or if it doesn't end before its connection.
    pub async fn skip_body(
        &mut self,
        mut body: BodyDecoder,
        max_bytes: usize,
    ) -> Result<(), ExchangeError> {
        self.has_skipped = true;
        if body.ends_with_connection() {
            let reason = "the body before it ends with the connection".to_owned();
            return Err(ExchangeError::NoResponse(ResponseError::Incomplete(reason)));
        }
        let mut received_bytes = 0;
        loop {
            let part = body.decode(&mut self.connection.receiver.buffer);
            match part.map_err(ExchangeError::NoResponse)? {
                BodyPart::Data(_) => {}
                BodyPart::End => return Ok(()),
                BodyPart::Incomplete if received_bytes > max_bytes => {
                    let error = ResponseError::TooLarge(max_bytes);
                    return Err(ExchangeError::NoResponse(error));
                }
                BodyPart::Incomplete => received_bytes += self.transfer_some().await?,
            }
        }
    }

    /// Sends a part of the request or receives a part of a response, whichever is possible first.
    /// Returns the number of bytes received.
    async fn transfer_some(&mut self) -> Result<usize, ExchangeError> {
        let Connection { receiver, sender } = &mut self.connection;
        let unsent = sender.buffer.len();
        tokio::select! {
            sent = sender.flush(), if self.is_sending => {
                self.any_sent |= sender.buffer.len() < unsent;
                self.is_sending = false;
                match sent {
                    Err(error) if !self.any_sent => Err(ExchangeError::NotSent(error.to_string())),
                    // After an error, the server may have responded before; the sender remembers it.
                    _ => Ok(0),
                }
            }
            received = receiver.fill() => {
                self.any_sent |= sender.buffer.len() < unsent;
                let reason = match received {
                    Ok(0) => "connection closed".to_owned(),
                    Ok(count) => return Ok(count),
                    Err(error) => error.to_string(),
                };
                Err(ExchangeError::NoResponse(ResponseError::Incomplete(reason)))
            }
        }
    }

    /// Ends the exchange with a response, whose head was decoded last.
    pub fn into_body(self, decoded: DecodedHead) -> (ResponseHead, Body) {
        let body = Body {
            connection: self.connection,
            decoder: decoded.body,
            is_reusable: decoded.keeps_alive && !self.is_sending && !self.has_skipped,
            error: None,
        };
        (decoded.head, body)
    }
}

/// The body of a response, which is received in parts.
#[derive(Debug)]
pub struct Body {
    connection: Connection,
    decoder: BodyDecoder,
    /// Whether the connection can be used again after the body.
    is_reusable: bool,
    /// Why the body isn't whole. The socket reports an error only once.
    error: Option<ResponseError>,
}

impl Body {
    /// Returns the next part of the body; `None` once it is whole. Cancel safe.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, or if its connection ends before it.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ResponseError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let chunk = self.receive_chunk().await;
        self.error = chunk.as_ref().err().cloned();
        chunk
    }

    async fn receive_chunk(&mut self) -> Result<Option<Bytes>, ResponseError> {
        loop {
            match self.decoder.decode(&mut self.connection.receiver.buffer)? {
                BodyPart::Data(data) => return Ok(Some(data)),
                BodyPart::End => return Ok(None),
                BodyPart::Incomplete => {}
            }
            let end = match self.connection.receiver.fill().await {
                Ok(0) => self.connection.end(),
                Ok(_) => continue,
                Err(error) => ConnectionEnd::Failed(error.to_string()),
            };
            return self.decoder.finish(end).map(|()| None);
        }
    }

    /// Returns the number of bytes that remain to be received, if a length tells it.
    pub fn remaining(&self) -> Option<u64> {
        self.decoder.remaining()
    }

    /// Returns whether nothing remains to be received.
    pub fn is_whole(&self) -> bool {
        self.decoder.is_whole()
    }

    /// Returns the connection after a whole body if it can be used for another request.
    pub fn into_connection(self) -> Option<Connection> {
        let Connection { receiver, sender } = &self.connection;
        let is_clean = receiver.buffer.is_empty() && sender.buffer.is_empty();
        (self.is_reusable && is_clean).then_some(self.connection)
    }
}
