//! Periodic work of the failure detector.

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
    DEAD_MEMBER_RETENTION, EXCHANGE_INTERVAL, INDIRECT_PROBES, JOIN_INTERVAL,
    LISTED_DEAD_MEMBER_RETENTION, MAX_JOIN_ANSWERS_PER_SECOND, MAX_MACHINE_LIST_LAG,
    RECONNECT_INTERVAL, SEED_JOIN_INTERVAL,
};
use crate::table::is_reachable;

const SECOND: Duration = Duration::from_secs(1);

/// Times at which each periodic task is next due.
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
    /// Returns whether the rate limit allows to answer one more join request now, and counts it.
    pub(super) fn may_answer_join(&mut self, now: Timestamp) -> bool {
        if now.since(self.join_answers_since) >= SECOND {
            self.join_answers_since = now;
            self.join_answers = 0;
        }
        self.join_answers += 1;
        self.join_answers <= MAX_JOIN_ANSWERS_PER_SECOND
    }
}

/// Returns whether a task is due, and if so schedules it again after `interval`.
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
        if self.health.record_tick(now, self.settings.probe_interval) {
            self.recover_from_pause(now);
        }
        self.handle_overdue_probes(now);
        if is_due(&mut self.schedule.probe, now, self.settings.probe_interval) {
            self.declare_dead(now);
            self.remove_dead(now);
            self.probe_next(now);
            self.probe_suspect(now);
            self.relay_tick(now);
        }
        self.join_or_reconnect(now);
        if is_due(&mut self.schedule.exchange, now, EXCHANGE_INTERVAL) {
            self.exchange();
        }
    }

    /// Discards open probes and restarts suspicion timeouts after the process was paused, because
    /// answers may have been lost in the meantime.
    fn recover_from_pause(&mut self, now: Timestamp) {
        self.prober.clear();
        self.cell_prober.clear();
        self.table.restart_suspicions(now);
        self.cells.restart_suspicions(now);
    }

    fn handle_overdue_probes(&mut self, now: Timestamp) {
        let timeout = self.health.scale_timeout(self.settings.probe_timeout);
        for overdue in self.prober.take_overdue(now, timeout) {
            match overdue {
                Overdue::Direct { target, nonce } => self.request_indirect_probes(target, nonce),
                Overdue::Indirect { target } => self.suspect(now, &target),
            }
        }
    }

    fn request_indirect_probes(&mut self, target: NodeId, nonce: u64) {
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
        self.health.record_timeout();
        if !self.health.may_report_failures() {
            return;
        }
        let update = member.update.clone();
        self.declare(now, update, MemberState::Suspect);
    }

    fn declare_dead(&mut self, now: Timestamp) {
        if !self.health.may_report_failures() {
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

    fn remove_dead(&mut self, now: Timestamp) {
        let listed = &self.listed_as_live;
        self.table.remove_if(|member| {
            let retention = if listed.contains(&member.update.node) {
                LISTED_DEAD_MEMBER_RETENTION
            } else {
                DEAD_MEMBER_RETENTION
            };
            member.update.state == MemberState::Dead && now.since(member.since) >= retention
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

    /// Probes a random suspect, whose answer carries a refutation that gossip may not have delivered
    /// yet.
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
        let first = self.update_to_refute(&target);
        let nonce = self.prober.start(now, target);
        let ping = self.compose(DatagramKind::Ping { nonce }, first);
        self.send(to, ping);
    }

    /// Joins through seeds while no other member is reachable. Otherwise tries to rejoin a dead member
    /// at intervals, so that a partitioned cell merges again.
    fn join_or_reconnect(&mut self, now: Timestamp) {
        if self.other_reachable().next().is_none() {
            if is_due(&mut self.schedule.join, now, JOIN_INTERVAL) {
                self.join_some_seeds();
            }
        } else if is_due(&mut self.schedule.reconnect, now, RECONNECT_INTERVAL) {
            self.rejoin_dead_member();
        }
    }

    /// Joins a random unreachable seed if this node is the first relay of its cell. This reconnects a
    /// cell that has removed its lost members. Uses a longer interval while other cells are known,
    /// because the seeds receive these requests from every cell.
    pub(super) fn rejoin_seed(&mut self, now: Timestamp) {
        let interval = if self.knows_other_cell() {
            SEED_JOIN_INTERVAL
        } else {
            RECONNECT_INTERVAL
        };
        if !self.has_duty(Duty::Relay, 1) || !is_due(&mut self.schedule.seed_join, now, interval) {
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

    /// Iterates over the members other than this node that can be expected to answer.
    pub(super) fn other_reachable(&self) -> impl Iterator<Item = &Member> {
        let own = &self.settings.node;
        self.table
            .iter()
            .filter(move |member| member.update.node != *own)
            .filter(|member| is_reachable(member.update.state))
    }

    /// Applies the platform's machine list. Since the list lags, it never marks a member dead: a node
    /// listed as leaving is marked draining, and a dead member is removed sooner if it is not listed
    /// as live.
    pub(super) fn apply_machine_list(
        &mut self,
        now: Timestamp,
        live: Vec<NodeId>,
        leaving: &[NodeId],
    ) {
        self.listed_as_live = live.into_iter().collect();
        for node in leaving {
            let Some(member) = self.table.get(node) else {
                continue;
            };
            let also_listed_as_live = self.listed_as_live.contains(node);
            let old_enough = now.since(member.since) >= MAX_MACHINE_LIST_LAG;
            let is_alive = member.update.state == MemberState::Alive;
            if is_alive && old_enough && !also_listed_as_live {
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
