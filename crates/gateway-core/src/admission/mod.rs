//! Admission control: which turns may run at an engine service now, which wait at this node, and
//! which are refused.
//!
//! Engines serve requests in order of arrival, so turns are prioritized before they are sent. While
//! a service has free places, turns are admitted immediately. Otherwise they wait in a queue,
//! and a turn that can't get a place in time is refused immediately. Places are counted per
//! service; the [`balancer`](crate::balancer) chooses the engine.
//!
//! All state is in memory only and rebuilt from this node's requests in flight and the other nodes'
//! recent reports. Without reports, a node decides on its own data.

mod allotment;
mod demand;
mod gate;
mod pace;
mod queue;
mod room;
mod tenant_shares;
mod turn;

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::tenants::TenantKey;

pub use demand::{ServiceKey, URGENCY_LEVELS, Waiting};
pub use gate::{Arrival, Decision, Refused};
pub use queue::{QueueLimits, Ticket};
pub use room::Room;
pub use turn::{ProgramState, Turn};

use allotment::PeerWaiting;
use demand::PeerDemand;
use gate::{Gate, GateContext};
use queue::Usage;
use tenant_shares::TenantShares;
use turn::QueuedTurn;

/// How turns are admitted to engine services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionMode {
    /// Every turn is admitted immediately.
    Off,
    /// A node admits turns while the loads that nodes report leave places free.
    ToldLoad,
    /// Nodes also report their waiting turns, and each uses its share of the free places.
    ToldDemand,
}

/// Parameters of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRules {
    /// How turns are admitted.
    pub mode: AdmissionMode,
    /// Fraction of a service's slots that may be used, from 0 to 1.
    pub full_share: f64,
    /// Every how many releases a turn is released that would otherwise have to wait for more urgent
    /// ones, so that no turn starves.
    pub floor_interval: u32,
    /// Whether turns of tenants with more than their share of recent tokens come later.
    pub fair_share: bool,
    /// Limits on the turns that wait at this node.
    pub limits: QueueLimits,
}

/// One node's report of its waiting turns to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Waiting turns by service.
    pub waiting: BTreeMap<ServiceKey, Waiting>,
    /// Recent tokens of the tenants that the node served the most.
    pub served: Vec<(TenantKey, u64)>,
}

/// Admission control of one node for all engine services.
#[derive(Debug)]
pub struct Admission {
    rules: AdmissionRules,
    gates: BTreeMap<String, Gate>,
    usage: Usage,
    shares: TenantShares,
    peers: PeerDemand,
    next: u64,
}

impl Admission {
    /// Creates an admission control without waiting turns or reports.
    pub fn new(rules: AdmissionRules) -> Self {
        Self {
            rules,
            gates: BTreeMap::new(),
            usage: Usage::default(),
            shares: TenantShares::default(),
            peers: PeerDemand::default(),
            next: 0,
        }
    }

    /// Decides on a new turn. The caller must refuse the turns in [`Decision::displaced`].
    pub fn arrive(&mut self, now: Timestamp, service: &str, room: Room, turn: Turn) -> Decision {
        let tenant = turn.tenant;
        let context = GateContext {
            now,
            rules: &self.rules,
            room,
            waiting_elsewhere: self.waiting_elsewhere(service),
        };
        let gate = self.gates.entry(service.to_owned()).or_default();
        if gate.try_admit(&context, turn.urgency) {
            self.shares.charge(now, tenant, turn.prompt_tokens);
            return Decision::from(Arrival::Admit);
        }
        let excess = match self.rules.fair_share {
            true => self.shares.excess(now, tenant),
            false => 0,
        };
        self.next += 1;
        let ticket = Ticket(self.next);
        let queued = QueuedTurn::of(&turn, excess, now);
        let decision = gate.queue_up(&context, &mut self.usage, ticket, queued);
        if let Arrival::Wait { .. } = decision.arrival {
            // Charged on arrival, so that waiting turns already count against their tenant.
            self.shares.charge(now, tenant, turn.prompt_tokens);
        }
        decision
    }

    /// Returns the waiting turns of a service that may run now; each of them counts as in flight.
    pub fn release(&mut self, now: Timestamp, service: &str, room: Room) -> Vec<Ticket> {
        let waiting_elsewhere = self.waiting_elsewhere(service);
        let Some(gate) = self.gates.get_mut(service) else {
            return Vec::new();
        };
        let context = GateContext {
            now,
            rules: &self.rules,
            room,
            waiting_elsewhere,
        };
        gate.release(&context, &mut self.usage)
    }

    /// Removes a waiting turn whose caller has left or whose time is over.
    pub fn withdraw(&mut self, service: &str, ticket: Ticket) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.withdraw(&mut self.usage, ticket);
        }
    }

    /// Frees the place of an admitted turn that has left its engine or won't be sent to one.
    ///
    /// `took` is its run time if it completed.
    pub fn complete(&mut self, service: &str, took: Option<Duration>) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.complete(took);
        }
    }

    /// Adds generated tokens to a tenant's usage.
    pub fn charge(&mut self, now: Timestamp, tenant: Option<TenantKey>, tokens: u64) {
        self.shares.charge(now, tenant, tokens);
    }

    /// Returns when the caller of a turn that was never released should retry.
    pub fn retry_after(&self, service: &str, room: Room, seed: u64) -> Duration {
        let waiting_elsewhere = self.waiting_elsewhere(service);
        let gate = self.gates.get(service);
        gate.map_or(Duration::ZERO, |gate| {
            gate.retry_after(&self.rules, room, waiting_elsewhere, seed)
        })
    }

    /// Returns the services for which turns wait at this node.
    pub fn waiting_services(&self) -> Vec<String> {
        let gates = self.gates.iter();
        gates
            .filter(|(_, gate)| gate.waiting_count() > 0)
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Returns the number of turns that wait at this node.
    pub fn waiting_count(&self) -> usize {
        self.usage.entries
    }

    /// Returns the report to send to the other nodes.
    pub fn demand(&mut self, now: Timestamp) -> Demand {
        let mut waiting = BTreeMap::new();
        for (service, gate) in &self.gates {
            if gate.waiting_count() > 0 {
                waiting.insert(ServiceKey::of(service), gate.waiting());
            }
        }
        let served = match waiting.is_empty() {
            true => Vec::new(),
            false => self.shares.most_served(now),
        };
        Demand { waiting, served }
    }

    /// Replaces another node's report.
    pub fn apply_peer_demand(&mut self, now: Timestamp, node: NodeId, demand: Demand) {
        self.shares.apply_report(now, node.clone(), demand.served);
        self.peers.apply_report(now, node, demand.waiting);
    }

    /// Drops expired reports of other nodes.
    pub fn drop_old(&mut self, now: Timestamp) {
        self.peers.drop_old(now);
        self.shares.drop_old(now);
    }

    fn waiting_elsewhere(&self, service: &str) -> PeerWaiting {
        match self.rules.mode {
            AdmissionMode::ToldDemand => PeerWaiting(self.peers.waiting(ServiceKey::of(service))),
            AdmissionMode::Off | AdmissionMode::ToldLoad => PeerWaiting::default(),
        }
    }
}
