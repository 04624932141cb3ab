//! A set of detectors on a virtual clock and a simulated network with loss, delays and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_membership::settings::{PROBE_INTERVAL, PROBE_TIMEOUT, SUSPICION_TIMEOUT};
use elderworks_membership::{Effect, Event, Membership, MembershipSettings};
use elderworks_protocol::encode;
use elderworks_protocol::gossip::{Datagram, MAX_DATAGRAM_BYTES, MemberState};
use elderworks_types::{CellId, Incarnation, NodeId, Timestamp, ZoneId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between ticks.
pub const TICK: Duration = Duration::from_millis(50);

/// Delivery delay of a datagram.
const DELAY_MILLIS: std::ops::Range<u64> = 1..6;

/// An effect other than a datagram, with the time and the index of the node that emitted it.
#[derive(Clone, Debug)]
pub struct ReportedEffect {
    pub at: Timestamp,
    pub by: usize,
    pub effect: Effect,
}

/// A set of detectors, each with a fixed address.
pub struct Fleet {
    pub now: Timestamp,
    /// Detectors by index; `None` if stopped.
    pub nodes: Vec<Option<Membership>>,
    /// Nodes that process no events.
    pub paused: BTreeSet<usize>,
    pub reported: Vec<ReportedEffect>,
    /// Size of the largest datagram sent, in bytes.
    pub largest_datagram: usize,
    pub loss_percent: u32,
    /// Side of the network partition by node; absent for the main side.
    sides: BTreeMap<usize, u32>,
    in_flight: BTreeMap<(Timestamp, u64), (usize, usize, Datagram)>,
    sent: u64,
    random: ChaCha8Rng,
}

pub fn name_of(index: usize) -> NodeId {
    NodeId::new(format!("node-{index:03}"))
}

pub fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

pub fn settings(index: usize, cell: &str, incarnation: u64) -> MembershipSettings {
    MembershipSettings {
        node: name_of(index),
        incarnation: Incarnation(incarnation),
        zone: ZoneId::new("zone-a"),
        cell: CellId::new(cell),
        gossip_address: address_of(index),
        address: address_of(index),
        seeds: vec![address_of(0), address_of(1)],
        probe_interval: PROBE_INTERVAL,
        probe_timeout: PROBE_TIMEOUT,
        suspicion_timeout: SUSPICION_TIMEOUT,
        seed: index as u64 + 1,
    }
}

impl Fleet {
    /// Creates `count` nodes whose cells are determined by their indices.
    pub fn with_cells(count: usize, seed: u64, cell: impl Fn(usize) -> String) -> Self {
        let nodes = (0..count)
            .map(|index| Some(Membership::new(settings(index, &cell(index), 1))))
            .collect();
        Self {
            now: Timestamp(1_000_000),
            nodes,
            paused: BTreeSet::new(),
            reported: Vec::new(),
            largest_datagram: 0,
            loss_percent: 0,
            sides: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Creates `count` nodes of one cell.
    pub fn new(count: usize, seed: u64) -> Self {
        Self::with_cells(count, seed, |_| String::new())
    }

    /// Disconnects the given nodes from all others.
    pub fn disconnect(&mut self, nodes: impl Iterator<Item = usize>) {
        self.sides = nodes.map(|node| (node, 1)).collect();
    }

    /// Reverts [`Fleet::disconnect`].
    pub fn heal(&mut self) {
        self.sides.clear();
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    pub fn restart(&mut self, index: usize, cell: &str, incarnation: u64) {
        self.nodes[index] = Some(Membership::new(settings(index, cell, incarnation)));
    }

    pub fn node(&self, index: usize) -> &Membership {
        self.nodes[index].as_ref().expect("the node runs")
    }

    /// Delivers an event to a node and applies the effects.
    pub fn deliver(&mut self, index: usize, event: Event) {
        if self.paused.contains(&index) {
            return;
        }
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        for effect in node.handle(self.now, event) {
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, by: usize, effect: Effect) {
        let Effect::Send { to, datagram } = effect else {
            let at = self.now;
            self.reported.push(ReportedEffect { at, by, effect });
            return;
        };
        self.largest_datagram = self.largest_datagram.max(encode(&datagram).len());
        assert!(
            self.largest_datagram <= MAX_DATAGRAM_BYTES,
            "datagram too large: {datagram:?}"
        );
        let target = (0..self.nodes.len()).find(|index| address_of(*index) == to);
        let Some(target) = target else { return };
        let disconnected = self.sides.get(&by) != self.sides.get(&target);
        let lost = self.random.random_range(0..100) < self.loss_percent;
        if disconnected || lost {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(DELAY_MILLIS));
        self.sent += 1;
        let key = (self.now + delay, self.sent);
        self.in_flight.insert(key, (by, target, datagram));
    }

    /// Advances the clock by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let next_tick = self.now + TICK;
            self.deliver_until(next_tick);
            self.now = next_tick;
            for index in 0..self.nodes.len() {
                self.deliver(index, Event::Tick);
            }
        }
    }

    fn deliver_until(&mut self, until: Timestamp) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), (from, target, datagram)) = entry.remove_entry();
            self.now = at;
            let from = address_of(from);
            self.deliver(target, Event::Received { from, datagram });
        }
    }

    /// Runs until `done` holds and returns the time taken. Panics if `bound` is exceeded.
    pub fn run_until(&mut self, bound: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now.since(start) < bound,
                "condition not reached in {bound:?}"
            );
            self.run(TICK);
        }
        self.now.since(start)
    }

    pub fn running(&self) -> impl Iterator<Item = &Membership> {
        self.nodes.iter().flatten()
    }

    /// Returns the state of a node in another node's view, or `None` if unknown.
    pub fn observed_state(&self, by: usize, about: usize) -> Option<MemberState> {
        let about = name_of(about);
        let mut members = self.node(by).members();
        let member = members.find(|member| member.update.node == about)?;
        Some(member.update.state)
    }

    /// Returns whether the alive members in the view of every running node of `group` are exactly the
    /// running nodes of `group`.
    pub fn agree_on_alive(&self, group: &[usize]) -> bool {
        let alive: Vec<usize> = group
            .iter()
            .copied()
            .filter(|index| self.nodes[*index].is_some())
            .collect();
        alive.iter().all(|by| {
            let seen: Vec<NodeId> = self
                .node(*by)
                .members()
                .filter(|member| member.update.state == MemberState::Alive)
                .map(|member| member.update.node.clone())
                .collect();
            seen == alive
                .iter()
                .map(|index| name_of(*index))
                .collect::<Vec<_>>()
        })
    }

    /// Returns the reported member changes to `state` at or after `since`.
    pub fn changes_to(&self, state: MemberState, since: Timestamp) -> Vec<&ReportedEffect> {
        self.reported
            .iter()
            .filter(|reported| reported.at >= since)
            .filter(|reported| {
                matches!(&reported.effect, Effect::MemberChanged { state: to, .. } if *to == state)
            })
            .collect()
    }
}
