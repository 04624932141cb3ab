//! Ordered connections, which can break, and unreliable datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_node_core::Event as NodeEvent;
use elderworks_protocol::gossip::Datagram;
use elderworks_protocol::peer::{FromNode, Hello, PeerMessage, ToNode};
use elderworks_protocol::sidecar::{NodeAddress, NodeMessage, SidecarMessage};
use elderworks_sidecar_core::Event as SidecarEvent;

use super::World;
use super::callers::summary;
use super::event::{Event, NodeStart, Payload, SidecarStart};
use crate::kernel::{Direction, Endpoint, Instant, ProcessId};

/// Identifies a connection.
pub(crate) type ConnectionId = u64;

/// Process that opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opener {
    Sidecar(SidecarStart),
    Node(NodeStart),
}

impl Opener {
    fn endpoint(self) -> Endpoint {
        match self {
            Opener::Sidecar(start) => Endpoint::Sidecar(start.sidecar),
            Opener::Node(start) => Endpoint::Node(start.node),
        }
    }

    fn is_process(self, process: ProcessId) -> bool {
        match self {
            Opener::Sidecar(start) => process == ProcessId::Sidecar(start.sidecar),
            Opener::Node(start) => process == ProcessId::Node(start.node),
        }
    }
}

/// An open connection. A broken connection is removed, and messages in transit on it are lost.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    opener: Opener,
    acceptor: NodeStart,
    last_to_node: Instant,
    last_from_node: Instant,
}

/// Maximum time for which data can be delayed before the connection breaks.
const RETRANSMISSION_LIMIT: Duration = Duration::from_secs(4);

