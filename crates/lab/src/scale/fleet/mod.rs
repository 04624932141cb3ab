//! Hollow nodes: real failure detectors and the real choice of control source, many in one process
//! on a virtual clock, with a network that loses, delays and cuts.

pub mod experiment;
pub mod layout;
pub mod traffic;

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use elderworks_membership::settings::{PROBE_INTERVAL, PROBE_TIMEOUT, SUSPICION_TIMEOUT};
use elderworks_membership::{ControlSource, Effect, Event, Membership, MembershipSettings};
use elderworks_protocol::gossip::{CellState, Datagram, MemberState};
use elderworks_protocol::peer::{FromNode, PeerMessage, ToNode};
use elderworks_protocol::{decode, encode, frame};
use elderworks_types::{Incarnation, NodeId, Offset, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use layout::Layout;
use traffic::{Cause, DatagramParts, TCP_HEADER_BYTES, Traffic};

/// Interval of ticks, that of a real node.
pub const TICK: Duration = elderworks_node_core::core::TICK_INTERVAL;

/// Time between an append and its arrival at a reader that waits for it.
const LOG_DELAY: Duration = Duration::from_millis(20);

/// Encoded size of one change of configuration on the log, in bytes: a service resource with a dozen
/// fields, its writer and sequence.
pub const CONTROL_RECORD_BYTES: usize = 500;

/// Most control records handed over in one answer of a peer.
const MAX_CONTROL_RECORDS: u64 = 64;

/// Processor time spent in one kind of event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCost {
    /// Events handled.
    pub count: u64,
    /// Time in all.
    pub total: Duration,
}

impl EventCost {
    fn add(&mut self, elapsed: Duration) {
        self.count += 1;
        self.total += elapsed;
    }

    /// Mean in microseconds.
    pub fn mean_micros(&self) -> f64 {
        self.total.as_secs_f64() * 1e6 / (self.count.max(1) as f64)
    }
}

/// Processor time of the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetCost {
    /// Ticks.
    pub tick: EventCost,
    /// Datagrams handled.
    pub datagram: EventCost,
    /// Datagrams encoded and decoded.
    pub codec: EventCost,
}

/// One hollow node.
#[derive(Debug)]
pub struct HollowNode {
    /// Its detector.
    pub membership: Membership,
    /// What it sent and received.
    pub traffic: Traffic,
    applied: u64,
    log_seen: u64,
}

/// A change of state that a node reported.
#[derive(Clone, Debug)]
pub struct StateChange {
    /// When.
    pub at: Timestamp,
    /// Of whom.
    pub about: Subject,
}

/// Whose state changed, and to what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A member's.
    Member(NodeId, MemberState),
    /// A cell's.
    Cell(elderworks_types::CellId, CellState),
}

#[derive(Debug)]
enum Arrival {
    Tick,
    Datagram { from: SocketAddr, bytes: Vec<u8> },
    ControlFetch { by: usize, from: u64 },
    ControlRecords { until: u64 },
    LogRecords { until: u64 },
}

