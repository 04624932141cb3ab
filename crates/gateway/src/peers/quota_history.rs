//! Recovery of quota counts after a restart: a process that has started asks the other nodes what the
//! process before it forwarded.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::quota::{AgedCount, HistoryRounds, ReportTurns, UseHistory};
use elderworks_protocol::gateway::{GatewayDatagram, QuotaHistoryMessage, TenantHistory};
use elderworks_types::NodeId;
use tokio::net::UdpSocket;

use super::quotas::{has_quotas, serving_addresses};
use crate::gateway::Gateway;
use crate::quota_records::{decode_tenant, encode_tenant};

/// Maximum number of tenants in an answer, so that it fits into a datagram.
const MAX_TENANTS: usize = 200;

/// Asks other nodes for the history of the earlier process on this machine.
#[derive(Debug, Default)]
pub(super) struct HistoryRequester {
    rounds: HistoryRounds,
    rotation: ReportTurns,
}

impl HistoryRequester {
    /// Sends a round of questions if one is due and the history is still unknown.
    pub(super) fn ask_if_due(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let needs_history = gateway.quotas.borrow().needs_history(now);
        if !needs_history || !self.rounds.is_due(now) || !has_quotas(gateway) {
            return;
        }
        let recipients = self.rotation.take(serving_addresses(gateway));
        if recipients.is_empty() {
            return;
        }
        self.rounds.note_asked(now);
        let uptime = gateway.quotas.borrow().uptime(now);
        let question = QuotaHistoryMessage::Asked {
            node: gateway.settings.node.clone(),
            uptime_ms: u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX),
        };
        let question = GatewayDatagram::QuotaHistory(question);
        super::send(gateway, socket, &question, recipients);
    }
}

/// Handles another node's message.
pub(super) fn receive(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: SocketAddr,
    message: QuotaHistoryMessage,
) {
    match message {
        QuotaHistoryMessage::Asked { node, uptime_ms } => {
            answer(
                gateway,
                socket,
                from,
                &node,
                Duration::from_millis(uptime_ms),
            );
        }
        QuotaHistoryMessage::Told {
            report_age_ms,
            tenants,
        } => take(gateway, from, report_age_ms, tenants),
    }
}

/// Tells a node what this node has heard from the process before its current one, if anything.
fn answer(gateway: &Gateway, socket: &UdpSocket, to: SocketAddr, node: &NodeId, uptime: Duration) {
    let now = gateway.now();
    let history = gateway.quotas.borrow().history_of(now, node, uptime);
    let Some(UseHistory {
        report_age,
        mut tenants,
    }) = history
    else {
        return;
    };
    tenants.sort_by_key(|(_, sent)| std::cmp::Reverse(total(sent)));
    tenants.truncate(MAX_TENANTS);
    let told = QuotaHistoryMessage::Told {
        report_age_ms: u64::try_from(report_age.as_millis()).unwrap_or(u64::MAX),
        tenants: tenants.into_iter().map(encode_tenant).collect(),
    };
    super::send(gateway, socket, &GatewayDatagram::QuotaHistory(told), [to]);
}

/// Applies an answer to this node's question.
fn take(gateway: &Gateway, from: SocketAddr, report_age_ms: u64, tenants: Vec<TenantHistory>) {
    let history = UseHistory {
        report_age: Duration::from_millis(report_age_ms),
        tenants: tenants.into_iter().map(decode_tenant).collect(),
    };
    let requests: u32 = history.tenants.iter().map(|(_, sent)| total(sent)).sum();
    log::info!(
        from:% = from, tenants = history.tenants.len(), requests = requests,
        report_age_ms = report_age_ms;
        "received quota use of the earlier process"
    );
    let now = gateway.now();
    gateway.quotas.borrow_mut().take_history(now, &history);
}

fn total(sent: &[AgedCount]) -> u32 {
    sent.iter().map(|aged| aged.count).sum()
}