/// Time after which an unanswered connection attempt fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    /// Handles a sidecar's attempt to connect to a node.
    pub(super) fn on_connect(&mut self, from: SidecarStart, address: SocketAddr) {
        let Some(node) = self.node_by_address(address) else {
            self.deliver_to_sidecar_later(
                from,
                CONNECT_TIMEOUT,
                SidecarEvent::Disconnected { address },
            );
            return;
        };
        let there = Direction {
            from: Endpoint::Sidecar(from.sidecar),
            to: Endpoint::Node(node),
        };
        let back = Direction {
            from: there.to,
            to: there.from,
        };
        let is_cut = [there, back]
            .iter()
            .any(|direction| self.network.cut_until(*direction, self.now).is_some());
        if is_cut || self.nodes[node].vanished {
            self.deliver_to_sidecar_later(
                from,
                CONNECT_TIMEOUT,
                SidecarEvent::Disconnected { address },
            );
            return;
        }
        let delay = self.network.delay(false, back);
        if !self.nodes[node].slot.is_alive() {
            self.deliver_to_sidecar_later(from, delay, SidecarEvent::Disconnected { address });
            return;
        }
        let acceptor = self.node_start(node);
        let connection = self.open_connection(Opener::Sidecar(from), acceptor);
        self.sidecars[from.sidecar]
            .connections
            .insert(address, connection);
        let hello = ToNode::Hello(Hello::Sidecar {
            sidecar: self.sidecars[from.sidecar].seed,
        });
        self.send_on_connection(connection, Payload::ToNode(Box::new(hello)));
        self.deliver_to_sidecar_later(from, delay, SidecarEvent::Connected { address });
    }

    fn open_connection(&mut self, opener: Opener, acceptor: NodeStart) -> ConnectionId {
        self.connections_opened += 1;
        let connection = Connection {
            opener,
            acceptor,
            last_to_node: self.now,
            last_from_node: self.now,
        };
        self.connections.insert(self.connections_opened, connection);
        self.connections_opened
    }

    /// Sends a message from a sidecar to a node; dropped if there is no connection.
    pub(super) fn send_from_sidecar(
        &mut self,
        from: SidecarStart,
        address: SocketAddr,
        message: SidecarMessage,
    ) {
        let found = self.sidecars[from.sidecar]
            .connections
            .get(&address)
            .copied();
        if let Some(connection) = found {
            let message = ToNode::Sidecar(message);
            self.send_on_connection(connection, Payload::ToNode(Box::new(message)));
        }
    }

    /// Sends a message from a node to a peer, opening a connection if necessary.
    pub(super) fn send_to_peer(
        &mut self,
        from: NodeStart,
        peer: &NodeAddress,
        message: PeerMessage,
    ) {
        let Some(node) = self.node_by_address(peer.address) else {
            return;
        };
        if !self.nodes[node].slot.is_alive() {
            return;
        }
        let existing = self.nodes[from.node].peer_connections.get(&node).copied();
        let connection = existing.filter(|id| self.connections.contains_key(id));
        let connection = connection.unwrap_or_else(|| {
            let acceptor = self.node_start(node);
            let id = self.open_connection(Opener::Node(from), acceptor);
            self.nodes[from.node].peer_connections.insert(node, id);
            let name = self.nodes[from.node].settings.node.clone();
            let hello = ToNode::Hello(Hello::Peer { node: name });
            self.send_on_connection(id, Payload::ToNode(Box::new(hello)));
            id
        });
        self.send_on_connection(connection, Payload::ToNode(Box::new(ToNode::Peer(message))));
    }

    /// Sends a message on a connection. Messages arrive in order, are delayed while the direction is
    /// cut, and are lost if the connection breaks.
    pub(super) fn send_on_connection(&mut self, id: ConnectionId, payload: Payload) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let opener = connection.opener.endpoint();
        let acceptor = Endpoint::Node(connection.acceptor.node);
        let is_to_node = matches!(payload, Payload::ToNode(_));
        let (from, to) = if is_to_node {
            (opener, acceptor)
        } else {
            (acceptor, opener)
        };
        let direction = Direction { from, to };
        let mut start = self.now;
        if let Some(until) = self.network.cut_until(direction, self.now) {
            if until.since(self.now) > RETRANSMISSION_LIMIT {
                self.schedule(RETRANSMISSION_LIMIT, Event::Break(id));
                return;
            }
            start = until;
        }
        let delay = self.network.delay(self.same_zone(from, to), direction);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let last = if is_to_node {
            &mut connection.last_to_node
        } else {
            &mut connection.last_from_node
        };
        let at = start.after(delay).max(last.after(Duration::from_micros(1)));
        *last = at;
        let event = Event::MessageArrival {
            connection: id,
            payload,
        };
        self.queue.schedule(at, event);
    }

    /// Delivers a message that has arrived at the other end of its connection.
    pub(super) fn on_message_arrival(&mut self, id: ConnectionId, payload: Payload) {
        let Some(connection) = self.connections.get(&id).cloned() else {
            return;
        };
        match payload {
            Payload::ToNode(message) => {
                let input = NodeEvent::Received {
                    connection: id,
                    message: *message,
                };
                self.record_received(&input, connection.acceptor.node);
                self.deliver_to_node(connection.acceptor, input);
            }
            Payload::FromNode(message) => self.deliver_from_node(&connection, *message),
        }
    }

    fn deliver_from_node(&mut self, connection: &Connection, message: FromNode) {
        let acceptor = connection.acceptor.node;
        match (connection.opener, message) {
            (Opener::Sidecar(start), FromNode::Node(message)) => {
                self.trace_reply(acceptor, start, &message);
                let address = self.nodes[acceptor].settings.address;
                self.deliver_to_sidecar(start, SidecarEvent::Received { address, message });
            }
            (Opener::Node(start), FromNode::Peer(message)) => {
                let node = self.nodes[acceptor].settings.node.clone();
                self.deliver_to_node(start, NodeEvent::PeerReply { node, message });
            }
            (opener, message) => {
                self.trace.line(
                    self.now,
                    format_args!("misdirected to {opener:?}: {message:?}"),
                );
            }
        }
    }

    fn trace_reply(&mut self, node: usize, to: SidecarStart, message: &NodeMessage) {
        let what = match message {
            NodeMessage::RunView { view, .. } => {
                let messages = view.as_ref().map(|view| view.history.len());
                format!("run with {messages:?} messages")
            }
            NodeMessage::NotOwner { run, number, .. } => format!("does not own {run} {number:?}"),
            NodeMessage::CallEnded { call, outcome, .. } => {
                format!("{call} has ended {}", summary(outcome))
            }
            NodeMessage::RunRefused { run, refusal } => format!("{run}: {refusal:?}"),
            NodeMessage::RunEnded { run, phase } => format!("{run} is {phase:?}"),
            _ => return,
        };
        let sidecar = to.sidecar;
        self.trace.line(
            self.now,
            format_args!("node-{node} tells sidecar-{sidecar}: {what}"),
        );
    }

    /// Breaks a connection and notifies the acceptor and, if it is a sidecar, the opener.
    pub(super) fn on_break(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.deliver_to_node(connection.acceptor, NodeEvent::Closed { connection: id });
        self.notify_opener(&connection, id);
    }

    fn notify_opener(&mut self, connection: &Connection, id: ConnectionId) {
        if let Opener::Sidecar(start) = connection.opener {
            let address = self.nodes[connection.acceptor.node].settings.address;
            let present = self.sidecars[start.sidecar].connections.get(&address);
            if present == Some(&id) {
                self.sidecars[start.sidecar].connections.remove(&address);
                self.deliver_to_sidecar(start, SidecarEvent::Disconnected { address });
            }
        }
    }

    /// Breaks all connections of a dead process: immediately if its machine resets them, or after the
    /// retransmission limit if the machine vanished.
    pub(super) fn break_connections_of(&mut self, process: ProcessId, vanished: bool) {
        let ids: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.opener.is_process(process)
                    || process == ProcessId::Node(connection.acceptor.node)
            })
            .map(|(id, _)| *id)
            .collect();
        let delay = if vanished {
            RETRANSMISSION_LIMIT
        } else {
            Duration::from_millis(1)
        };
        for id in ids {
            self.schedule(delay, Event::Break(id));
        }
    }

    /// Sends a datagram, which may be lost, duplicated or reordered.
    pub(super) fn send_datagram(&mut self, from: NodeStart, to: SocketAddr, datagram: &Datagram) {
        let Some(node) = self.node_by_gossip_address(to) else {
            return;
        };
        let direction = Direction {
            from: Endpoint::Node(from.node),
            to: Endpoint::Node(node),
        };
        let same_zone = self.same_zone(direction.from, direction.to);
        let source = self.nodes[from.node].settings.gossip_address;
        let receiver = self.node_start(node);
        for delay in self.network.datagram_delays(same_zone, direction, self.now) {
            let input = NodeEvent::Datagram {
                from: source,
                datagram: datagram.clone(),
            };
            self.deliver_to_node_later(receiver, delay, input);
        }
    }
}
