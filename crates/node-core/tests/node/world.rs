//! Nodes on a virtual clock with an in-memory log.
//!
//! Messages are delivered immediately and in order, and back ends answer immediately or never. The
//! simulation covers networks that lose and reorder messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_control::ControlBody;
use elderworks_execution::ExecutionSettings;
use elderworks_node_core::core::TICK_INTERVAL;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::{Connection, NoAnswer, OperatorRequest, ReadRecords};
use elderworks_node_core::{Effect, Event, NodeCore, NodeSettings};
use elderworks_protocol::decode;
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::peer::{FromNode, Hello, ToNode};
use elderworks_protocol::record::{RecordBatch, StreamName};
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_types::resource::Resource;
use elderworks_types::{CellId, NodeId, Offset, PartitionId, Timestamp, Usage, ZoneId};

pub const PARTITIONS: u32 = 8;

/// The connection by which a test acts as a sidecar of each node.
pub const SIDECAR: Connection = 1;

/// Number of records of a partition between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 100;

/// Maximum virtual time to wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// Behaviour of engines and tools for new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackEnds {
    /// Answer immediately.
    Answer,
    /// Never answer.
    Hang,
}

/// A node, its pending input and everything that it has sent.
pub struct TestNode {
    core: NodeCore,
    pub paused: bool,
    delayed_events: VecDeque<Event>,
    pub ready: bool,
    pub drained: bool,
    open_reads: Vec<(StreamName, Offset, Timestamp)>,
    pub sent: Vec<(Connection, NodeMessage)>,
    pub replies: Vec<OperatorReply>,
    pub effects: Vec<Effect>,
}

/// A fleet of nodes with their log, back ends and network.
pub struct World {
    pub now: Timestamp,
    pub log: BTreeMap<StreamName, Vec<Vec<u8>>>,
    /// Whether the log answers at all.
    pub log_up: bool,
    /// Nodes that get no answers from the log.
    pub cut_from_log: BTreeSet<NodeId>,
    pub back_ends: BackEnds,
    /// A node to pause when it next appends the start of an attempt.
    pub pause_at_attempt: Option<NodeId>,
    pub nodes: BTreeMap<NodeId, TestNode>,
    addresses: BTreeMap<SocketAddr, NodeId>,
    queue: VecDeque<(NodeId, Event)>,
    starts: u64,
    cells: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_000))
}

pub fn name(index: usize) -> NodeId {
    NodeId::new(format!("node-{index}"))
}

impl World {
    /// Starts the given number of nodes in one cell.
    pub fn new(nodes: usize) -> Self {
        Self::with_cells(nodes, 1)
    }

    /// Starts the given number of nodes, distributed over `cells` cells.
    pub fn with_cells(nodes: usize, cells: usize) -> Self {
        let mut world = Self {
            now: Timestamp(1_000_000),
            log: BTreeMap::new(),
            log_up: true,
            cut_from_log: BTreeSet::new(),
            back_ends: BackEnds::Answer,
            pause_at_attempt: None,
            nodes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            queue: VecDeque::new(),
            starts: 0,
            cells,
        };
        for index in 0..nodes {
            world.start(index);
        }
        world
    }

    /// Starts or restarts a node, which keeps no state.
    pub fn start(&mut self, index: usize) {
        self.starts += 1;
        let settings = NodeSettings {
            node: name(index),
            zone: ZoneId::new(format!("zone-{}", index % 3)),
            cell: CellId::new(format!("cell-{}", index % self.cells)),
            gossip_address: address(index),
            address: address(index),
            seeds: vec![address(0), address(1)],
            partition_count: PARTITIONS,
            seed: self.starts,
            execution: ExecutionSettings {
                snapshot_interval: SNAPSHOT_INTERVAL,
                ..ExecutionSettings::default()
            },
        };
        let node = TestNode {
            core: NodeCore::new(settings),
            paused: false,
            delayed_events: VecDeque::new(),
            ready: false,
            drained: false,
            open_reads: Vec::new(),
            sent: Vec::new(),
            replies: Vec::new(),
            effects: Vec::new(),
        };
        self.addresses.insert(address(index), name(index));
        self.nodes.insert(name(index), node);
        let hello = ToNode::Hello(Hello::Sidecar { sidecar: 1 });
        self.handle(
            index,
            Event::Received {
                connection: SIDECAR,
                message: hello,
            },
        );
    }

