//! The failure detector of one node.

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

use crate::assignment::{Duty, bearers_of, cell_of, owner_of};
use crate::cells::{CellTable, KnownCell};
use crate::control_watch::ControlWatch;
use crate::dissemination::{Dissemination, encoded_bytes};
use crate::event::{Effect, Event, Member};
use crate::health::LocalHealth;
use crate::probe::Prober;
use crate::settings::{
    CONTROL_PATIENCE, CONTROL_READERS_PER_CELL, MembershipSettings, RELAYS_PER_CELL,
    RETRANSMIT_FACTOR,
};
use crate::table::{MemberTable, is_eligible};

/// Growth of the two list-length prefixes of a datagram when lists are filled, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Longest wait for an answer from a seed before this node takes itself for the first of its cell.
const JOIN_PATIENCE: Duration = Duration::from_secs(5);

/// Where a node takes control records from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlSource {
    /// The platform's log: it is the cell's reader, or its peers have failed it.
    Log,
    /// Peers, asked on each [`Effect::ControlBehind`].
    Peers,
}

/// Where a partition should be owned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartitionHome {
    /// By this node of this node's own cell.
    Node(NodeId),
    /// In another cell, which the digest tells how to reach.
    Cell(CellDigest),
}

/// The failure detector of one node.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    random: ChaCha8Rng,
    started: Option<Timestamp>,
    answered: bool,
    table: MemberTable,
    updates: Dissemination<NodeId, MemberUpdate>,
    prober: Prober<NodeId>,
    health: LocalHealth,
    listed_live: BTreeSet<NodeId>,
    cells: CellTable,
    digests: Dissemination<CellId, CellDigest>,
    cell_prober: Prober<CellId>,
    load_percent: u8,
    control: ControlWatch,
    schedule: periodic::Schedule,
    effects: Vec<Effect>,
}

impl Membership {
    /// Knows only itself and its seeds.
    pub fn new(settings: MembershipSettings) -> Self {
        let mut membership = Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            started: None,
            answered: false,
            table: MemberTable::default(),
            updates: Dissemination::new(),
            prober: Prober::new(),
            health: LocalHealth::default(),
            listed_live: BTreeSet::new(),
            cells: CellTable::default(),
            digests: Dissemination::new(),
            cell_prober: Prober::new(),
            load_percent: 0,
            control: ControlWatch::default(),
            schedule: periodic::Schedule::default(),
            effects: Vec::new(),
            settings,
        };
        let own = membership.first_own_update();
        membership.table.merge(Timestamp::default(), own);
        membership
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::Received { from, datagram } => self.receive(now, from, datagram),
            Event::MachineList { live, leaving } => self.take_machine_list(now, live, &leaving),
            Event::ControlApplied { next } => self.control.note_applied(now, next),
            Event::Load { percent } => self.load_percent = percent,
            Event::Drain => self.drain(now),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Members of this node's cell in order of name, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Cells in order of name, as far as known.
    pub fn cells(&self) -> impl Iterator<Item = &KnownCell> {
        self.cells.iter()
    }

    /// Nodes of this node's cell that may own partitions: alive or under suspicion, not draining,
    /// not dead.
    pub fn eligible_owners(&self) -> impl Iterator<Item = &NodeId> {
        self.table
            .iter()
            .filter(|member| is_eligible(member.update.state))
            .map(|member| &member.update.node)
    }

    /// Whether this node has heard from its cell, or waited long enough to be the first of it.
    /// Until then, what it believes of ownership is worth nothing.
    pub fn is_join_complete(&self, now: Timestamp) -> bool {
        let waited = self
            .started
            .is_some_and(|started| now.since(started) >= JOIN_PATIENCE);
        self.answered || waited || self.other_seeds().next().is_none()
    }

    /// Where a partition should be owned, as far as this node can tell.
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

    /// Where this node should take control records from now.
    pub fn control_source(&self, now: Timestamp) -> ControlSource {
        let is_reader = self.reads_control_for_cell();
        let failed_by_peers = self.control.behind_for(now) >= CONTROL_PATIENCE;
        let alone = self.other_reachable().next().is_none();
        if is_reader || failed_by_peers || alone {
            ControlSource::Log
        } else {
            ControlSource::Peers
        }
    }

    /// Whether this node is a relay of its cell.
    pub fn is_relay(&self) -> bool {
        self.bears(Duty::Relay, RELAYS_PER_CELL)
    }

    /// The highest next offset of the control stream that this node or any peer has told of.
    pub fn highest_control_next(&self) -> Offset {
        self.control.highest()
    }

    /// Members and cells dropped because a table was full.
    pub fn refused(&self) -> u64 {
        self.table.refused() + self.cells.refused()
    }

    /// Relays have enough to do: the readers are chosen among the other members where there are any.
    fn reads_control_for_cell(&self) -> bool {
        let relays = bearers_of(Duty::Relay, RELAYS_PER_CELL, self.eligible_owners());
        let others: Vec<&NodeId> = self
            .eligible_owners()
            .filter(|node| !relays.contains(node))
            .collect();
        let candidates = if others.is_empty() { relays } else { others };
        let readers = bearers_of(
            Duty::ControlReader,
            CONTROL_READERS_PER_CELL,
            candidates.into_iter(),
        );
        readers.contains(&&self.settings.node)
    }

    fn bears(&self, duty: Duty, count: usize) -> bool {
        bearers_of(duty, count, self.eligible_owners()).contains(&&self.settings.node)
    }

    fn own_state(&self) -> MemberState {
        self.own_update().state
    }

    fn own_update(&self) -> &MemberUpdate {
        let own = self.table.get(&self.settings.node);
        &own.expect("a node is always a member of its own table")
            .update
    }

    fn first_own_update(&self) -> MemberUpdate {
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

    /// How often a piece of news is sent: enough that everyone hears of it with high probability.
    fn retransmits(&self) -> u32 {
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

    /// A datagram for a member of this cell: `first` in any case, then as much news as fits.
    fn compose(&mut self, kind: DatagramKind, first: Vec<MemberUpdate>) -> Datagram {
        let mut datagram = self.empty_datagram(kind);
        datagram.updates = first;
        let limit = self.retransmits();
        let updates = self.updates.fill(room_left(&datagram), limit);
        for update in updates {
            if !datagram.updates.contains(&update) {
                datagram.updates.push(update);
            }
        }
        datagram.digests = self.digests.fill(room_left(&datagram), limit);
        datagram
    }

    /// A datagram for a node of another cell: only digests are of use there.
    fn compose_foreign(&mut self, kind: DatagramKind) -> Datagram {
        let mut datagram = self.empty_datagram(kind);
        let limit = self.retransmits();
        datagram.digests = self.digests.fill(room_left(&datagram), limit);
        datagram
    }

    fn send(&mut self, to: std::net::SocketAddr, datagram: Datagram) {
        self.effects.push(Effect::Send { to, datagram });
    }
}

/// Bytes that a datagram may still grow by.
fn room_left(datagram: &Datagram) -> usize {
    MAX_DATAGRAM_BYTES.saturating_sub(encoded_bytes(datagram) + LENGTH_PREFIX_BYTES)
}
