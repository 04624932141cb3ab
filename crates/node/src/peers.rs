//! Outgoing connections to peers.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_rt::net::TcpStream;
use bytes::BytesMut;
use elderworks_node_core::Event;
use elderworks_protocol::peer::{FromNode, Hello, PeerMessage, ToNode};
use elderworks_protocol::sidecar::NodeAddress;
use elderworks_protocol::split_frame;
use elderworks_types::NodeId;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::counters::SharedCounters;
use crate::input::{Input, InputSender};
use crate::listener::write_messages;

/// Maximum number of messages queued for one peer. Further ones are dropped; the protocol between
/// nodes repeats requests that got no reply.
const PEER_QUEUE_CAPACITY: usize = 1_024;

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a received message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Connections to peers, opened when first needed.
pub(crate) struct PeerConnections {
    node: NodeId,
    inputs: InputSender,
    counters: SharedCounters,
    queues: BTreeMap<NodeId, PeerQueue>,
}

struct PeerQueue {
    peer: NodeAddress,
    messages: mpsc::Sender<ToNode>,
}

impl PeerConnections {
    pub(crate) fn new(node: NodeId, inputs: InputSender, counters: SharedCounters) -> Self {
        Self {
            node,
            inputs,
            counters,
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message for a peer. If the queue is full or closed, drops and counts the message.
    pub(crate) fn send(&mut self, peer: NodeAddress, message: PeerMessage) {
        let queue = self.queue(peer);
        if queue.try_send(ToNode::Peer(message)).is_err() {
            self.counters
                .add(|counters| &mut counters.peer_messages_dropped);
        }
    }

    /// Returns the peer's queue, after opening a new connection if the peer's address changed or the
    /// previous connection ended.
    fn queue(&mut self, peer: NodeAddress) -> mpsc::Sender<ToNode> {
        if let Some(queue) = self.queues.get(&peer.node)
            && queue.peer == peer
            && !queue.messages.is_closed()
        {
            return queue.messages.clone();
        }
        let (messages, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
        let hello = ToNode::Hello(Hello::Peer {
            node: self.node.clone(),
        });
        // This cannot fail because the queue is new and empty.
        let _ = messages.try_send(hello);
        let task = serve_peer(peer.clone(), receiver, self.inputs.clone());
        actix_rt::spawn(task);
        let queue = PeerQueue {
            peer: peer.clone(),
            messages: messages.clone(),
        };
        self.queues.insert(peer.node, queue);
        messages
    }
}

async fn serve_peer(peer: NodeAddress, queue: mpsc::Receiver<ToNode>, inputs: InputSender) {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address));
    let Ok(Ok(stream)) = connecting.await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = read_replies(reader, &peer.node, &inputs) => {}
        () = write_messages(writer, queue) => {}
    }
}

/// Passes the peer's messages to the driver until the connection ends, is idle for too long or
/// carries malformed bytes.
async fn read_replies(mut reader: OwnedReadHalf, node: &NodeId, inputs: &InputSender) {
    let mut buffer = BytesMut::new();
    loop {
        loop {
            let message = match split_frame::<FromNode>(&mut buffer) {
                Ok(Some(FromNode::Peer(message))) => message,
                Ok(Some(FromNode::Node(_))) | Err(_) => return,
                Ok(None) => break,
            };
            let node = node.clone();
            let reply = Event::PeerReply { node, message };
            if inputs.send(Input::Event(Box::new(reply))).await.is_err() {
                return;
            }
        }
        match timeout(IDLE_TIMEOUT, reader.read_buf(&mut buffer)).await {
            Ok(Ok(read)) if read > 0 => {}
            _ => return,
        }
    }
}
