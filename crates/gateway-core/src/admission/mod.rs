//! Which turns may go to an engine service now, which wait at this node, and which are refused.
//!
//! Engines serve in order of arrival, so the only place where urgent work can overtake other work
//! is before it is sent. While a service has places free, turns pass at once. When it is as full
//! as is good for its pace, they wait here in the order of [`queue`], and a turn that cannot get
//! a place in the time that it has is refused at once. Places are counted by service; which
//! engine runs a turn is decided by [`balancer`](crate::balancer).
//!
//! Everything here is soft: it is rebuilt from what this node has under way and from what the
//! others have told lately. Without their word a node acts on its own, as in a calm second.

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
    /// Every turn goes at once.
    Off,
    /// A node lets turns go while places look free, from the load that the others tell.
    ToldLoad,
    /// Nodes also tell each other what waits where, and each takes its share of the free places.
    ToldDemand,
}

/// Settings of the admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRules {
    /// How turns are admitted.
    pub mode: AdmissionMode,
    /// Share of an engine's slots that count as places.
    pub full_share: f64,
    /// One release in so many goes to the turn that has waited longest.
    pub floor_interval: u32,
    /// Whether tenants share room that is short by the tokens that they were served lately.
    pub fair_share: bool,
    /// What may wait at this node.
    pub limits: QueueLimits,
}

/// What one node tells the others of the turns that wait at it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Turns that wait, by service.
    pub waiting: BTreeMap<ServiceKey, Waiting>,
    /// Tokens that this node served lately to the tenants that it served most.
    pub served: Vec<(TenantKey, u64)>,
}

/// The admission of one node, for all engine services.
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
    /// Knows nothing yet; nothing waits.
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

    /// Decides on a turn that has arrived. Those in [`Decision::displaced`] are to be refused.
    pub fn arrive(&mut self, now: Timestamp, service: &str, room: Room, turn: Turn) -> Decision {
        let tenant = turn.tenant;
        let context = GateContext {
            now,
            rules: &self.rules,
            room,
            elsewhere: self.elsewhere(service),
        };
        let gate = self.gates.entry(service.to_owned()).or_default();
        if gate.passes(&context, turn.urgency) {
            self.shares.charge(now, tenant, turn.prompt_tokens);
            return Decision::from(Arrival::Admit);
        }
        let excess = match self.rules.fair_share {
            true => self.shares.excess(now, tenant),
            false => 0,
        };
        self.next += 1;
        let ticket = Ticket(self.next);
        let claim = QueuedTurn::of(&turn, excess, now);
        let decision = gate.queue_up(&context, &mut self.usage, ticket, claim);
        if let Arrival::Wait { .. } = decision.arrival {
            // Counted before it goes, so that a tenant's later turns stand behind its earlier ones.
            self.shares.charge(now, tenant, turn.prompt_tokens);
        }
        decision
    }

    /// The turns of a service that may go now; each of them counts as under way.
    pub fn release(&mut self, now: Timestamp, service: &str, room: Room) -> Vec<Ticket> {
        let elsewhere = self.elsewhere(service);
        let Some(gate) = self.gates.get_mut(service) else {
            return Vec::new();
        };
        let context = GateContext {
            now,
            rules: &self.rules,
            room,
            elsewhere,
        };
        gate.release(&context, &mut self.usage)
    }

    /// A turn waits no longer: its caller has left, or its time is over.
    pub fn withdraw(&mut self, service: &str, ticket: Ticket) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.withdraw(&mut self.usage, ticket);
        }
    }

    /// A turn that went has left its engine, or will not go to one.
    ///
    /// `took` is its time there if it was run to its end.
    pub fn complete(&mut self, service: &str, took: Option<Duration>) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.end(took);
        }
    }

    /// Counts tokens that were generated for a tenant.
    pub fn charge(&mut self, now: Timestamp, tenant: Option<TenantKey>, tokens: u64) {
        self.shares.charge(now, tenant, tokens);
    }

    /// When a caller whose turn waited in vain should come back.
    pub fn retry_after(&self, service: &str, room: Room, spread: u64) -> Duration {
        let elsewhere = self.elsewhere(service);
        let gate = self.gates.get(service);
        gate.map_or(Duration::ZERO, |gate| {
            gate.retry_after(&self.rules, room, elsewhere, spread)
        })
    }

    /// Services at which turns wait here.
    pub fn waiting_services(&self) -> Vec<String> {
        let gates = self.gates.iter();
        gates
            .filter(|(_, gate)| gate.waiting_count() > 0)
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// How many turns wait here.
    pub fn waiting_count(&self) -> usize {
        self.usage.entries
    }

    /// What the others are to be told.
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

    /// Takes what another node tells, in place of what it told before.
    pub fn apply_peer_demand(&mut self, now: Timestamp, node: NodeId, demand: Demand) {
        self.shares.take(now, node.clone(), demand.served);
        self.peers.take(now, node, demand.waiting);
    }

    /// Drops what other nodes told too long ago.
    pub fn drop_old(&mut self, now: Timestamp) {
        self.peers.drop_old(now);
        self.shares.drop_old(now);
    }

    fn elsewhere(&self, service: &str) -> PeerWaiting {
        match self.rules.mode {
            AdmissionMode::ToldDemand => PeerWaiting(self.peers.waiting(ServiceKey::of(service))),
            AdmissionMode::Off | AdmissionMode::ToldLoad => PeerWaiting::default(),
        }
    }
}
