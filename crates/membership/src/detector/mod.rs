//! The failure detector that runs on each node.

mod exchange;
mod foreign;
mod periodic;
mod receive;
mod relay;

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_protocol::gossip::{
    CellDigest, CellState, Datagram, DatagramKind, MAX_DATAGRAM_BYTES, MemberState, MemberUpdate,
};
use elderworks_types::{CellId, NodeId, Offset, PartitionId, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::assignment::{Duty, cell_of, duty_holders, owner_of};
use crate::cells::{CellTable, KnownCell};
use crate::control_progress::ControlProgress;
use crate::dissemination::{Dissemination, encoded_bytes};
use crate::event::{Effect, Event, Member};
use crate::health::LocalHealth;
use crate::probe::Prober;
use crate::settings::{
    CONTROL_LAG_TIMEOUT, CONTROL_READERS_PER_CELL, MembershipSettings, RELAYS_PER_CELL,
    RETRANSMIT_FACTOR,
};
use crate::table::{MemberTable, is_eligible};

/// Bytes by which the length prefixes of a datagram's two lists can grow as the lists are filled.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Time to wait for an answer from a peer before this node assumes that it is the first of its cell.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Source from which a node reads control records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlSource {
    /// The platform's log, because the node is a control reader of its cell, its peers have delivered
    /// no records in time, or it has no reachable peers.
    Log,
    /// Peers, queried on each [`Effect::ControlBehind`].
    Peers,
}

/// Expected owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartitionHome {
    /// A node of the local cell, possibly the local node.
    Node(NodeId),
    /// Another cell, with the digest that lists its representatives.
    Cell(CellDigest),
}

/// The failure detector of one node, which also tracks the other cells and the control stream.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    random: ChaCha8Rng,
    /// Time of the first tick.
    started: Option<Timestamp>,
    /// Whether any member of the cell has answered this node.
    peer_answered: bool,
    table: MemberTable,
    updates: Dissemination<NodeId, MemberUpdate>,
    prober: Prober<NodeId>,
    health: LocalHealth,
    /// Nodes that the platform's machine list reports as live.
    listed_as_live: BTreeSet<NodeId>,
    cells: CellTable,
    digests: Dissemination<CellId, CellDigest>,
    cell_prober: Prober<CellId>,
    load_percent: u8,
    control: ControlProgress,
    schedule: periodic::Schedule,
    effects: Vec<Effect>,
}

