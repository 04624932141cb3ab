//! What a node does as time passes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::gossip::{DatagramKind, MemberState, MemberUpdate};
use elderworks_types::{NodeId, Timestamp};
use rand::seq::{IndexedRandom, SliceRandom};

use super::Membership;
use crate::assignment::Duty;
use crate::event::Member;
use crate::probe::Overdue;
use crate::settings::{
    EXCHANGE_INTERVAL, FORGET_AFTER, FORGET_LISTED_AFTER, INDIRECT_PROBES, JOIN_ANSWERS_PER_SECOND,
    JOIN_INTERVAL, MACHINE_LIST_LAG, RECONNECT_INTERVAL, SEED_JOIN_INTERVAL,
};
use crate::table::is_reachable;

const SECOND: Duration = Duration::from_secs(1);

/// When each periodic duty is due.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    probe: Timestamp,
    join: Timestamp,
    reconnect: Timestamp,
    seed_join: Timestamp,
    exchange: Timestamp,
    pub(super) cell_probe: Timestamp,
    pub(super) digest_exchange: Timestamp,
    pub(super) digest_renewal: Timestamp,
    pub(super) own_cell_join: Timestamp,
    join_answers_since: Timestamp,
    join_answers: u32,
}

impl Schedule {
    /// Whether one more join may be answered this second.
    pub(super) fn may_answer_join(&mut self, now: Timestamp) -> bool {
        if now.since(self.join_answers_since) >= SECOND {
            self.join_answers_since = now;
            self.join_answers = 0;
        }
        self.join_answers += 1;
        self.join_answers <= JOIN_ANSWERS_PER_SECOND
    }
}

/// Whether a duty is due; if so it is due again after `interval`.
pub(super) fn is_due(due: &mut Timestamp, now: Timestamp, interval: Duration) -> bool {
    if now < *due {
        return false;
    }
    *due = now + interval;
    true
}

impl Membership {
    pub(super) fn tick(&mut self, now: Timestamp) {
        self.started.get_or_insert(now);
        if self.health.note_tick(now, self.settings.probe_interval) {
            self.recover_from_pause(now);
        }
        self.follow_up_probes(now);
        if is_due(&mut self.schedule.probe, now, self.settings.probe_interval) {
            self.declare_dead(now);
            self.forget_dead(now);
            self.probe_next(now);
            self.probe_suspect(now);
            self.relay_tick(now);
        }
        self.seek_peers(now);
        if is_due(&mut self.schedule.exchange, now, EXCHANGE_INTERVAL) {
            self.exchange();
        }
    }

    /// After a pause, answers may have come and gone unheard: nobody may be judged by their absence.
    fn recover_from_pause(&mut self, now: Timestamp) {
        self.prober.abandon();
        self.cell_prober.abandon();
        self.table.restart_suspicions(now);
        self.cells.restart_suspicions(now);
    }

    fn follow_up_probes(&mut self, now: Timestamp) {
        let timeout = self.health.stretch(self.settings.probe_timeout);
        for overdue in self.prober.take_overdue(now, timeout) {
            match overdue {
                Overdue::Direct { target, nonce } => self.ask_others_to_probe(target, nonce),
                Overdue::Indirect { target } => self.suspect(now, &target),
            }
        }
    }

