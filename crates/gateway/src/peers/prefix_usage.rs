//! Exchange of the demand for prompt prefixes, so that all nodes of a zone compute the same homes
//! for them.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::peer_loads::RoundRobin;
use elderworks_gateway_core::placement::demand::{PrefixKey, PrefixUsage};
use elderworks_protocol::encode;
use elderworks_protocol::gateway::{GatewayDatagram, PrefixReport, PrefixUsageReport};
use elderworks_types::Timestamp;
use tokio::net::UdpSocket;

use super::loads;
use crate::gateway::Gateway;

/// Interval of the reports; demand changes slowly.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of recipients per report; if there are more nodes, they take turns.
const MAX_RECIPIENTS: usize = 16;

/// Sends the demand at this node to the other nodes of its zone.
#[derive(Debug, Default)]
pub(super) struct PrefixUsageSender {
    sent_at: Option<Timestamp>,
    rotation: RoundRobin,
}

impl PrefixUsageSender {
    /// Sends a report if one is due. Other zones receive none: their demand is similar, and traffic
    /// between zones is expensive.
    pub(super) fn send_if_due(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let policy = &gateway.settings.policy;
        let is_early = |at: Timestamp| now.since(at) < REPORT_INTERVAL;
        if !policy.part_homes || self.sent_at.is_some_and(is_early) {
            return;
        }
        self.sent_at = Some(now);
        let recipients = self.recipients(gateway);
        let workers = gateway.workers.borrow();
        for (service, uses) in workers.own_demand() {
            if uses.is_empty() {
                continue;
            }
            let report = PrefixReport {
                node: gateway.settings.node.clone(),
                service: service.to_owned(),
                uses: uses
                    .iter()
                    .map(|(prefix, used)| usage_report(*prefix, used))
                    .collect(),
            };
            let datagram = encode(&GatewayDatagram::Parts(report));
            for to in &recipients {
                // A lost report is superseded by the next one.
                let _ = socket.try_send_to(&datagram, *to);
            }
        }
    }

    fn recipients(&mut self, gateway: &Gateway) -> Vec<SocketAddr> {
        let own_zone = gateway.settings.zone.as_str();
        let nodes = gateway.nodes.borrow();
        let near = nodes.iter().filter(|(node, known)| {
            *node != &gateway.settings.node
                && known.record.zone == own_zone
                && !known.record.draining
                && gateway.peers.is_alive(node)
        });
        let near = near.map(|(node, known)| (node, known.record.peer_address));
        let near = loads::serving_if_many(gateway, near.collect(), MAX_RECIPIENTS);
        self.rotation.pick(near, MAX_RECIPIENTS)
    }
}

fn usage_report(prefix: PrefixKey, used: &PrefixUsage) -> PrefixUsageReport {
    PrefixUsageReport {
        part: prefix.0,
        tokens: used.tokens,
        turn_tenths: (used.turns * 10.0) as u32,
    }
}

/// Applies another node's report.
pub(super) fn receive(gateway: &Gateway, report: PrefixReport) {
    if report.node == gateway.settings.node {
        return;
    }
    let uses = report.uses.iter().map(|reported| {
        let used = PrefixUsage {
            tokens: reported.tokens,
            turns: f64::from(reported.turn_tenths) / 10.0,
        };
        (PrefixKey(reported.part), used)
    });
    let now = gateway.now();
    let mut workers = gateway.workers.borrow_mut();
    workers.apply_peer_demand(now, report.node, &report.service, uses.collect());
}
