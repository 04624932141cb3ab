//! One TCP connection to a node, carrying framed messages.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use elderworks_protocol::peer::{FromNode, Hello, ToNode};
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_protocol::{frame, split_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// Longest time to wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Most messages waiting to be written; a node that takes in fewer is given up.
const OUTBOX_MESSAGES: usize = 4096;

const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Names one connection, so that news of a former one to the same node is recognised.
pub type ConnectionId = u64;

/// What a connection reports to the driver.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// It can be written to.
    Ready,
    /// The node sent a message.
    Received(NodeMessage),
    /// It could not be made, or is gone.
    Closed,
}

/// A report of one connection.
#[derive(Debug)]
pub struct ConnectionReport {
    /// The node.
    pub address: SocketAddr,
    /// Which connection to it.
    pub connection: ConnectionId,
    /// What happened.
    pub event: ConnectionEvent,
}

/// The writing side of a connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    /// Its name.
    pub id: ConnectionId,
    /// Whether it was ever ready.
    pub was_ready: bool,
    outbox: mpsc::Sender<SidecarMessage>,
}

impl Connection {
    /// Begins to connect; what happens is reported on `reports`.
    pub fn open(
        id: ConnectionId,
        address: SocketAddr,
        sidecar: u64,
        reports: mpsc::UnboundedSender<ConnectionReport>,
    ) -> Self {
        let (outbox, messages) = mpsc::channel(OUTBOX_MESSAGES);
        let reporter = Reporter {
            address,
            connection: id,
            reports,
        };
        actix_rt::spawn(async move {
            // Why a connection ended does not matter: the core only needs to know that it did.
            let _ = carry(address, sidecar, messages, &reporter).await;
            reporter.report(ConnectionEvent::Closed);
        });
        Self {
            id,
            was_ready: false,
            outbox,
        }
    }

    /// Queues a message; `false` if the queue is full or the connection is gone.
    #[must_use]
    pub fn send(&self, message: SidecarMessage) -> bool {
        self.outbox.try_send(message).is_ok()
    }
}

struct Reporter {
    address: SocketAddr,
    connection: ConnectionId,
    reports: mpsc::UnboundedSender<ConnectionReport>,
}

impl Reporter {
    fn report(&self, event: ConnectionEvent) {
        let report = ConnectionReport {
            address: self.address,
            connection: self.connection,
            event,
        };
        // The driver is gone only when the process stops.
        let _ = self.reports.send(report);
    }
}

async fn carry(
    address: SocketAddr,
    sidecar: u64,
    messages: mpsc::Receiver<SidecarMessage>,
    reporter: &Reporter,
) -> std::io::Result<()> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let hello = ToNode::Hello(Hello::Sidecar { sidecar });
    writer.write_all(&frame(&hello)).await?;
    reporter.report(ConnectionEvent::Ready);
    tokio::select! {
        result = read_messages(reader, reporter) => result,
        result = write_messages(writer, messages) => result,
    }
}

async fn write_messages(
    mut writer: OwnedWriteHalf,
    mut messages: mpsc::Receiver<SidecarMessage>,
) -> std::io::Result<()> {
    while let Some(message) = messages.recv().await {
        writer.write_all(&frame(&ToNode::Sidecar(message))).await?;
    }
    Ok(())
}

async fn read_messages(mut reader: OwnedReadHalf, reporter: &Reporter) -> std::io::Result<()> {
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    while reader.read_buf(&mut buffer).await? > 0 {
        while let Some(message) = split_frame(&mut buffer).map_err(std::io::Error::other)? {
            // What a node says to its peers is not for sidecars.
            if let FromNode::Node(message) = message {
                reporter.report(ConnectionEvent::Received(message));
            }
        }
    }
    Ok(())
}