    /// Removes a node without a drain.
    pub fn kill(&mut self, index: usize) {
        self.nodes.remove(&name(index));
    }

    pub fn node(&mut self, index: usize) -> &mut TestNode {
        self.nodes
            .get_mut(&name(index))
            .expect("the node is running")
    }

    pub fn owned(&self, index: usize) -> BTreeSet<PartitionId> {
        let node = &self.nodes[&name(index)];
        node.core.owned_partitions().collect()
    }

    pub fn counters(&self, index: usize) -> elderworks_node_core::Counters {
        *self.nodes[&name(index)].core.counters()
    }

    /// Returns the partitions that unpaused nodes own, once for each owner.
    pub fn owners(&self) -> Vec<PartitionId> {
        let owned = self.nodes.values().filter(|node| !node.paused);
        let mut owned: Vec<PartitionId> = owned
            .flat_map(|node| node.core.owned_partitions().collect::<Vec<_>>())
            .collect();
        owned.sort();
        owned
    }

    /// Returns whether every partition has exactly one unpaused owner.
    pub fn settled(&self) -> bool {
        self.owners() == (0..PARTITIONS).map(PartitionId).collect::<Vec<_>>()
    }

    /// Delivers an event to a node.
    pub fn handle(&mut self, index: usize, event: Event) {
        self.queue.push_back((name(index), event));
        self.deliver();
    }

    /// Sends a message to a node as its sidecar.
    pub fn send(&mut self, index: usize, message: SidecarMessage) {
        self.handle(
            index,
            Event::Received {
                connection: SIDECAR,
                message: ToNode::Sidecar(message),
            },
        );
    }

    /// Requests a change of a resource as an operator.
    pub fn apply(&mut self, index: usize, resource: Resource) {
        let body = ControlBody::Put {
            resource,
            expected: None,
        };
        let question = OperatorRequest::Change(body);
        self.handle(
            index,
            Event::Operator {
                request: 1,
                question,
            },
        );
    }

    /// Advances the clock until a condition holds.
    pub fn run_until(&mut self, what: &str, mut condition: impl FnMut(&mut World) -> bool) {
        let deadline = self.now + MAX_WAIT;
        while !condition(self) {
            assert!(self.now < deadline, "condition not met in time: {what}");
            self.tick();
        }
    }

