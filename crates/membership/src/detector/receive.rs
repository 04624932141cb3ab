//! Processing of received datagrams and member updates.

use std::net::SocketAddr;

use elderworks_protocol::gossip::{Datagram, DatagramKind, MemberState, MemberUpdate};
use elderworks_types::{NodeId, Offset, Timestamp};

use super::Membership;
use crate::event::Effect;
use crate::table::{MergeOutcome, precedence};

impl Membership {
    pub(super) fn receive(&mut self, now: Timestamp, from: SocketAddr, datagram: Datagram) {
        if datagram.from == self.settings.node {
            return;
        }
        if datagram.cell == self.settings.cell {
            self.receive_from_member(now, from, datagram);
        } else {
            self.receive_from_other_cell(now, from, datagram);
        }
    }

    fn receive_from_member(&mut self, now: Timestamp, from: SocketAddr, datagram: Datagram) {
        for update in datagram.updates {
            self.merge_update(now, update);
        }
        for digest in datagram.digests {
            self.merge_digest(now, digest);
        }
        self.record_control_next(now, &datagram.from, datagram.control_next);
        match datagram.kind {
            DatagramKind::Ping { nonce } => self.answer_ping(from, &datagram.from, nonce),
            DatagramKind::PingRequest { nonce, target } => {
                self.probe_for_other(now, from, nonce, target);
            }
            DatagramKind::Acknowledge { nonce } => {
                self.handle_acknowledgement(&datagram.from, nonce)
            }
            DatagramKind::Join => self.answer_join(now, from),
            DatagramKind::Members => self.peer_answered = true,
        }
    }

    fn answer_ping(&mut self, to: SocketAddr, sender: &NodeId, nonce: u64) {
        let first = self.update_to_refute(sender);
        let answer = self.compose(DatagramKind::Acknowledge { nonce }, first);
        self.send(to, answer);
    }

    /// Returns the stored update on `node` if its state is not alive, so that the node can refute it.
    pub(super) fn update_to_refute(&self, node: &NodeId) -> Vec<MemberUpdate> {
        self.table
            .get(node)
            .filter(|member| member.update.state != MemberState::Alive)
            .map(|member| member.update.clone())
            .into_iter()
            .collect()
    }

    fn probe_for_other(
        &mut self,
        now: Timestamp,
        origin: SocketAddr,
        origin_nonce: u64,
        target: NodeId,
    ) {
        let Some(member) = self.table.get(&target) else {
            return;
        };
        let to = member.update.gossip_address;
        let started = self
            .prober
            .start_forwarded(now, target, origin, origin_nonce);
        if let Some(nonce) = started {
            let ping = self.compose(DatagramKind::Ping { nonce }, Vec::new());
            self.send(to, ping);
        }
    }

    fn handle_acknowledgement(&mut self, from: &NodeId, nonce: u64) {
        if self.prober.acknowledge(nonce, from) {
            self.peer_answered = true;
            self.health.record_answer();
            return;
        }
        if let Some((origin, nonce)) = self.prober.acknowledge_forwarded(nonce, from) {
            let answer = self.compose(DatagramKind::Acknowledge { nonce }, Vec::new());
            self.send(origin, answer);
        }
    }

    /// Records a member's control offset and requests the records that this node lacks.
    pub(super) fn record_control_next(&mut self, now: Timestamp, peer: &NodeId, next: Offset) {
        let Some(member) = self.table.get(peer) else {
            return;
        };
        let address = member.update.address;
        if self.control.record_peer(now, next) {
            let peer = peer.clone();
            self.effects.push(Effect::ControlBehind {
                peer,
                address,
                next,
            });
        }
    }

    /// Merges an update on a member and queues it for dissemination if it is new. Refutes an update
    /// that reports this node as suspect or dead.
    pub(super) fn merge_update(&mut self, now: Timestamp, update: MemberUpdate) {
        if update.node == self.settings.node {
            self.merge_update_about_self(now, &update);
            return;
        }
        let unknown_and_dead =
            self.table.get(&update.node).is_none() && update.state == MemberState::Dead;
        if unknown_and_dead {
            return;
        }
        let merged = self.table.merge(now, update.clone());
        if merged == MergeOutcome::Stale {
            return;
        }
        if merged == MergeOutcome::Changed {
            self.effects.push(Effect::MemberChanged {
                node: update.node.clone(),
                state: update.state,
            });
        }
        self.updates.push(update.node.clone(), update);
    }

    fn merge_update_about_self(&mut self, now: Timestamp, received: &MemberUpdate) {
        let own = self.own_update();
        let about_this_process = received.incarnation == own.incarnation;
        if !about_this_process || precedence(received) <= precedence(own) {
            return;
        }
        if received.state == MemberState::Draining {
            self.drain(now);
            return;
        }
        let mut refutation = own.clone();
        refutation.refutation = received.refutation.saturating_add(1);
        self.table.merge(now, refutation.clone());
        self.updates.push(refutation.node.clone(), refutation);
    }

    /// Marks this node as draining and announces it.
    pub(super) fn drain(&mut self, now: Timestamp) {
        if self.own_state() == MemberState::Draining {
            return;
        }
        let mut update = self.own_update().clone();
        update.state = MemberState::Draining;
        self.table.merge(now, update.clone());
        self.effects.push(Effect::MemberChanged {
            node: update.node.clone(),
            state: update.state,
        });
        self.updates.push(update.node.clone(), update);
    }
}