impl Membership {
    /// Creates a detector that knows only its own node and the seed addresses.
    pub fn new(settings: MembershipSettings) -> Self {
        let mut membership = Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            started: None,
            peer_answered: false,
            table: MemberTable::default(),
            updates: Dissemination::new(),
            prober: Prober::new(),
            health: LocalHealth::default(),
            listed_as_live: BTreeSet::new(),
            cells: CellTable::default(),
            digests: Dissemination::new(),
            cell_prober: Prober::new(),
            load_percent: 0,
            control: ControlProgress::default(),
            schedule: periodic::Schedule::default(),
            effects: Vec::new(),
            settings,
        };
        let own = membership.initial_own_update();
        membership.table.merge(Timestamp::default(), own);
        membership
    }

    /// Processes one event and returns the resulting effects in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::Received { from, datagram } => self.receive(now, from, datagram),
            Event::MachineList { live, leaving } => self.apply_machine_list(now, live, &leaving),
            Event::ControlApplied { next } => self.control.record_applied(now, next),
            Event::Load { percent } => self.load_percent = percent,
            Event::Drain => self.drain(now),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Iterates over the members of the local cell, this node included, in order of name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Iterates over the known cells in order of name.
    pub fn cells(&self) -> impl Iterator<Item = &KnownCell> {
        self.cells.iter()
    }

    /// Iterates over the nodes of the local cell that may own partitions, which are those alive or
    /// suspect, but neither draining nor dead.
    pub fn eligible_owners(&self) -> impl Iterator<Item = &NodeId> {
        self.table
            .iter()
            .filter(|member| is_eligible(member.update.state))
            .map(|member| &member.update.node)
    }

    /// Returns whether this node has joined its cell, or has waited long enough to assume that it is
    /// the first member. Until then, its view of partition ownership must not be used.
    pub fn is_join_complete(&self, now: Timestamp) -> bool {
        let waited = self
            .started
            .is_some_and(|started| now.since(started) >= JOIN_TIMEOUT);
        self.peer_answered || waited || self.other_seeds().next().is_none()
    }

    /// Returns the expected owner of a partition according to this node's view.
    pub fn home_of(&self, partition: PartitionId) -> Option<PartitionHome> {
        let others = self
            .cells
            .iter()
            .filter(|known| known.digest.state != CellState::Dead && known.digest.nodes > 0)
            .map(|known| &known.digest.cell)
            .filter(|cell| **cell != self.settings.cell);
        let candidates = others.chain(std::iter::once(&self.settings.cell));
        let cell = cell_of(partition, candidates)?;
        if *cell == self.settings.cell {
            let node = owner_of(partition, self.eligible_owners())?;
            return Some(PartitionHome::Node(node.clone()));
        }
        let known = self.cells.get(cell)?;
        Some(PartitionHome::Cell(known.digest.clone()))
    }

    /// Returns the source from which this node should currently read control records.
    pub fn control_source(&self, now: Timestamp) -> ControlSource {
        let is_reader = self.reads_control_for_cell();
        let peers_timed_out = self.control.behind_for(now) >= CONTROL_LAG_TIMEOUT;
        let alone = self.other_reachable().next().is_none();
        if is_reader || peers_timed_out || alone {
            ControlSource::Log
        } else {
            ControlSource::Peers
        }
    }

    /// Returns whether this node is a relay of its cell.
    pub fn is_relay(&self) -> bool {
        self.has_duty(Duty::Relay, RELAYS_PER_CELL)
    }

    /// Returns the highest next offset of the control stream applied by this node or reported by a
    /// peer.
    pub fn highest_control_next(&self) -> Offset {
        self.control.highest()
    }

    /// Returns the number of member and cell updates dropped because a table was full.
    pub fn rejected(&self) -> u64 {
        self.table.rejected() + self.cells.rejected()
    }

    /// Returns whether this node reads the control stream from the log for its cell. Relays are only
    /// chosen if the cell has no other members, to spread the load.
    fn reads_control_for_cell(&self) -> bool {
        let relays = duty_holders(Duty::Relay, RELAYS_PER_CELL, self.eligible_owners());
        let others: Vec<&NodeId> = self
            .eligible_owners()
            .filter(|node| !relays.contains(node))
            .collect();
        let candidates = if others.is_empty() { relays } else { others };
        let readers = duty_holders(
            Duty::ControlReader,
            CONTROL_READERS_PER_CELL,
            candidates.into_iter(),
        );
        readers.contains(&&self.settings.node)
    }

    fn has_duty(&self, duty: Duty, count: usize) -> bool {
        duty_holders(duty, count, self.eligible_owners()).contains(&&self.settings.node)
    }

    fn own_state(&self) -> MemberState {
        self.own_update().state
    }

    fn own_update(&self) -> &MemberUpdate {
        let own = self.table.get(&self.settings.node);
        &own.expect("a node is always a member of its own table")
            .update
    }

    fn initial_own_update(&self) -> MemberUpdate {
        MemberUpdate {
            node: self.settings.node.clone(),
            incarnation: self.settings.incarnation,
            refutation: 0,
            state: MemberState::Alive,
            zone: self.settings.zone.clone(),
            gossip_address: self.settings.gossip_address,
            address: self.settings.address,
        }
    }

    /// Returns the number of times that each update is sent. It grows with the logarithm of the number
    /// of receivers, so that all of them receive the update with high probability.
    fn retransmit_limit(&self) -> u32 {
        let receivers = self.table.count().max(self.cells.count()) as u32;
        RETRANSMIT_FACTOR * (u32::BITS - receivers.leading_zeros()).max(1)
    }

    fn empty_datagram(&self, kind: DatagramKind) -> Datagram {
        Datagram {
            from: self.settings.node.clone(),
            cell: self.settings.cell.clone(),
            control_next: self.control.applied(),
            kind,
            updates: Vec::new(),
            digests: Vec::new(),
        }
    }

    /// Builds a datagram for a member of the local cell that contains `first` and as many queued
    /// updates and digests as fit.
    fn compose(&mut self, kind: DatagramKind, first: Vec<MemberUpdate>) -> Datagram {
        let mut datagram = self.empty_datagram(kind);
        datagram.updates = first;
        let limit = self.retransmit_limit();
        let updates = self.updates.fill(remaining_bytes(&datagram), limit);
        for update in updates {
            if !datagram.updates.contains(&update) {
                datagram.updates.push(update);
            }
        }
        datagram.digests = self.digests.fill(remaining_bytes(&datagram), limit);
        datagram
    }

    /// Builds a datagram for a node of another cell, which needs only digests.
    fn compose_foreign(&mut self, kind: DatagramKind) -> Datagram {
        let mut datagram = self.empty_datagram(kind);
        let limit = self.retransmit_limit();
        datagram.digests = self.digests.fill(remaining_bytes(&datagram), limit);
        datagram
    }

    fn send(&mut self, to: std::net::SocketAddr, datagram: Datagram) {
        self.effects.push(Effect::Send { to, datagram });
    }
}

/// Returns the number of bytes by which a datagram may still grow.
fn remaining_bytes(datagram: &Datagram) -> usize {
    MAX_DATAGRAM_BYTES.saturating_sub(encoded_bytes(datagram) + LENGTH_PREFIX_BYTES)
}
