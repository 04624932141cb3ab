//! Periodic work of a cell's relays, which represent it towards other cells.

use std::net::SocketAddr;

use elderworks_protocol::gossip::{
    CellDigest, CellState, Datagram, DatagramKind, MAX_REPRESENTATIVES, MemberUpdate,
    Representative,
};
use elderworks_types::{CellId, Timestamp};
use rand::seq::IndexedRandom;

use super::exchange::take_fitting;
use super::periodic::is_due;
use super::{Membership, remaining_bytes};
use crate::assignment::{Duty, duty_holders};
use crate::probe::Overdue;
use crate::settings::{
    CELL_PROBE_INTERVAL, CELL_SUSPICION_TIMEOUT, DEAD_CELL_RETENTION, DIGEST_EXCHANGE_INTERVAL,
    DIGEST_RENEWAL_INTERVAL,
};

/// Granularity of the load reported in a digest, in percent. Smaller changes publish no new digest.
const LOAD_STEP_PERCENT: u8 = 25;

impl Membership {
    pub(super) fn relay_tick(&mut self, now: Timestamp) {
        if !self.is_relay() {
            return;
        }
        self.rejoin_seed(now);
        if is_due(
            &mut self.schedule.digest_renewal,
            now,
            DIGEST_RENEWAL_INTERVAL,
        ) {
            self.renew_own_digest(now);
        }
        self.handle_overdue_cell_probes(now);
        if is_due(&mut self.schedule.cell_probe, now, CELL_PROBE_INTERVAL) {
            self.declare_cells_dead(now);
            self.probe_next_cell(now);
            self.probe_suspect_cell(now);
        }
        if is_due(
            &mut self.schedule.digest_exchange,
            now,
            DIGEST_EXCHANGE_INTERVAL,
        ) {
            self.exchange_digests();
        }
    }

    /// Publishes a new digest of the local cell if the latest one is outdated. A difference in the
    /// control offset alone does not count.
    fn renew_own_digest(&mut self, now: Timestamp) {
        let mut digest = self.describe_own_cell();
        let known = self.cells.get(&digest.cell).map(|known| &known.digest);
        if let Some(known) = known {
            digest.version = known.version;
            let same = CellDigest {
                control_next: known.control_next,
                ..digest.clone()
            };
            if same == *known {
                return;
            }
            digest.version = known.version.saturating_add(1);
        }
        self.cells.merge(now, digest.clone());
        self.digests.push(digest.cell.clone(), digest);
    }

    /// Returns a digest of the local cell's current state, with version 1.
    pub(super) fn describe_own_cell(&self) -> CellDigest {
        let relays = duty_holders(Duty::Relay, MAX_REPRESENTATIVES, self.eligible_owners());
        let representatives = relays
            .into_iter()
            .filter_map(|node| self.table.get(node))
            .map(|member| representative(&member.update))
            .collect();
        let nodes = self.eligible_owners().count();
        CellDigest {
            cell: self.settings.cell.clone(),
            version: 1,
            state: CellState::Alive,
            representatives,
            nodes: u16::try_from(nodes).unwrap_or(u16::MAX),
            load_percent: self.load_percent / LOAD_STEP_PERCENT * LOAD_STEP_PERCENT,
            control_next: self.control.applied(),
        }
    }

    pub(super) fn knows_other_cell(&self) -> bool {
        self.cells
            .iter()
            .filter(|known| known.digest.state == CellState::Alive)
            .any(|known| known.digest.cell != self.settings.cell)
    }

    fn handle_overdue_cell_probes(&mut self, now: Timestamp) {
        let timeout = self.health.scale_timeout(self.settings.probe_timeout * 2);
        for overdue in self.cell_prober.take_overdue(now, timeout) {
            match overdue {
                Overdue::Direct { target, nonce } => self.repeat_cell_ping(&target, nonce),
                Overdue::Indirect { target } => self.suspect_cell(now, &target),
            }
        }
    }

    /// Repeats an unanswered ping to every representative of a cell.
    fn repeat_cell_ping(&mut self, cell: &CellId, nonce: u64) {
        for address in self.representatives_of(cell) {
            let ping = self.compose_foreign(DatagramKind::Ping { nonce });
            self.send(address, ping);
        }
    }

    fn representatives_of(&self, cell: &CellId) -> Vec<SocketAddr> {
        let known = self.cells.get(cell);
        let representatives = known
            .into_iter()
            .flat_map(|known| &known.digest.representatives);
        representatives
            .map(|representative| representative.gossip_address)
            .collect()
    }

