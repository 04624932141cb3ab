//! An in-memory log, the nodes that follow it, and helpers for the events of back ends.
#![allow(dead_code)]

pub mod build;
pub mod chaos;
pub mod environment;
pub mod invariants;

use std::time::Duration;

use elderworks_execution::event::AttemptFailure;
use elderworks_execution::{BackendRequest, Effect, Event, ExecutionSettings, Partition};
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{Record, Writer};
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{
    Attempt, CallId, EngineId, Epoch, Incarnation, NodeId, Offset, Outcome, PartitionId, Sequence,
    Timestamp, Usage,
};

/// Index of a node in [`World::nodes`].
pub type Node = usize;

/// A node that follows the partition.
pub struct Follower {
    pub partition: Partition,
    pub writer: Writer,
    /// Records that aren't appended yet.
    pub outbox: Vec<Record<JournalBody>>,
    sequence: Sequence,
    read: usize,
    /// Whether the node is paused: a paused node processes no events.
    pub paused: bool,
    /// Effects other than appends, in order, that the test hasn't taken yet.
    pub effects: Vec<Effect>,
}

/// The log and the nodes that follow it.
pub struct World {
    pub now: Timestamp,
    pub log: Vec<Record<JournalBody>>,
    pub nodes: Vec<Follower>,
    settings: ExecutionSettings,
    /// Whether the log accepts appends.
    pub log_up: bool,
    /// Number of times that each append is stored, to simulate duplicates.
    pub copies: usize,
}

impl World {
    pub fn new(count: usize) -> Self {
        Self::with(count, ExecutionSettings::default())
    }

    pub fn with(count: usize, settings: ExecutionSettings) -> Self {
        let mut world = Self {
            now: Timestamp(1_000_000),
            log: Vec::new(),
            nodes: Vec::new(),
            settings,
            log_up: true,
            copies: 1,
        };
        for _ in 0..count {
            world.add_node();
        }
        world
    }

    /// Creates a world in which node 0 owns the partition.
    pub fn owned() -> Self {
        Self::owned_with(ExecutionSettings::default())
    }

    pub fn owned_with(settings: ExecutionSettings) -> Self {
        let mut world = Self::with(2, settings);
        world.event(0, Event::Claim { forced: true });
        world.take_effects(0);
        world
    }

    pub fn add_node(&mut self) -> Node {
        let index = self.nodes.len();
        let name = NodeId::new(format!("node-{index}"));
        let follower = self.follower(name, Incarnation(1));
        self.nodes.push(follower);
        self.settle();
        index
    }

    fn follower(&self, node: NodeId, incarnation: Incarnation) -> Follower {
        let writer = Writer { node, incarnation };
        Follower {
            partition: Partition::new(PartitionId(0), writer.clone(), self.settings.clone()),
            writer,
            outbox: Vec::new(),
            sequence: Sequence(0),
            read: 0,
            paused: false,
            effects: Vec::new(),
        }
    }

    /// Restarts a node and delivers the log to it. Records that it had not appended are lost.
    pub fn restart(&mut self, node: Node) {
        self.restart_unread(node);
        self.settle();
    }

    /// Same as [`Self::restart`], without delivering the log.
    pub fn restart_unread(&mut self, node: Node) {
        let old = &self.nodes[node].writer;
        let fresh = self.follower(old.node.clone(), old.incarnation.next());
        self.nodes[node] = fresh;
    }

    /// Makes a node stop following the partition and follow it again from the start of the stream.
    /// Its writer and sequence numbers continue.
    pub fn reopen(&mut self, node: Node) {
        let old = &self.nodes[node];
        let fresh = Follower {
            sequence: old.sequence,
            ..self.follower(old.writer.node.clone(), old.writer.incarnation)
        };
        self.nodes[node] = fresh;
        self.settle();
    }

    /// Passes an event to a node, then appends and delivers all resulting records.
    pub fn event(&mut self, node: Node, event: Event) {
        self.feed(node, event);
        self.settle();
    }

    /// Passes an event to a node; the resulting records stay in the outbox.
    pub fn feed(&mut self, node: Node, event: Event) {
        let now = self.now;
        let follower = &mut self.nodes[node];
        let effects = follower.partition.handle(now, event);
        for effect in effects {
            match effect {
                Effect::Append { epoch, body } => follower.stamp(epoch, body),
                other => follower.effects.push(other),
            }
        }
    }

    /// Appends all outboxes and delivers the log to all nodes until nothing is left to do.
    pub fn settle(&mut self) {
        loop {
            let appended = self.flush();
            let delivered = self.deliver();
            if !appended && !delivered {
                return;
            }
        }
    }

    pub fn flush(&mut self) -> bool {
        if !self.log_up {
            return false;
        }
        let mut moved = false;
        for node in &mut self.nodes {
            if node.paused || node.outbox.is_empty() {
                continue;
            }
            let batch = std::mem::take(&mut node.outbox);
            for _ in 0..self.copies {
                self.log.extend(batch.iter().cloned());
            }
            moved = true;
        }
        moved
    }

