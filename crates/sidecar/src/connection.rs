//! A TCP connection to a node that exchanges framed messages.

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

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of messages waiting to be written; the connection is dropped beyond that.
const OUTBOX_CAPACITY: usize = 4096;

const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Identifies a connection, so that late reports of a previous one to the same node are ignored.
pub type ConnectionId = u64;

/// An event on a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The connection is established.
    Ready,
    /// The node sent a message.
    Received(NodeMessage),
    /// The connection could not be established, or was lost.
    Closed,
}

/// A report from a connection to the driver.
#[derive(Debug)]
pub struct ConnectionReport {
    /// The node's address.
    pub address: SocketAddr,
    /// The connection that reports.
    pub connection: ConnectionId,
    /// What happened.
    pub event: ConnectionEvent,
}

/// The driver's handle to a connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    /// Id of the connection.
    pub id: ConnectionId,
    /// Whether the connection was established.
    pub was_ready: bool,
    outbox: mpsc::Sender<SidecarMessage>,
}

impl Connection {
    /// Starts connecting to `address`. Every event of the connection is sent to `reports`.
    pub fn open(
        id: ConnectionId,
        address: SocketAddr,
        sidecar: u64,
        reports: mpsc::UnboundedSender<ConnectionReport>,
    ) -> Self {
        let (outbox, messages) = mpsc::channel(OUTBOX_CAPACITY);
        let reporter = Reporter {
            address,
            connection: id,
            reports,
        };
        actix_rt::spawn(async move {
            // The core handles all connection errors alike, so the cause is not reported.
            let _ = run_connection(address, sidecar, messages, &reporter).await;
            reporter.report(ConnectionEvent::Closed);
        });
        Self {
            id,
            was_ready: false,
            outbox,
        }
    }

    /// Queues a message. Returns `false` if the queue is full or the connection is closed.
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
        // Sending fails only if the driver has stopped, when the process is shutting down.
        let _ = self.reports.send(report);
    }
}

async fn run_connection(
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
            // Messages between nodes are not meant for sidecars.
            if let FromNode::Node(message) = message {
                reporter.report(ConnectionEvent::Received(message));
            }
        }
    }
    Ok(())
}