    fn suspect_cell(&mut self, now: Timestamp, cell: &CellId) {
        let Some(known) = self.cells.get(cell) else {
            return;
        };
        if known.digest.state == CellState::Alive && self.health.may_report_failures() {
            let mut digest = known.digest.clone();
            digest.state = CellState::Suspect;
            self.merge_digest(now, digest);
        }
    }

    fn declare_cells_dead(&mut self, now: Timestamp) {
        if !self.health.may_report_failures() {
            return;
        }
        let suspects = self
            .cells
            .in_state_for(now, CellState::Suspect, CELL_SUSPICION_TIMEOUT);
        for mut digest in suspects {
            digest.state = CellState::Dead;
            self.merge_digest(now, digest);
        }
        let expired = self
            .cells
            .in_state_for(now, CellState::Dead, DEAD_CELL_RETENTION);
        for digest in expired {
            self.cells.remove(&digest.cell);
        }
    }

    /// Probes the next cell in random order. Includes dead cells, so that connections are restored
    /// after a network partition.
    fn probe_next_cell(&mut self, now: Timestamp) {
        let own = &self.settings.cell;
        let cells = &self.cells;
        let candidates = || {
            let names = cells.iter().map(|known| &known.digest.cell);
            names.filter(|cell| *cell != own).cloned().collect()
        };
        let is_candidate = |cell: &CellId| cells.get(cell).is_some();
        let target = self
            .cell_prober
            .next_target(&mut self.random, candidates, is_candidate);
        if let Some(target) = target {
            self.probe_cell(now, target);
        }
    }

    /// Probes a random suspect cell. The ping carries the suspicion and the answer its refutation.
    fn probe_suspect_cell(&mut self, now: Timestamp) {
        let suspects: Vec<CellId> = self
            .cells
            .iter()
            .filter(|known| known.digest.state == CellState::Suspect)
            .map(|known| known.digest.cell.clone())
            .collect();
        if let Some(target) = suspects.choose(&mut self.random) {
            self.probe_cell(now, target.clone());
        }
    }

    fn probe_cell(&mut self, now: Timestamp, target: CellId) {
        let addresses = self.representatives_of(&target);
        let Some(&address) = addresses.choose(&mut self.random) else {
            return;
        };
        let to_refute = self.digest_to_refute(&target);
        let nonce = self.cell_prober.start(now, target);
        let mut ping = self.compose_foreign(DatagramKind::Ping { nonce });
        add_first(&mut ping, to_refute);
        self.send(address, ping);
    }

    /// Returns the stored digest of `cell` if its state is not alive, so that the cell can refute it.
    pub(super) fn digest_to_refute(&self, cell: &CellId) -> Option<CellDigest> {
        let known = self.cells.get(cell)?;
        (known.digest.state != CellState::Alive).then(|| known.digest.clone())
    }

    /// Sends one datagram of cell digests to a random representative of another cell.
    fn exchange_digests(&mut self) {
        let alive: Vec<CellId> = self
            .cells
            .iter()
            .filter(|known| known.digest.state == CellState::Alive)
            .map(|known| known.digest.cell.clone())
            .filter(|cell| *cell != self.settings.cell)
            .collect();
        let Some(cell) = alive.choose(&mut self.random) else {
            return;
        };
        let addresses = self.representatives_of(cell);
        let Some(&address) = addresses.choose(&mut self.random) else {
            return;
        };
        let mut page = self.empty_datagram(DatagramKind::Members);
        let mut remaining = remaining_bytes(&page);
        let mut digests = self.all_digests_rotated().into_iter().peekable();
        page.digests = take_fitting(&mut digests, &mut remaining);
        self.send(address, page);
    }
}

pub(super) fn representative(update: &MemberUpdate) -> Representative {
    Representative {
        node: update.node.clone(),
        gossip_address: update.gossip_address,
        address: update.address,
    }
}

/// Inserts a digest at the front, dropping others from the end while the datagram is too large.
pub(super) fn add_first(datagram: &mut Datagram, digest: Option<CellDigest>) {
    let Some(digest) = digest else { return };
    datagram.digests.retain(|other| other.cell != digest.cell);
    datagram.digests.insert(0, digest);
    while datagram.digests.len() > 1 && remaining_bytes(datagram) == 0 {
        datagram.digests.pop();
    }
}
