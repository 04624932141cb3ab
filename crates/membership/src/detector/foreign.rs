//! What is heard from other cells, and of them.

use std::net::SocketAddr;

use elderworks_protocol::gossip::{CellDigest, CellState, Datagram, DatagramKind, MemberUpdate};
use elderworks_types::{CellId, NodeId, Offset, Timestamp};

use super::exchange::take_fitting;
use super::periodic::is_due;
use super::relay::{add_first, representative};
use super::{Membership, room_left};
use crate::event::Effect;
use crate::settings::JOIN_INTERVAL;
use crate::table::Merged;

impl Membership {
    pub(super) fn receive_from_other_cell(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        datagram: Datagram,
    ) {
        for digest in datagram.digests {
            self.merge_digest(now, digest);
        }
        self.note_foreign_control(now, &datagram.cell, &datagram.from, datagram.control_next);
        match datagram.kind {
            DatagramKind::Ping { nonce } => {
                let accusation = self.accusation_of_cell(&datagram.cell);
                let mut answer = self.compose_foreign(DatagramKind::Acknowledge { nonce });
                add_first(&mut answer, accusation);
                self.send(from, answer);
            }
            DatagramKind::Acknowledge { nonce } => {
                if self.cell_prober.acknowledge(nonce, &datagram.cell) {
                    self.health.note_answer();
                }
            }
            DatagramKind::Join => {
                self.introduce(now, from, datagram.cell, datagram.updates.first());
            }
            DatagramKind::PingRequest { .. } | DatagramKind::Members => {}
        }
    }

    /// A node of another cell asks its way: tell it of its cell, and remember it as the first of a
    /// cell so far unknown.
    fn introduce(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        cell: CellId,
        joiner: Option<&MemberUpdate>,
    ) {
        if !self.schedule.may_answer_join(now) {
            return;
        }
        let known = self.cells.get(&cell).map(|known| known.digest.clone());
        if let (None, Some(joiner)) = (&known, joiner) {
            let first = first_digest(cell, joiner);
            self.merge_digest(now, first);
        }
        let mut answer = self.empty_datagram(DatagramKind::Members);
        let mut room = room_left(&answer);
        let own = self.cells.get(&self.settings.cell);
        let own = own.map(|known| known.digest.clone());
        let mut digests = known.into_iter().chain(own).peekable();
        answer.digests = take_fitting(&mut digests, &mut room);
        self.send(to, answer);
    }

    pub(super) fn merge_digest(&mut self, now: Timestamp, digest: CellDigest) {
        if digest.cell == self.settings.cell {
            self.hear_of_own_cell(now, digest);
            return;
        }
        let merged = self.cells.merge(now, digest.clone());
        if merged == Merged::Stale {
            return;
        }
        if merged == Merged::Changed {
            self.effects.push(Effect::CellChanged {
                cell: digest.cell.clone(),
                state: digest.state,
            });
        }
        self.digests.push(digest.cell.clone(), digest);
    }

    /// Refutes a digest that calls this cell gone, and joins members that it names and this node does
    /// not know: so the parts of a cell find each other.
    fn hear_of_own_cell(&mut self, now: Timestamp, digest: CellDigest) {
        self.join_unknown_representatives(now, &digest);
        let accused = digest.state != CellState::Alive;
        if self.cells.merge(now, digest.clone()) == Merged::Stale {
            return;
        }
        if accused && self.is_relay() {
            self.refute_own_cell(now, digest.version);
        } else {
            self.digests.push(digest.cell.clone(), digest);
        }
    }

    fn refute_own_cell(&mut self, now: Timestamp, accused_version: u64) {
        let mut digest = self.describe_own_cell();
        digest.version = accused_version.saturating_add(1);
        self.cells.merge(now, digest.clone());
        self.digests.push(digest.cell.clone(), digest);
    }

    fn join_unknown_representatives(&mut self, now: Timestamp, digest: &CellDigest) {
        let unknown: Vec<SocketAddr> = digest
            .representatives
            .iter()
            .filter(|representative| self.table.get(&representative.node).is_none())
            .map(|representative| representative.gossip_address)
            .collect();
        if unknown.is_empty() {
            return;
        }
        if is_due(&mut self.schedule.own_cell_join, now, JOIN_INTERVAL) {
            for address in unknown {
                self.send_join(address);
            }
        }
    }

    /// Records that another cell already has are fetched from its representative: this is how a cell
    /// that lost the log hears of changes.
    fn note_foreign_control(&mut self, now: Timestamp, cell: &CellId, peer: &NodeId, next: Offset) {
        let Some(known) = self.cells.get(cell) else {
            return;
        };
        let representatives = &known.digest.representatives;
        let Some(sender) = representatives.iter().find(|one| one.node == *peer) else {
            return;
        };
        let address = sender.address;
        if self.control.note_peer(now, next) {
            let peer = peer.clone();
            self.effects.push(Effect::ControlBehind {
                peer,
                address,
                next,
            });
        }
    }
}

/// What is known of a cell whose first node has just asked its way.
fn first_digest(cell: CellId, joiner: &MemberUpdate) -> CellDigest {
    CellDigest {
        cell,
        version: 0,
        state: CellState::Alive,
        representatives: vec![representative(joiner)],
        nodes: 1,
        load_percent: 0,
        control_next: Offset(0),
    }
}
