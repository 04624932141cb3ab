//! A TCP connection with its buffers: codecs work on the buffers, sockets on the other side.

use std::io;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Room made for each read.
const READ_BYTES: usize = 8 * 1024;

/// Bytes taken in ahead while nobody decodes them; more stay in the socket.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Room that a buffer keeps for what is sent next, in bytes.
const MAX_KEPT_CAPACITY: usize = 16 * 1024;

/// The receiving side.
#[derive(Debug)]
pub(crate) struct Receiver {
    half: OwnedReadHalf,
    /// Bytes received and not decoded yet.
    pub(crate) buffer: BytesMut,
}

impl Receiver {
    /// Waits for bytes; 0 means that the other side has closed.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.half.read_buf(&mut self.buffer).await
    }

    /// Waits until the other side has closed or the connection failed, taking in what it sends
    /// meanwhile.
    pub(crate) async fn closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Whether a connection at rest is still open and silent.
    pub(crate) fn is_quiet(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        matches!(self.half.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The sending side.
#[derive(Debug)]
pub(crate) struct Sender {
    half: OwnedWriteHalf,
    /// Bytes encoded and not sent yet.
    pub(crate) buffer: BytesMut,
}

impl Sender {
    /// Sends all encoded bytes.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        while !self.buffer.is_empty() {
            self.send_some().await?;
        }
        Ok(())
    }

    /// Sends as much as the other side takes at once, at least a byte. No byte is lost if the
    /// future is dropped.
    pub(crate) async fn send_some(&mut self) -> io::Result<()> {
        self.half.write_buf(&mut self.buffer).await?;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_KEPT_CAPACITY {
            // A large answer's room is not kept for the small ones that follow.
            self.buffer = BytesMut::new();
        }
        Ok(())
    }

    /// Tells the other side that nothing more will come.
    pub(crate) async fn shut_down(&mut self) {
        // The connection is at its end either way.
        let _ = self.half.shutdown().await;
    }
}

/// Divides a connection into its two sides.
pub(crate) fn split(stream: TcpStream) -> (Receiver, Sender) {
    let (read, write) = stream.into_split();
    let receiver = Receiver {
        half: read,
        buffer: BytesMut::new(),
    };
    let sender = Sender {
        half: write,
        buffer: BytesMut::new(),
    };
    (receiver, sender)
}
