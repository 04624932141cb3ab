//! Nodes tell each other what waits at them for places at engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elderworks_gateway_core::admission::{
    AdmissionMode, Demand, ServiceKey, URGENCY_LEVELS, Waiting,
};
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_protocol::gateway::{DemandReport, GatewayDatagram, ServiceDemandReport};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Most nodes that are told at a time; with more, they take turns.
const MOST_TOLD: usize = 32;

/// Whether there is something to take back, and whose turn is next.
#[derive(Debug, Default)]
pub(super) struct DemandTeller {
    /// Nodes that have yet to be told that nothing waits any more.
    to_take_back: usize,
    next: usize,
}

impl DemandTeller {
    /// Tells the other nodes that take callers what waits here, while anything does.
    pub(super) fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if gateway.settings.policy.admission != AdmissionMode::ToldDemand {
            return;
        }
        let now = gateway.now();
        let demand = {
            let mut core = gateway.admission.core.borrow_mut();
            core.drop_old(now);
            core.demand(now)
        };
        if demand.waiting.is_empty() && self.to_take_back == 0 {
            return;
        }
        let others = others(gateway);
        let told = others.len().min(MOST_TOLD);
        self.to_take_back = match demand.waiting.is_empty() {
            true => self.to_take_back.saturating_sub(told.max(1)),
            false => others.len(),
        };
        let report = GatewayDatagram::Demand(report_of(gateway, demand));
        super::send(gateway, socket, &report, self.take_turns(others));
    }

    fn take_turns(&mut self, mut all: Vec<SocketAddr>) -> Vec<SocketAddr> {
        if all.len() > MOST_TOLD {
            let start = self.next % all.len();
            all.rotate_left(start);
            all.truncate(MOST_TOLD);
            self.next = self.next.wrapping_add(MOST_TOLD);
        }
        all
    }
}

/// Only nodes that take callers have turns that wait.
fn others(gateway: &Gateway) -> Vec<SocketAddr> {
    let nodes = gateway.nodes.borrow();
    let serving = gateway.serving.borrow();
    serving
        .iter()
        .filter(|node| **node != gateway.settings.node)
        .filter_map(|node| Some(nodes.get(node)?.record.peer_address))
        .collect()
}

fn report_of(gateway: &Gateway, demand: Demand) -> DemandReport {
    let services = demand.waiting.into_iter();
    let services = services.map(|(service, waiting)| ServiceDemandReport {
        service: service.0,
        waiting: levels_of(waiting),
    });
    let served = demand.served.into_iter();
    DemandReport {
        node: gateway.settings.node.clone(),
        services: services.collect(),
        served: served.map(|(tenant, tokens)| (tenant.0, tokens)).collect(),
    }
}

fn levels_of(waiting: Waiting) -> Vec<(u8, u32)> {
    let levels = (0_u8..).zip(waiting.0);
    levels.filter(|(_, count)| *count > 0).collect()
}

/// Takes another node's report.
pub(super) fn take(gateway: &Gateway, report: DemandReport) {
    let waiting: BTreeMap<ServiceKey, Waiting> = report
        .services
        .into_iter()
        .map(|told| (ServiceKey(told.service), waiting_of(&told.waiting)))
        .collect();
    let served = report.served.into_iter();
    let demand = Demand {
        waiting,
        served: served
            .map(|(tenant, tokens)| (TenantKey(tenant), tokens))
            .collect(),
    };
    let now = gateway.now();
    let mut core = gateway.admission.core.borrow_mut();
    core.apply_peer_demand(now, report.node, demand);
}

fn waiting_of(levels: &[(u8, u32)]) -> Waiting {
    let mut waiting = [0; URGENCY_LEVELS];
    for (level, count) in levels {
        if let Some(known) = waiting.get_mut(usize::from(*level)) {
            *known = *count;
        }
    }
    Waiting(waiting)
}