/// Something on its way to a node; ordered by time, then by number.
#[derive(Debug)]
struct Scheduled {
    at: Timestamp,
    number: u64,
    node: usize,
    arrival: Arrival,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// All hollow nodes and their network.
pub struct HollowFleet {
    /// Places of the nodes.
    pub layout: Layout,
    /// The virtual clock.
    pub now: Timestamp,
    /// The nodes; `None` where one was killed.
    pub nodes: Vec<Option<HollowNode>>,
    /// Share of messages lost, in percent.
    pub loss_percent: f64,
    /// Changes of state reported while recording.
    pub changes: Vec<StateChange>,
    /// Processor time so far.
    pub cost: FleetCost,
    /// For each control revision, when it was appended.
    pub appended: Vec<Timestamp>,
    /// For each control revision, when the last node applied it, and how many have.
    pub in_force: BTreeMap<u64, (usize, Timestamp)>,
    /// Regions that are cut off from all others.
    pub cut_regions: Vec<usize>,
    /// Reads made on the log.
    pub log_reads: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    random: ChaCha8Rng,
}

impl HollowFleet {
    /// Nodes that know only their seeds.
    pub fn new(nodes: usize, seed: u64) -> Self {
        let layout = Layout { nodes };
        let mut fleet = Self {
            layout,
            now: Timestamp(1_000_000),
            nodes: Vec::with_capacity(nodes),
            loss_percent: 0.0,
            changes: Vec::new(),
            cost: FleetCost::default(),
            appended: Vec::new(),
            in_force: BTreeMap::new(),
            cut_regions: Vec::new(),
            log_reads: 0,
            queue: BinaryHeap::new(),
            scheduled: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 0..nodes {
            fleet.nodes.push(None);
            fleet.start(node, 1);
        }
        fleet
    }

    /// Starts a node, or starts it anew under a later incarnation.
    pub fn start(&mut self, node: usize, incarnation: u64) {
        let hollow = HollowNode {
            membership: Membership::new(self.settings(node, incarnation)),
            traffic: Traffic::default(),
            applied: 0,
            log_seen: 0,
        };
        let was_running = self.nodes[node].replace(hollow).is_some();
        if !was_running {
            let offset = TICK.as_micros() as u64 * node as u64 / self.layout.nodes as u64;
            self.schedule(
                self.now + Duration::from_micros(offset),
                node,
                Arrival::Tick,
            );
        }
    }

    fn settings(&self, node: usize, incarnation: u64) -> MembershipSettings {
        let layout = self.layout;
        MembershipSettings {
            node: layout.name(node),
            incarnation: Incarnation(incarnation),
            zone: layout.zone_name(node),
            cell: layout.cell_name(node),
            gossip_address: layout.address(node),
            address: layout.address(node),
            seeds: layout.seeds(),
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_TIMEOUT,
            suspicion_timeout: SUSPICION_TIMEOUT,
            seed: (incarnation << 32) | node as u64,
        }
    }

    /// Ends a node without a word.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Nodes that run, with their numbers.
    pub fn running(&self) -> impl Iterator<Item = (usize, &HollowNode)> {
        let numbered = self.nodes.iter().enumerate();
        numbered.filter_map(|(node, hollow)| Some((node, hollow.as_ref()?)))
    }

    /// Forgets all counters, so that the next phase is measured alone.
    pub fn reset_counters(&mut self) {
        self.cost = FleetCost::default();
        self.log_reads = 0;
        for hollow in self.nodes.iter_mut().flatten() {
            hollow.traffic = Traffic::default();
        }
    }

    /// Appends one change of configuration to the log.
    pub fn append_control_record(&mut self) {
        self.appended.push(self.now);
        let until = self.appended.len() as u64;
        for node in 0..self.nodes.len() {
            let reads = self.nodes[node].as_ref().is_some_and(|hollow| {
                hollow.membership.control_source(self.now) == ControlSource::Log
            });
            if reads {
                self.schedule(self.now + LOG_DELAY, node, Arrival::LogRecords { until });
            }
        }
    }

    /// Runs for a while.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.arrive(next.node, next.arrival);
        }
        self.now = end;
    }

