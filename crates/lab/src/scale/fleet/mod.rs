//! Hollow nodes: real failure detectors and the real choice of control source, many in one process
//! on a virtual clock, with a network that loses, delays and cuts.

pub mod churn;
mod control_fanout;
pub mod detection;
pub mod layout;
pub mod loss;
pub mod mass_failure;
pub mod settling;
pub mod steady;
pub mod traffic;

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_membership::settings::{PROBE_INTERVAL, PROBE_TIMEOUT, SUSPICION_TIMEOUT};
use elderworks_membership::{Effect, Event, Membership, MembershipSettings};
use elderworks_protocol::gossip::{CellState, Datagram, MemberState};
use elderworks_protocol::{decode, encode};
use elderworks_types::{Incarnation, NodeId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::timing::EventTimer;
use layout::Layout;
use traffic::{DatagramParts, Traffic};

/// Interval of ticks, that of a real node.
pub const TICK: Duration = elderworks_node_core::core::TICK_INTERVAL;

/// Kinds of work whose processor time is taken.
pub mod work {
    /// Ticks.
    pub const TICK: &str = "tick";
    /// Datagrams handled.
    pub const DATAGRAM: &str = "datagram";
    /// Datagrams encoded.
    pub const ENCODE: &str = "encode";
    /// Datagrams decoded.
    pub const DECODE: &str = "decode";
    /// The home of one partition.
    pub const ASSIGN: &str = "assign one partition";
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
    pub timer: EventTimer,
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
    restarts: u64,
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
            timer: EventTimer::default(),
            appended: Vec::new(),
            in_force: BTreeMap::new(),
            cut_regions: Vec::new(),
            log_reads: 0,
            queue: BinaryHeap::new(),
            scheduled: 0,
            restarts: 0,
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

    /// Starts a node anew if it was killed.
    pub fn restart_if_dead(&mut self, node: usize) {
        if self.nodes[node].is_none() {
            self.restarts += 1;
            self.start(node, 1 + self.restarts);
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
        self.timer = EventTimer::default();
        self.log_reads = 0;
        for hollow in self.nodes.iter_mut().flatten() {
            hollow.traffic = Traffic::default();
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
        let decoded = self.timer.time(work::DECODE, || decode::<Datagram>(bytes));
        let Ok(datagram) = decoded else {
            return;
        };
        let sender = self.layout.node_at(from);
        let within_cell =
            sender.is_some_and(|from| self.layout.cell(from) == self.layout.cell(node));
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
        let kind = match event {
            Event::Received { .. } => work::DATAGRAM,
            _ => work::TICK,
        };
        let now = self.now;
        let effects = self
            .timer
            .time(kind, || hollow.membership.handle(now, event));
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
        let bytes = self.timer.time(work::ENCODE, || encode(datagram));
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
}
