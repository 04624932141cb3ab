//! Exchange of quota use: nodes report to each other the requests they have sent for tenants with a
//! quota.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use elderworks_gateway_core::quota::{REPORT_INTERVAL, ReportTurns, TenantUse};
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_protocol::gateway::{GatewayDatagram, QuotaReport, TenantUseReport};
use elderworks_types::{NodeId, Timestamp};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Sends the quota use at this node to other nodes.
#[derive(Debug, Default)]
pub(super) struct QuotaSender {
    sent_at: Option<Timestamp>,
    /// Whether the last report was not empty.
    has_reported: bool,
    rotation: ReportTurns,
}

impl QuotaSender {
    /// Sends a report if one is due and not empty, or the first empty one after that.
    pub(super) fn send_if_due(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        if self
            .sent_at
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL)
        {
            return;
        }
        self.sent_at = Some(now);
        let accepts_callers = gateway.serving.borrow().contains(&gateway.settings.node);
        let mut quotas = gateway.quotas.borrow_mut();
        quotas.note_accepts_callers(accepts_callers);
        let uses = quotas.report(now, gateway.fleet());
        drop(quotas);
        // A single empty report clears the previous one.
        if uses.is_empty() && !self.has_reported {
            return;
        }
        self.has_reported = !uses.is_empty();
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

    /// Returns the addresses of the serving nodes and of others that have reported requests.
    fn recipients(&mut self, gateway: &Gateway) -> Vec<SocketAddr> {
        let nodes = gateway.nodes.borrow();
        let quotas = gateway.quotas.borrow();
        let mut recipients: BTreeSet<&NodeId> = quotas.reporting_nodes().collect();
        let serving = gateway.serving_nodes(&nodes);
        recipients.extend(serving);
        recipients.remove(&gateway.settings.node);
        let addresses = recipients
            .into_iter()
            .filter_map(|node| Some(nodes.get(node)?.record.peer_address))
            .collect();
        self.rotation.take(addresses)
    }
}

/// Returns whether any tenant has a quota in the current configuration.
pub(super) fn has_quotas(gateway: &Gateway) -> bool {
    let config = gateway.current_config();
    config.is_some_and(|config| config.has_quotas())
}

/// Returns the addresses of the other nodes that accept callers.
pub(super) fn serving_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let nodes = gateway.nodes.borrow();
    let serving = gateway.serving_nodes(&nodes).into_iter();
    let others = serving.filter(|node| **node != gateway.settings.node);
    others
        .filter_map(|node| Some(nodes.get(node)?.record.peer_address))
        .collect()
}

/// Applies another node's report.
pub(super) fn receive(gateway: &Gateway, report: QuotaReport) {
    let uses = report.uses.into_iter().map(|reported| {
        let used = TenantUse {
            sent: reported.sent,
            asked: reported.asked,
        };
        (TenantKey(reported.tenant), used)
    });
    let now = gateway.now();
    let mut quotas = gateway.quotas.borrow_mut();
    quotas.take_report(now, report.node, uses);
}