    /// Runs until `done` holds, looking every `step`; `None` if `bound` passes first.
    pub fn run_until(
        &mut self,
        bound: Duration,
        step: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= bound {
                return None;
            }
            self.run(step);
        }
        Some(self.now.since(start))
    }

    fn schedule(&mut self, at: Timestamp, node: usize, arrival: Arrival) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.queue.push(Reverse(Scheduled {
            at,
            number,
            node,
            arrival,
        }));
    }

    fn arrive(&mut self, node: usize, arrival: Arrival) {
        if self.nodes[node].is_none() {
            return;
        }
        match arrival {
            Arrival::Tick => {
                self.schedule(self.now + TICK, node, Arrival::Tick);
                self.handle(node, Event::Tick);
                self.read_log_if_behind(node);
            }
            Arrival::Datagram { from, bytes } => self.receive(node, from, &bytes),
            Arrival::ControlFetch { by, from } => self.answer_fetch(node, by, from),
            Arrival::ControlRecords { until } => self.apply(node, until),
            Arrival::LogRecords { until } => self.read_from_log(node, until),
        }
    }

    fn receive(&mut self, node: usize, from: SocketAddr, bytes: &[u8]) {
        let started = Instant::now();
        let Ok(datagram) = decode::<Datagram>(bytes) else {
            return;
        };
        self.cost.codec.add(started.elapsed());
        let within_cell = datagram.cell == self.layout.cell_name(node);
        let parts = DatagramParts::of(&datagram, bytes.len(), within_cell);
        if let Some(hollow) = &mut self.nodes[node] {
            hollow.traffic.count_parts(&parts);
        }
        self.handle(node, Event::Received { from, datagram });
    }

    fn handle(&mut self, node: usize, event: Event) {
        let Some(hollow) = &mut self.nodes[node] else {
            return;
        };
        let is_tick = matches!(event, Event::Tick);
        let started = Instant::now();
        let effects = hollow.membership.handle(self.now, event);
        let elapsed = started.elapsed();
        let cost = if is_tick {
            &mut self.cost.tick
        } else {
            &mut self.cost.datagram
        };
        cost.add(elapsed);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, by: usize, effect: Effect) {
        let at = self.now;
        match effect {
            Effect::Send { to, datagram } => self.send(by, to, &datagram),
            Effect::MemberChanged { node, state } => {
                let about = Subject::Member(node, state);
                self.changes.push(StateChange { at, about });
            }
            Effect::CellChanged { cell, state } => {
                let about = Subject::Cell(cell, state);
                self.changes.push(StateChange { at, about });
            }
            Effect::ControlBehind { address, .. } => self.fetch(by, address),
        }
    }

    fn send(&mut self, by: usize, to: SocketAddr, datagram: &Datagram) {
        let started = Instant::now();
        let bytes = encode(datagram);
        self.cost.codec.add(started.elapsed());
        let target = self.layout.node_at(to);
        let within_cell = target.is_some_and(|to| self.layout.cell(to) == self.layout.cell(by));
        let parts = DatagramParts::of(datagram, bytes.len(), within_cell);
        if let Some(hollow) = &mut self.nodes[by] {
            hollow.traffic.count_parts(&parts);
        }
        let Some(target) = target else { return };
        if self.is_lost(by, target) {
            return;
        }
        let from = self.layout.address(by);
        let at = self.arrival_time(by, target);
        self.schedule(at, target, Arrival::Datagram { from, bytes });
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let cut = |node| self.cut_regions.contains(&self.layout.region(node));
        if cut(from) != cut(to) {
            return true;
        }
        self.random.random_range(0.0..100.0) < self.loss_percent
    }

    fn arrival_time(&mut self, from: usize, to: usize) -> Timestamp {
        let delay = self.layout.delay(from, to);
        let jitter = self.random.random_range(0.0..0.5);
        self.now + delay.mul_f64(1.0 + jitter)
    }

    /// A fetch from a peer goes over TCP: loss only delays it, a cut stops it.
    fn fetch(&mut self, by: usize, address: SocketAddr) {
        let Some(target) = self.layout.node_at(address) else {
            return;
        };
        let Some(hollow) = &mut self.nodes[by] else {
            return;
        };
        let from = hollow.applied;
        let message = ToNode::Peer(PeerMessage::ControlFetch { from: Offset(from) });
        let bytes = frame(&message).len() + TCP_HEADER_BYTES;
        hollow.traffic.count(Cause::Control, bytes);
        let at = self.arrival_time(by, target);
        self.schedule(at, target, Arrival::ControlFetch { by, from });
    }

    fn answer_fetch(&mut self, node: usize, by: usize, from: u64) {
        let Some(hollow) = &mut self.nodes[node] else {
            return;
        };
        let until = hollow.applied.min(from + MAX_CONTROL_RECORDS);
        let bytes = records_bytes(from, until);
        hollow.traffic.count(Cause::Control, bytes);
        if let Some(asker) = &mut self.nodes[by] {
            asker.traffic.count(Cause::Control, bytes);
        }
        if until > from {
            let at = self.arrival_time(node, by);
            self.schedule(at, by, Arrival::ControlRecords { until });
        }
    }

    fn apply(&mut self, node: usize, until: u64) {
        let Some(hollow) = &mut self.nodes[node] else {
            return;
        };
        if until <= hollow.applied {
            return;
        }
        for revision in hollow.applied..until {
            let applied = self.in_force.entry(revision).or_insert((0, self.now));
            *applied = (applied.0 + 1, self.now);
        }
        hollow.applied = until;
        let next = Offset(until);
        self.handle(node, Event::ControlApplied { next });
    }

    fn read_from_log(&mut self, node: usize, until: u64) {
        let Some(hollow) = &mut self.nodes[node] else {
            return;
        };
        if until <= hollow.log_seen {
            return;
        }
        let records = until - hollow.log_seen.max(hollow.applied.min(until));
        let bytes = records as usize * CONTROL_RECORD_BYTES + TCP_HEADER_BYTES;
        hollow.log_seen = until;
        hollow.traffic.count(Cause::ControlLog, bytes);
        self.log_reads += 1;
        self.apply(node, until);
    }

    /// A node that has just become the reader, or was failed by its peers, catches up from the log.
    fn read_log_if_behind(&mut self, node: usize) {
        let until = self.appended.len() as u64;
        let Some(hollow) = &self.nodes[node] else {
            return;
        };
        let settled = self
            .appended
            .last()
            .is_none_or(|last| self.now.since(*last) > LOG_DELAY);
        let behind = hollow.applied < until && hollow.log_seen < until && settled;
        if behind && hollow.membership.control_source(self.now) == ControlSource::Log {
            self.read_from_log(node, until);
        }
    }
}

fn records_bytes(from: u64, until: u64) -> usize {
    let records = (from..until)
        .map(|offset| (Offset(offset), vec![0; CONTROL_RECORD_BYTES]))
        .collect();
    let next = Offset(until);
    let message = FromNode::Peer(PeerMessage::ControlRecords { records, next });
    frame(&message).len() + TCP_HEADER_BYTES
}
