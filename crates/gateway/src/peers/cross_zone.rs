//! Traffic with nodes of other zones: counts the bytes sent there and observes the health of zones.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use elderworks_gateway_core::nodes::NodeDirectory;
use elderworks_gateway_core::zone_health::{FailureSource, ZonePart};
use elderworks_protocol::encode;
use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_types::NodeId;
use tokio::net::UdpSocket;

use super::Peers;
use crate::cross_zone_bytes::{CrossZoneBytes, TrafficKind};
use crate::gateway::Gateway;

impl Peers {
    /// Updates the addresses that belong to other zones.
    pub(super) fn update_remote_zones(&self, nodes: &NodeDirectory) {
        let records = nodes.iter().map(|(_, known)| &known.record);
        let remote = records.filter(|record| record.zone != self.own_zone.as_str());
        let zones = remote.map(|record| (record.peer_address, record.zone.clone()));
        *self.remote_zones.borrow_mut() = zones.collect();
    }

    /// Returns the counter for bytes sent to a node, if the node is in another zone.
    pub(super) fn counter_for(&self, gateway: &Gateway, node: &NodeId) -> Option<CrossZoneBytes> {
        let is_remote = is_in_other_zone(gateway, node);
        is_remote.then(|| gateway.metrics.far_bytes.clone())
    }

    /// Returns the counter for bytes sent to a node that has connected from `ip`, if it is in another
    /// zone.
    pub(super) fn counter_for_address(
        &self,
        gateway: &Gateway,
        ip: IpAddr,
    ) -> Option<CrossZoneBytes> {
        let remote = self.remote_zones.borrow();
        let is_remote = remote.keys().any(|address| address.ip() == ip);
        is_remote.then(|| gateway.metrics.far_bytes.clone())
    }

    /// Records a datagram from a node as evidence that the nodes of its zone answer.
    pub(super) fn note_received_from(&self, gateway: &Gateway, address: SocketAddr) {
        if !gateway.settings.policy.zone_suspicion {
            return;
        }
        if let Some(zone) = self.remote_zones.borrow().get(&address) {
            let now = gateway.now();
            let mut workers = gateway.workers.borrow_mut();
            let zones = workers.zone_health_mut();
            zones.note_answer(now, zone, ZonePart::Nodes);
        }
    }

    /// Records that a node doesn't answer or is suspected to be dead.
    pub(super) fn note_node_failure(&self, gateway: &Gateway, node: &NodeId) {
        if !gateway.settings.policy.zone_suspicion {
            return;
        }
        let nodes = gateway.nodes.borrow();
        if let Some(known) = nodes.get(node) {
            let now = gateway.now();
            let mut workers = gateway.workers.borrow_mut();
            let zones = workers.zone_health_mut();
            zones.note_failure(now, &known.record.zone, FailureSource::node(node));
        }
    }

    /// Returns whether the nodes of a node's zone are suspected as a group.
    pub(crate) fn is_in_suspected_zone(&self, gateway: &Gateway, node: &NodeId) -> bool {
        let nodes = gateway.nodes.borrow();
        let Some(known) = nodes.get(node) else {
            return false;
        };
        let workers = gateway.workers.borrow();
        let zones = workers.zone_health();
        zones.is_suspected(gateway.now(), &known.record.zone, ZonePart::Nodes)
    }
}

fn is_in_other_zone(gateway: &Gateway, node: &NodeId) -> bool {
    let nodes = gateway.nodes.borrow();
    let own = gateway.settings.zone.as_str();
    nodes
        .get(node)
        .is_some_and(|known| known.record.zone != own)
}

/// Zones of the nodes in other zones, keyed by peer address.
pub(super) type RemoteZones = HashMap<SocketAddr, String>;

/// Sends a datagram to each address and counts the bytes that go to other zones.
pub(crate) fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    datagram: &GatewayDatagram,
    to: impl IntoIterator<Item = SocketAddr>,
) {
    let bytes = encode(datagram);
    let kind = TrafficKind::of_datagram(datagram);
    for address in to {
        if gateway.peers.remote_zones.borrow().contains_key(&address) {
            gateway.metrics.far_bytes.note(kind, bytes.len());
        }
        // Callers tolerate lost datagrams.
        let _ = socket.try_send_to(&bytes, address);
    }
}

/// Logs and counts zones that have become suspected or are no longer suspected.
pub(super) fn report_zone_changes(gateway: &Gateway) {
    let now = gateway.now();
    let mut workers = gateway.workers.borrow_mut();
    let changes = workers.zone_health_mut().changes(now);
    for change in &changes {
        let zone = change.zone.as_str();
        let part = change.part.name();
        if change.is_suspected {
            gateway.metrics.zones_suspected.inc();
            log::warn!(zone = zone, part = part, failing = change.failing; "zone suspected");
        } else {
            log::info!(zone = zone, part = part; "zone no longer suspected");
        }
    }
    if changes.is_empty() {
        return;
    }
    let zones = workers.zone_health();
    let suspected = ZonePart::ALL.map(|part| zones.suspected(now, part).count());
    let count = i64::try_from(suspected.iter().sum::<usize>()).unwrap_or(i64::MAX);
    gateway.metrics.zones_suspected_now.set(count);
    drop(workers);
    // Partitions of the suspected nodes move to other nodes immediately.
    gateway.peers.mark_stale();
    gateway.note_node_changes();
}
