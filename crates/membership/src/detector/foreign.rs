//! Processing of datagrams from other cells and of cell digests.

use std::net::SocketAddr;

use elderworks_protocol::gossip::{CellDigest, CellState, Datagram, DatagramKind, MemberUpdate};
use elderworks_types::{CellId, NodeId, Offset, Timestamp};

use super::exchange::take_fitting;
use super::periodic::is_due;
use super::relay::{add_first, representative};
use super::{Membership, remaining_bytes};
use crate::event::Effect;
use crate::settings::JOIN_INTERVAL;
use crate::table::MergeOutcome;

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
        self.record_foreign_control_next(
            now,
            &datagram.cell,
            &datagram.from,
            datagram.control_next,
        );
        match datagram.kind {
            DatagramKind::Ping { nonce } => {
                let to_refute = self.digest_to_refute(&datagram.cell);
                let mut answer = self.compose_foreign(DatagramKind::Acknowledge { nonce });
                add_first(&mut answer, to_refute);
                self.send(from, answer);
            }
            DatagramKind::Acknowledge { nonce } => {
                if self.cell_prober.acknowledge(nonce, &datagram.cell) {
                    self.health.record_answer();
                }
            }
            DatagramKind::Join => {
                self.answer_foreign_join(now, from, datagram.cell, datagram.updates.first());
            }
            DatagramKind::PingRequest { .. } | DatagramKind::Members => {}
        }
    }

    /// Answers a join request from a node of another cell with the digests of both cells, so that it
    /// finds members of its own cell. If its cell is unknown, the node is recorded as its only member.
    fn answer_foreign_join(
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
            let first = provisional_digest(cell, joiner);
            self.merge_digest(now, first);
        }
        let mut answer = self.empty_datagram(DatagramKind::Members);
        let mut remaining = remaining_bytes(&answer);
        let own = self.cells.get(&self.settings.cell);
        let own = own.map(|known| known.digest.clone());
        let mut digests = known.into_iter().chain(own).peekable();
        answer.digests = take_fitting(&mut digests, &mut remaining);
        self.send(to, answer);
    }

    pub(super) fn merge_digest(&mut self, now: Timestamp, digest: CellDigest) {
        if digest.cell == self.settings.cell {
            self.merge_own_cell_digest(now, digest);
            return;
        }
        let merged = self.cells.merge(now, digest.clone());
        if merged == MergeOutcome::Stale {
            return;
        }
        if merged == MergeOutcome::Changed {
            self.effects.push(Effect::CellChanged {
                cell: digest.cell.clone(),
                state: digest.state,
            });
        }
        self.digests.push(digest.cell.clone(), digest);
    }

    /// Merges a digest of this node's own cell. Refutes it if it reports the cell as suspect or dead,
    /// and joins unknown members that it names, which reconnects the parts of a partitioned cell.
    fn merge_own_cell_digest(&mut self, now: Timestamp, digest: CellDigest) {
        self.join_unknown_representatives(now, &digest);
        let needs_refutation = digest.state != CellState::Alive;
        if self.cells.merge(now, digest.clone()) == MergeOutcome::Stale {
            return;
        }
        if needs_refutation && self.is_relay() {
            self.refute_own_cell(now, digest.version);
        } else {
            self.digests.push(digest.cell.clone(), digest);
        }
    }

    fn refute_own_cell(&mut self, now: Timestamp, refuted_version: u64) {
        let mut digest = self.describe_own_cell();
        digest.version = refuted_version.saturating_add(1);
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

    /// Requests control records that a representative of another cell has already applied. This keeps
    /// a cell that cannot reach the log up to date.
    fn record_foreign_control_next(
        &mut self,
        now: Timestamp,
        cell: &CellId,
        peer: &NodeId,
        next: Offset,
    ) {
        let Some(known) = self.cells.get(cell) else {
            return;
        };
        let representatives = &known.digest.representatives;
        let Some(sender) = representatives.iter().find(|one| one.node == *peer) else {
            return;
        };
        let address = sender.address;
        if self.control.record_peer(now, next) {
            let peer = peer.clone();
            self.effects.push(Effect::ControlBehind {
                peer,
                address,
                next,
            });
        }
    }
}

/// Returns a digest for an unknown cell of which one member has sent a join request.
fn provisional_digest(cell: CellId, joiner: &MemberUpdate) -> CellDigest {
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
