//! Nodes tell each other how much their callers ask for first parts of prompts, so that all count
//! the same homes for them.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::peer_loads::Rota;
use elderworks_gateway_core::placement::demand::{PrefixKey, PrefixUsage};
use elderworks_protocol::encode;
use elderworks_protocol::gateway::{GatewayDatagram, PartReport, PartUseReport};
use elderworks_types::Timestamp;
use tokio::net::UdpSocket;

use super::loads;
use crate::gateway::Gateway;

/// Demand is told at this interval; it changes slowly.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Most nodes that are told at a time; with more, they take turns.
const MOST_TOLD: usize = 16;

/// When was told last, and whose turn is next.
#[derive(Debug, Default)]
pub(super) struct PartTeller {
    told_at: Option<Timestamp>,
    near: Rota,
}

impl PartTeller {
    /// Tells the other nodes of this zone of the demand here, if it is time. Demand of other zones
    /// has the same shape, and bytes between zones are dear.
    pub(super) fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let policy = &gateway.settings.policy;
        let is_early = |at: Timestamp| now.since(at) < TELL_INTERVAL;
        if !policy.part_homes || self.told_at.is_some_and(is_early) {
            return;
        }
        self.told_at = Some(now);
        let recipients = self.recipients(gateway);
        let workers = gateway.workers.borrow();
        for (service, uses) in workers.own_demand() {
            if uses.is_empty() {
                continue;
            }
            let report = PartReport {
                node: gateway.settings.node.clone(),
                service: service.to_owned(),
                uses: uses.iter().map(|(part, used)| told(*part, used)).collect(),
            };
            let datagram = encode(&GatewayDatagram::Parts(report));
            for to in &recipients {
                // The next report makes up for one that is lost.
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
        let near = loads::serving_if_many(gateway, near.collect(), MOST_TOLD);
        self.near.pick(near, MOST_TOLD)
    }
}

fn told(part: PrefixKey, used: &PrefixUsage) -> PartUseReport {
    PartUseReport {
        part: part.0,
        tokens: used.tokens,
        turn_tenths: (used.turns * 10.0) as u32,
    }
}

/// Takes another node's report.
pub(super) fn take(gateway: &Gateway, report: PartReport) {
    if report.node == gateway.settings.node {
        return;
    }
    let uses = report.uses.iter().map(|told| {
        let used = PrefixUsage {
            tokens: told.tokens,
            turns: f64::from(told.turn_tenths) / 10.0,
        };
        (PrefixKey(told.part), used)
    });
    let now = gateway.now();
    let mut workers = gateway.workers.borrow_mut();
    workers.apply_peer_demand(now, report.node, &report.service, uses.collect());
}
