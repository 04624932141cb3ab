//! Incoming connections of sidecars and peers, which carry framed messages over TCP.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use bytes::BytesMut;
use elderworks_node_core::Event;
use elderworks_node_core::event::Connection;
use elderworks_protocol::peer::{FromNode, ToNode};
use elderworks_protocol::{DecodeError, frame, split_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::counters::SharedCounters;
use crate::input::{Input, InputSender};

/// Maximum number of open connections; further ones are closed immediately.
pub const MAX_CONNECTIONS: usize = 16_384;

/// Maximum number of messages queued for one connection; a connection that exceeds it is closed.
pub const OUTGOING_QUEUE_CAPACITY: usize = 4_096;

/// Timeout of a write, after which the connection is closed.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Size, in bytes, from which on no more queued messages are added to a write.
const WRITE_CHUNK_BYTES: usize = 64 * 1024;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections until the node stops, then closes the listener. Clients back off when their
/// connections are refused, but not when accepted connections are closed immediately.
pub(crate) async fn accept_connections(
    listener: TcpListener,
    inputs: InputSender,
    counters: SharedCounters,
) {
    let open = Rc::new(Cell::new(0_usize));
    let mut next_connection: Connection = 1;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = inputs.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            actix_rt::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            counters.add(|counters| &mut counters.connections_refused);
            continue;
        }
        counters.add(|counters| &mut counters.connections_accepted);
        let connection = next_connection;
        next_connection += 1;
        let served = serve_connection(stream, connection, inputs.clone(), counters.clone());
        let open = open.clone();
        open.set(open.get() + 1);
        actix_rt::spawn(async move {
            served.await;
            open.set(open.get() - 1);
        });
    }
}

/// Reads and writes one connection's messages until either side closes it.
async fn serve_connection(
    stream: TcpStream,
    connection: Connection,
    inputs: InputSender,
    counters: SharedCounters,
) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (outgoing, queue) = mpsc::channel(OUTGOING_QUEUE_CAPACITY);
    let accepted = Input::Accepted {
        connection,
        outgoing,
    };
    if inputs.send(accepted).await.is_err() {
        return;
    }
    let reading = read_messages(reader, connection, &inputs);
    let writing = write_messages(writer, queue);
    let result = tokio::select! {
        result = reading => result,
        () = writing => Ok(()),
    };
    if result.is_err() {
        counters.add(|counters| &mut counters.malformed_streams);
    }
    let _ = inputs
        .send(Input::Event(Box::new(Event::Closed { connection })))
        .await;
}

async fn read_messages(
    mut reader: OwnedReadHalf,
    connection: Connection,
    inputs: &InputSender,
) -> Result<(), DecodeError> {
    let mut buffer = BytesMut::new();
    loop {
        while let Some(message) = split_frame::<ToNode>(&mut buffer)? {
            let received = Event::Received {
                connection,
                message,
            };
            if inputs.send(Input::Event(Box::new(received))).await.is_err() {
                return Ok(());
            }
        }
        match reader.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return Ok(()),
            Ok(_) => {}
        }
    }
}

/// Writes queued messages, combining those that are already queued into one write.
pub(crate) async fn write_messages<T: serde::Serialize>(
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<T>,
) {
    let mut buffer = BytesMut::new();
    while let Some(message) = queue.recv().await {
        buffer.extend_from_slice(&frame(&message));
        while buffer.len() < WRITE_CHUNK_BYTES {
            let Ok(message) = queue.try_recv() else {
                break;
            };
            buffer.extend_from_slice(&frame(&message));
        }
        let written = timeout(WRITE_TIMEOUT, writer.write_all_buf(&mut buffer)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
    let _ = writer.shutdown().await;
}

/// The sender of a connection's outgoing queue, held by the driver.
pub(crate) type Outgoing = mpsc::Sender<FromNode>;
