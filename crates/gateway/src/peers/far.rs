//! The nodes of other zones: what is sent to them, and what they show of their zone.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use elderworks_gateway_core::nodes::NodeDirectory;
use elderworks_gateway_core::zone_health::{FailureSource, ZonePart};
use elderworks_protocol::encode;
use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_types::NodeId;
use tokio::net::UdpSocket;

use super::Peers;
use crate::cross_zone_bytes::{FarBytes, TrafficKind};
use crate::gateway::Gateway;

impl Peers {
    /// Works out which addresses are of other zones.
    pub(super) fn note_zones(&self, nodes: &NodeDirectory) {
        let records = nodes.iter().map(|(_, known)| &known.record);
        let far = records.filter(|record| record.zone != self.own_zone.as_str());
        let zones = far.map(|record| (record.peer_address, record.zone.clone()));
        *self.far_zones.borrow_mut() = zones.collect();
    }

    /// Counts what is sent to a node, if that is in another zone.
    pub(super) fn counter_for(&self, gateway: &Gateway, node: &NodeId) -> Option<FarBytes> {
        let is_far = is_far(gateway, node);
        is_far.then(|| gateway.metrics.far_bytes.clone())
    }

    /// The same for a node that has connected.
    pub(super) fn counter_for_address(&self, gateway: &Gateway, ip: IpAddr) -> Option<FarBytes> {
        let far = self.far_zones.borrow();
        let is_far = far.keys().any(|address| address.ip() == ip);
        is_far.then(|| gateway.metrics.far_bytes.clone())
    }

    /// Notes that a datagram has come from a node.
    pub(super) fn note_heard_from(&self, gateway: &Gateway, address: SocketAddr) {
        if !gateway.settings.policy.zone_suspicion {
            return;
        }
        if let Some(zone) = self.far_zones.borrow().get(&address) {
            let now = gateway.now();
            let mut workers = gateway.workers.borrow_mut();
            let zones = workers.zone_health_mut();
            zones.note_answer(now, zone, ZonePart::Nodes);
        }
    }

    /// Notes that a node does not answer, or is held to be gone.
    pub(super) fn note_silent(&self, gateway: &Gateway, node: &NodeId) {
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

    /// Whether the nodes of this node's zone seem lost together.
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

fn is_far(gateway: &Gateway, node: &NodeId) -> bool {
    let nodes = gateway.nodes.borrow();
    let own = gateway.settings.zone.as_str();
    nodes
        .get(node)
        .is_some_and(|known| known.record.zone != own)
}

/// Zones of the nodes of other zones, by the address at which they hear others.
pub(super) type FarZones = HashMap<SocketAddr, String>;

/// Sends a datagram, and counts it if it goes to another zone.
pub(crate) fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    datagram: &GatewayDatagram,
    to: impl IntoIterator<Item = SocketAddr>,
) {
    let bytes = encode(datagram);
    let kind = TrafficKind::of_datagram(datagram);
    for address in to {
        if gateway.peers.far_zones.borrow().contains_key(&address) {
            gateway.metrics.far_bytes.note(kind, bytes.len());
        }
        // Datagrams may be lost anyway; whoever sends one makes up for that.
        let _ = socket.try_send_to(&bytes, address);
    }
}

/// Logs what has changed of zones as a whole.
pub(super) fn tell_zone_changes(gateway: &Gateway) {
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
    // Partitions of nodes that seem lost pass to others at once.
    gateway.peers.note_stale();
    gateway.note_node_changes();
}