    /// Advances the clock.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        self.answer_reads();
        for node in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.queue.push_back((node, Event::Tick));
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        while let Some((id, event)) = self.queue.pop_front() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if node.paused {
                if !matches!(event, Event::Tick) {
                    node.delayed_events.push_back(event);
                }
                continue;
            }
            let effects = node.core.handle(self.now, event);
            for effect in effects {
                self.carry_out(&id, effect);
            }
        }
    }

    /// Resumes a paused node and delivers the events that arrived during the pause.
    pub fn resume(&mut self, index: usize) {
        let node = self.node(index);
        node.paused = false;
        for event in std::mem::take(&mut node.delayed_events) {
            self.queue.push_back((name(index), event));
        }
        self.deliver();
    }

    fn carry_out(&mut self, id: &NodeId, effect: Effect) {
        match effect.clone() {
            Effect::Append {
                stream,
                token,
                bytes,
            } => {
                let result = self.append(id, stream, bytes);
                let event = Event::LogAppended { token, result };
                self.queue.push_back((id.clone(), event));
            }
            Effect::Read { stream, from, wait } => {
                let until = self.now + wait;
                self.record(id, |node| node.open_reads.push((stream, from, until)));
                self.answer_reads_of(id);
            }
            Effect::SendDatagram { to, datagram } => {
                if let Some(peer) = self.addresses.get(&to) {
                    let from = self.address_of(id);
                    let event = Event::Datagram { from, datagram };
                    self.queue.push_back((peer.clone(), event));
                }
            }
            Effect::Send {
                connection,
                message,
            } => match message {
                FromNode::Node(message) => {
                    self.record(id, |node| node.sent.push((connection, message)));
                }
                FromNode::Peer(message) => {
                    let peer = name(connection as usize - PEER_CONNECTIONS as usize);
                    let node = id.clone();
                    let event = Event::PeerReply { node, message };
                    self.queue.push_back((peer, event));
                }
            },
            Effect::SendPeer { peer, message } => self.send_peer(id, &peer.node, message),
            Effect::OperatorReply { reply, .. } => {
                self.record(id, |node| node.replies.push(reply));
            }
            Effect::Ready(ready) => self.record(id, |node| node.ready = ready),
            Effect::Drained => self.record(id, |node| node.drained = true),
            effect => self.back_end(id, effect),
        }
        self.record(id, |node| node.effects.push(effect));
    }

    fn send_peer(
        &mut self,
        from: &NodeId,
        to: &NodeId,
        message: elderworks_protocol::peer::PeerMessage,
    ) {
        let index: usize = from.as_str()["node-".len()..].parse().expect("an index");
        let connection = PEER_CONNECTIONS + index as u64;
        let hello = ToNode::Hello(Hello::Peer { node: from.clone() });
        for message in [hello, ToNode::Peer(message)] {
            let event = Event::Received {
                connection,
                message,
            };
            self.queue.push_back((to.clone(), event));
        }
    }

    fn back_end(&mut self, id: &NodeId, effect: Effect) {
        if self.back_ends == BackEnds::Hang {
            return;
        }
        let events = match effect {
            Effect::Generate(generate) => {
                let ticket = generate.ticket;
                let chunk = Event::AttemptChunk {
                    ticket,
                    index: generate.first_chunk,
                    text: "answer".to_owned(),
                };
                let completed = Event::AttemptCompleted {
                    ticket,
                    content: "answer".to_owned(),
                    usage: Usage::default(),
                };
                vec![chunk, completed]
            }
            Effect::InvokeTool { ticket, .. } => vec![Event::AttemptCompleted {
                ticket,
                content: "{}".to_owned(),
                usage: Usage::default(),
            }],
            Effect::ReleaseMemory { run, engine, .. } => {
                vec![Event::MemoryReleased { run, engine }]
            }
            _ => Vec::new(),
        };
        for event in events {
            self.queue.push_back((id.clone(), event));
        }
    }

    fn record(&mut self, id: &NodeId, change: impl FnOnce(&mut TestNode)) {
        if let Some(node) = self.nodes.get_mut(id) {
            change(node);
        }
    }

    fn address_of(&self, id: &NodeId) -> SocketAddr {
        let known = self.addresses.iter().find(|(_, node)| *node == id);
        *known.expect("every node has an address").0
    }

    fn answers(&self, id: &NodeId) -> bool {
        self.log_up && !self.cut_from_log.contains(id)
    }

    fn append(
        &mut self,
        id: &NodeId,
        stream: StreamName,
        bytes: Vec<u8>,
    ) -> Result<Offset, NoAnswer> {
        if !self.answers(id) {
            return Err(NoAnswer);
        }
        if self.pause_at_attempt.as_ref() == Some(id) && starts_attempt(&bytes) {
            self.pause_at_attempt = None;
            self.record(id, |node| node.paused = true);
        }
        let records = self.log.entry(stream).or_default();
        records.push(bytes);
        Ok(Offset(records.len() as u64 - 1))
    }

    fn answer_reads(&mut self) {
        for id in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.answer_reads_of(&id);
        }
    }

    fn answer_reads_of(&mut self, id: &NodeId) {
        let up = self.answers(id);
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        for (stream, from, until) in std::mem::take(&mut node.open_reads) {
            let records = self.log.get(&stream).map(Vec::as_slice).unwrap_or_default();
            let end = records.len() as u64;
            if up && from.0 >= end && self.now < until {
                node.open_reads.push((stream, from, until));
                continue;
            }
            let result = match up {
                true => Ok(ReadRecords {
                    records: (from.0..end)
                        .map(|offset| (Offset(offset), records[offset as usize].clone()))
                        .collect(),
                    end: Offset(end),
                }),
                false => Err(NoAnswer),
            };
            let event = Event::LogRead {
                stream,
                from,
                result,
            };
            self.queue.push_back((id.clone(), event));
        }
    }
}

fn starts_attempt(bytes: &[u8]) -> bool {
    let batch = decode::<RecordBatch<JournalBody>>(bytes);
    let records = batch.map(|batch| batch.records).unwrap_or_default();
    let mut bodies = records.iter().map(|record| &record.body);
    bodies.any(|body| matches!(body, JournalBody::AttemptStarted { .. }))
}

/// Connections from this number on belong to peers.
const PEER_CONNECTIONS: Connection = 1_000;
