//! A TCP connection split into two buffered halves. Codecs operate on the buffers.

use std::io;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Free buffer space in bytes that is reserved before each read.
const READ_BYTES: usize = 8 * 1024;

/// Maximum number of bytes buffered while nothing decodes them; the rest stays in the socket.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Maximum capacity in bytes that an empty send buffer keeps.
const MAX_KEPT_CAPACITY: usize = 16 * 1024;

/// The receiving half.
#[derive(Debug)]
pub struct Receiver {
    half: OwnedReadHalf,
    /// Bytes received but not decoded yet.
    pub buffer: BytesMut,
}

impl Receiver {
    /// Waits for bytes and returns their number; 0 means that the peer has closed the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.half.read_buf(&mut self.buffer).await
    }

    /// Waits until the peer closes the connection or it fails, and buffers what the peer sends
    /// until then.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Returns whether an idle connection is still open and has no unread bytes.
    pub fn is_idle(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        matches!(self.half.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The sending half.
#[derive(Debug)]
pub struct Sender {
    half: OwnedWriteHalf,
    /// Bytes encoded but not sent yet.
    pub buffer: BytesMut,
    /// The first error of sending. The socket reports an error once: what is received afterwards ends
    /// as if the peer had closed the connection.
    failure: Option<io::ErrorKind>,
}

impl Sender {
    /// Returns the error that broke off the connection while bytes were sent, if any. A peer that has
    /// closed its own direction before it stopped reading (`BrokenPipe`) has sent all that it meant to.
    pub fn break_off(&self) -> Option<io::ErrorKind> {
        self.failure
            .filter(|failure| *failure != io::ErrorKind::BrokenPipe)
    }

    /// Sends all encoded bytes.
    pub async fn flush(&mut self) -> io::Result<()> {
        while !self.buffer.is_empty() {
            self.send_some().await?;
        }
        Ok(())
    }

    /// Sends as much as the socket accepts, at least one byte. Cancel safe: no byte is lost if the
    /// future is dropped.
    pub async fn send_some(&mut self) -> io::Result<()> {
        let sent = self.half.write_buf(&mut self.buffer).await;
        sent.inspect_err(|error| {
            self.failure.get_or_insert(error.kind());
        })?;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_KEPT_CAPACITY {
            // Releases the capacity that a large response needed.
            self.buffer = BytesMut::new();
        }
        Ok(())
    }

    /// Closes the sending direction of the connection.
    pub async fn shut_down(&mut self) {
        // Errors are ignored because the connection is being closed anyway.
        let _ = self.half.shutdown().await;
    }
}

/// Splits a connection into its halves.
pub fn split(stream: TcpStream) -> (Receiver, Sender) {
    let (read, write) = stream.into_split();
    let receiver = Receiver {
        half: read,
        buffer: BytesMut::new(),
    };
    let sender = Sender {
        half: write,
        buffer: BytesMut::new(),
        failure: None,
    };
    (receiver, sender)
}
