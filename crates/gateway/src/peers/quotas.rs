//! Nodes tell each other what they have sent on for tenants that have a quota.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use elderworks_gateway_core::quota::{REPORT_INTERVAL, ReportTurns, TenantUse};
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_protocol::gateway::{GatewayDatagram, QuotaReport, TenantUseReport};
use elderworks_types::{NodeId, Timestamp};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// When was told last, and whose turn is next.
#[derive(Debug, Default)]
pub(super) struct QuotaTeller {
    told_at: Option<Timestamp>,
    has_told: bool,
    turns: ReportTurns,
}

impl QuotaTeller {
    /// Tells the others what was sent on here, if it is time and there is anything to tell.
    pub(super) fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        if self
            .told_at
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL)
        {
            return;
        }
        self.told_at = Some(now);
        let uses = gateway.quotas.borrow_mut().report(now, gateway.fleet());
        // An empty report is told once: it takes back the one before.
        if uses.is_empty() && !self.has_told {
            return;
        }
        self.has_told = !uses.is_empty();
        let uses = uses.into_iter().map(|(tenant, used)| TenantUseReport {
            tenant: tenant.0,
            sent: used.sent,
            asked: used.asked,
        });
        let report = QuotaReport {
            node: gateway.settings.node.clone(),
            uses: uses.collect(),
        };
        let recipients = self.recipients(gateway);
        super::send(gateway, socket, &GatewayDatagram::Quota(report), recipients);
    }

    /// The nodes that callers are sent to, and those that have told of requests nevertheless.
    fn recipients(&mut self, gateway: &Gateway) -> Vec<SocketAddr> {
        let nodes = gateway.nodes.borrow();
        let quotas = gateway.quotas.borrow();
        let mut told: BTreeSet<&NodeId> = quotas.reporting_nodes().collect();
        let serving = gateway.serving_nodes(&nodes);
        told.extend(serving);
        told.remove(&gateway.settings.node);
        let addresses = told
            .into_iter()
            .filter_map(|node| Some(nodes.get(node)?.record.peer_address))
            .collect();
        self.turns.take(addresses)
    }
}

/// Takes another node's report.
pub(super) fn take(gateway: &Gateway, report: QuotaReport) {
    let uses = report.uses.into_iter().map(|told| {
        let used = TenantUse {
            sent: told.sent,
            asked: told.asked,
        };
        (TenantKey(told.tenant), used)
    });
    let now = gateway.now();
    let mut quotas = gateway.quotas.borrow_mut();
    quotas.take_report(now, report.node, uses);
}