    /// Appends the outbox of one node `copies` times; with 0 copies the outbox stays as it is.
    pub fn flush_node(&mut self, node: Node, copies: usize) {
        if !self.log_up || copies == 0 || self.nodes[node].paused {
            return;
        }
        let batch = std::mem::take(&mut self.nodes[node].outbox);
        for _ in 0..copies {
            self.log.extend(batch.iter().cloned());
        }
    }

    fn deliver(&mut self) -> bool {
        let mut moved = false;
        for index in 0..self.nodes.len() {
            while self.deliver_one(index) {
                moved = true;
            }
        }
        moved
    }

    /// Delivers the next record of the log to a node. Returns whether there was one.
    pub fn deliver_one(&mut self, node: Node) -> bool {
        let position = self.nodes[node].read;
        if self.nodes[node].paused || position >= self.log.len() {
            return false;
        }
        self.nodes[node].read += 1;
        let event = Event::RecordRead {
            offset: Offset(position as u64),
            record: self.log[position].clone(),
        };
        self.feed(node, event);
        true
    }

    /// Returns a new reader that has read the log from `offset` on.
    pub fn reader_from(&self, offset: usize) -> Partition {
        let mut reader = self.follower(NodeId::new("reader"), Incarnation(1));
        for (position, record) in self.log.iter().enumerate().skip(offset) {
            let event = Event::RecordRead {
                offset: Offset(position as u64),
                record: record.clone(),
            };
            reader.partition.handle(self.now, event);
        }
        reader.partition
    }

    /// Advances the time in small steps and sends a tick to every node at each step.
    pub fn advance_time(&mut self, duration: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.nodes.len() {
                if !self.nodes[index].paused {
                    self.feed(index, Event::Tick);
                }
            }
            self.settle();
        }
    }

    pub fn take_effects(&mut self, node: Node) -> Vec<Effect> {
        std::mem::take(&mut self.nodes[node].effects)
    }

    /// Removes and returns the messages sent by a node; other effects stay.
    pub fn take_messages(&mut self, node: Node) -> Vec<NodeMessage> {
        let effects = self.take_effects(node);
        let mut messages = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { message, .. } => messages.push(message),
                other => self.nodes[node].effects.push(other),
            }
        }
        messages
    }

    /// Removes the messages sent by a node and returns the outcomes among them.
    pub fn take_outcomes(&mut self, node: Node) -> Vec<(CallId, Outcome)> {
        let messages = self.take_messages(node);
        messages
            .into_iter()
            .filter_map(|message| match message {
                NodeMessage::CallEnded { call, outcome, .. } => Some((call, outcome)),
                _ => None,
            })
            .collect()
    }

    /// Removes and returns the dispatches of a node; other effects stay.
    pub fn take_dispatches(&mut self, node: Node) -> Vec<(CallId, Attempt, BackendRequest)> {
        let effects = self.take_effects(node);
        let mut dispatches = Vec::new();
        for effect in effects {
            match effect {
                Effect::Dispatch {
                    call,
                    attempt,
                    request,
                    ..
                } => dispatches.push((call, attempt, request)),
                other => self.nodes[node].effects.push(other),
            }
        }
        dispatches
    }

    pub fn place(&mut self, node: Node, call: CallId, attempt: u32, engine: &str) {
        let event = Event::AttemptPlaced {
            call,
            attempt: Attempt(attempt),
            engine: Some(EngineId::new(engine)),
            note: "chosen by the test".to_owned(),
        };
        self.event(node, event);
    }

    pub fn chunk(&mut self, node: Node, call: CallId, attempt: u32, index: u32, text: &str) {
        let event = Event::AttemptChunk {
            call,
            attempt: Attempt(attempt),
            index,
            text: text.to_owned(),
        };
        self.event(node, event);
    }

    pub fn complete(&mut self, node: Node, call: CallId, attempt: u32, content: &str) {
        let event = Event::AttemptCompleted {
            call,
            attempt: Attempt(attempt),
            content: content.to_owned(),
            usage: Usage {
                prompt: elderworks_types::Tokens(4),
                cached: elderworks_types::Tokens(0),
                output: elderworks_types::Tokens(2),
            },
        };
        self.event(node, event);
    }

    pub fn fail(&mut self, node: Node, call: CallId, attempt: u32, failure: AttemptFailure) {
        let event = Event::AttemptFailed {
            call,
            attempt: Attempt(attempt),
            failure,
        };
        self.event(node, event);
    }

    /// Makes a node claim the partition without waiting for a release.
    pub fn take_over(&mut self, node: Node) {
        self.event(node, Event::Claim { forced: true });
    }

    pub fn digests(&self) -> Vec<u64> {
        let readers = self.nodes.iter().filter(|node| !node.paused);
        readers.map(|node| node.partition.state_digest()).collect()
    }
}

impl Follower {
    fn stamp(&mut self, epoch: Epoch, body: JournalBody) {
        self.sequence = self.sequence.next();
        self.outbox.push(Record {
            writer: self.writer.clone(),
            sequence: self.sequence,
            epoch,
            body,
        });
    }
}
