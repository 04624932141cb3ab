//! Exchange of admission demand: nodes report the turns that wait for engine slots at them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elderworks_gateway_core::admission::{
    AdmissionMode, Demand, ServiceKey, URGENCY_LEVELS, Waiting,
};
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_protocol::gateway::{DemandReport, GatewayDatagram, ServiceDemandReport};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Maximum number of recipients per report; if there are more nodes, they take turns.
const MAX_RECIPIENTS: usize = 32;

/// Sends the demand of this node to the other nodes.
#[derive(Debug, Default)]
pub(super) struct DemandSender {
    /// Number of nodes that still have to be sent an empty report, since no turn waits any more.
    pending_clears: usize,
    /// Position of the next recipient if there are more nodes than [`MAX_RECIPIENTS`].
    next: usize,
}

impl DemandSender {
    /// Sends the demand to the other serving nodes as long as any turn waits here, and once more when
    /// none does.
    pub(super) fn send(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if gateway.settings.policy.admission != AdmissionMode::ToldDemand {
            return;
        }
        let now = gateway.now();
        let demand = {
            let mut core = gateway.admission.core.borrow_mut();
            core.drop_old(now);
            core.demand(now)
        };
        if demand.waiting.is_empty() && self.pending_clears == 0 {
            return;
        }
        let others = others(gateway);
        let recipients = others.len().min(MAX_RECIPIENTS);
        self.pending_clears = match demand.waiting.is_empty() {
            true => self.pending_clears.saturating_sub(recipients.max(1)),
            false => others.len(),
        };
        let report = GatewayDatagram::Demand(report_of(gateway, demand));
        super::send(gateway, socket, &report, self.rotate(others));
    }

    /// Returns the next [`MAX_RECIPIENTS`] addresses.
    fn rotate(&mut self, mut all: Vec<SocketAddr>) -> Vec<SocketAddr> {
        if all.len() > MAX_RECIPIENTS {
            let start = self.next % all.len();
            all.rotate_left(start);
            all.truncate(MAX_RECIPIENTS);
            self.next = self.next.wrapping_add(MAX_RECIPIENTS);
        }
        all
    }
}

/// Returns the addresses of the other serving nodes; no other node has waiting turns.
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

/// Applies another node's report.
pub(super) fn receive(gateway: &Gateway, report: DemandReport) {
    let waiting: BTreeMap<ServiceKey, Waiting> = report
        .services
        .into_iter()
        .map(|reported| (ServiceKey(reported.service), waiting_of(&reported.waiting)))
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