    fn ask_others_to_probe(&mut self, target: NodeId, nonce: u64) {
        let mut helpers: Vec<SocketAddr> = self
            .other_reachable()
            .filter(|member| member.update.node != target)
            .map(|member| member.update.gossip_address)
            .collect();
        helpers.shuffle(&mut self.random);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            let target = target.clone();
            let request = self.compose(DatagramKind::PingRequest { nonce, target }, Vec::new());
            self.send(helper, request);
        }
    }

    fn suspect(&mut self, now: Timestamp, node: &NodeId) {
        let Some(member) = self.table.get(node) else {
            return;
        };
        if member.update.state >= MemberState::Suspect {
            return;
        }
        self.health.note_silence();
        if !self.health.may_accuse() {
            return;
        }
        let update = member.update.clone();
        self.declare(now, update, MemberState::Suspect);
    }

    fn declare_dead(&mut self, now: Timestamp) {
        if !self.health.may_accuse() {
            return;
        }
        let timeout = self.settings.suspicion_timeout;
        let expired: Vec<MemberUpdate> = self
            .table
            .iter()
            .filter(|member| member.update.state == MemberState::Suspect)
            .filter(|member| now.since(member.since) >= timeout)
            .map(|member| member.update.clone())
            .collect();
        for update in expired {
            self.declare(now, update, MemberState::Dead);
        }
    }

    fn declare(&mut self, now: Timestamp, mut update: MemberUpdate, state: MemberState) {
        update.state = state;
        self.merge_update(now, update);
    }

    fn forget_dead(&mut self, now: Timestamp) {
        let listed = &self.listed_live;
        self.table.forget(|member| {
            let keep = if listed.contains(&member.update.node) {
                FORGET_LISTED_AFTER
            } else {
                FORGET_AFTER
            };
            member.update.state == MemberState::Dead && now.since(member.since) >= keep
        });
    }

    fn probe_next(&mut self, now: Timestamp) {
        let own = &self.settings.node;
        let table = &self.table;
        let is_candidate = |node: &NodeId| {
            let known = table.get(node);
            known.is_some_and(|member| is_reachable(member.update.state)) && node != own
        };
        let candidates = || {
            let names = table.iter().map(|member| &member.update.node);
            names.filter(|node| is_candidate(node)).cloned().collect()
        };
        let target = self
            .prober
            .next_target(&mut self.random, candidates, is_candidate);
        if let Some(target) = target {
            self.probe(now, target);
        }
    }

    /// Every node asks its suspects itself before it believes them dead: a refutation that gossip has
    /// not brought yet comes with the answer.
    fn probe_suspect(&mut self, now: Timestamp) {
        let suspects: Vec<NodeId> = self
            .table
            .iter()
            .filter(|member| member.update.state == MemberState::Suspect)
            .map(|member| member.update.node.clone())
            .collect();
        if let Some(target) = suspects.choose(&mut self.random) {
            self.probe(now, target.clone());
        }
    }

    fn probe(&mut self, now: Timestamp, target: NodeId) {
        let Some(member) = self.table.get(&target) else {
            return;
        };
        let to = member.update.gossip_address;
        let first = self.accusation_of(&target);
        let nonce = self.prober.begin(now, target);
        let ping = self.compose(DatagramKind::Ping { nonce }, first);
        self.send(to, ping);
    }

    /// Joins through seeds while alone; otherwise now and then tries a dead member, so that two halves
    /// that lost each other find together again.
    fn seek_peers(&mut self, now: Timestamp) {
        if self.other_reachable().next().is_none() {
            if is_due(&mut self.schedule.join, now, JOIN_INTERVAL) {
                self.join_some_seeds();
            }
        } else if is_due(&mut self.schedule.reconnect, now, RECONNECT_INTERVAL) {
            self.rejoin_dead_member();
        }
    }

    /// One member of each cell tries the seeds, for a cell that forgot those it lost; seldom while
    /// other cells are known, because the seeds hear this from every cell of the fleet.
    pub(super) fn rejoin_seed(&mut self, now: Timestamp) {
        let interval = if self.knows_other_cell() {
            SEED_JOIN_INTERVAL
        } else {
            RECONNECT_INTERVAL
        };
        if !self.bears(Duty::Relay, 1) || !is_due(&mut self.schedule.seed_join, now, interval) {
            return;
        }
        let reachable: BTreeSet<SocketAddr> = self
            .other_reachable()
            .map(|member| member.update.gossip_address)
            .collect();
        let lost: Vec<SocketAddr> = self
            .other_seeds()
            .filter(|seed| !reachable.contains(seed))
            .collect();
        if let Some(&address) = lost.choose(&mut self.random) {
            self.send_join(address);
        }
    }

    fn join_some_seeds(&mut self) {
        let mut seeds: Vec<SocketAddr> = self.other_seeds().collect();
        seeds.shuffle(&mut self.random);
        for seed in seeds.into_iter().take(INDIRECT_PROBES) {
            self.send_join(seed);
        }
    }

    fn rejoin_dead_member(&mut self) {
        let dead: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|member| member.update.state == MemberState::Dead)
            .map(|member| member.update.gossip_address)
            .collect();
        if let Some(&address) = dead.choose(&mut self.random) {
            self.send_join(address);
        }
    }

    /// Members other than this node that may answer.
    pub(super) fn other_reachable(&self) -> impl Iterator<Item = &Member> {
        let own = &self.settings.node;
        self.table
            .iter()
            .filter(move |member| member.update.node != *own)
            .filter(|member| is_reachable(member.update.state))
    }

    /// The list lags, so it kills nobody: a machine listed as leaving drains, and one that is not
    /// listed as live is forgotten sooner once it is dead.
    pub(super) fn take_machine_list(
        &mut self,
        now: Timestamp,
        live: Vec<NodeId>,
        leaving: &[NodeId],
    ) {
        self.listed_live = live.into_iter().collect();
        for node in leaving {
            let Some(member) = self.table.get(node) else {
                continue;
            };
            let listed_both = self.listed_live.contains(node);
            let settled = now.since(member.since) >= MACHINE_LIST_LAG;
            let serving = member.update.state == MemberState::Alive;
            if serving && settled && !listed_both {
                let update = member.update.clone();
                self.mark_draining(now, update);
            }
        }
    }

    fn mark_draining(&mut self, now: Timestamp, update: MemberUpdate) {
        if update.node == self.settings.node {
            self.drain(now);
        } else {
            self.declare(now, update, MemberState::Draining);
        }
    }
}
