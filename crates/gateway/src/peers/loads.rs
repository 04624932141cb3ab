//! Nodes tell each other what they have under way at workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use elderworks_gateway_core::peer_loads::{REPORT_LIFETIME, Rota, WorkerKey};
use elderworks_protocol::gateway::{GatewayDatagram, LoadReport};
use elderworks_types::NodeId;
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Interval at which the nodes that share this zone's callers are told.
pub(super) const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Nodes of other zones are told at each so many intervals: they use the same workers only under
/// load.
const FAR_INTERVALS: u32 = 3;

/// A load that has not changed is told again after this long.
const REPEAT_INTERVAL: Duration = REPORT_LIFETIME.checked_div(3).expect("three is not zero");

/// Most nodes of this zone that are told at a time; with more, they take turns.
const MOST_TOLD: usize = 16;

/// The same for other zones: up to 128 nodes there hear within the lifetime of a report.
const MOST_FAR_TOLD: usize = 32;

/// What was told last, and whose turn is next.
#[derive(Debug, Default)]
pub(super) struct LoadSender {
    told: Option<(Instant, BTreeMap<WorkerKey, u32>)>,
    intervals: u32,
    near: Rota,
    far: Rota,
}

impl LoadSender {
    /// Tells other nodes of this one's load, unless they know it.
    pub(super) fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if !gateway.settings.policy.shared_load {
            return;
        }
        self.intervals = self.intervals.wrapping_add(1);
        let counts = {
            let mut workers = gateway.workers.borrow_mut();
            workers.drop_old_loads(gateway.now());
            workers.own_load()
        };
        let is_known = |(at, told): &(Instant, BTreeMap<WorkerKey, u32>)| {
            *told == counts && at.elapsed() < REPEAT_INTERVAL
        };
        if self.told.as_ref().is_some_and(is_known) {
            return;
        }
        let was_idle = self.told.as_ref().is_none_or(|(_, told)| told.is_empty());
        let is_idle = counts.is_empty();
        let report = LoadReport {
            node: gateway.settings.node.clone(),
            counts: counts.iter().map(|(key, count)| (key.0, *count)).collect(),
        };
        self.told = Some((Instant::now(), counts));
        if is_idle && was_idle {
            return;
        }
        let recipients = self.recipients(gateway);
        super::send(gateway, socket, &GatewayDatagram::Load(report), recipients);
    }

    fn recipients(&mut self, gateway: &Gateway) -> Vec<SocketAddr> {
        let own_zone = gateway.settings.zone.as_str();
        let nodes = gateway.nodes.borrow();
        let is_far_turn = self.intervals.is_multiple_of(FAR_INTERVALS);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (node, known) in nodes.iter() {
            let is_other = *node != gateway.settings.node;
            if !is_other || !gateway.peers.is_alive(node) || known.record.draining {
                continue;
            }
            let address = known.record.peer_address;
            if known.record.zone == own_zone {
                near.push((node, address));
            } else if is_far_turn {
                far.push((node, address));
            }
        }
        let readers = gateway.feed.readers(gateway);
        let mut told = self
            .near
            .pick(serving_if_many(gateway, near, MOST_TOLD), MOST_TOLD);
        let far = serving_if_many(gateway, far, MOST_FAR_TOLD);
        told.extend(self.far.pick(far, MOST_FAR_TOLD));
        told.extend(
            readers
                .iter()
                .filter_map(|node| Some(nodes.get(node)?.record.peer_address)),
        );
        told
    }
}

/// Where more nodes would have to be told than at a time, only those that callers are sent to are: the
/// others send hardly anything to workers.
pub(super) fn serving_if_many(
    gateway: &Gateway,
    nodes: Vec<(&NodeId, SocketAddr)>,
    most: usize,
) -> Vec<SocketAddr> {
    let serving = gateway.serving.borrow();
    let is_many = nodes.len() > most;
    let told = nodes
        .into_iter()
        .filter(|(node, _)| !is_many || serving.contains(*node));
    told.map(|(_, address)| address).collect()
}

/// Takes another node's report.
pub(super) fn take(gateway: &Gateway, report: LoadReport) {
    if report.node == gateway.settings.node {
        return;
    }
    let counts = report.counts.into_iter();
    let counts = counts.map(|(key, count)| (WorkerKey(key), count)).collect();
    let now = gateway.now();
    let mut workers = gateway.workers.borrow_mut();
    workers.apply_peer_load(now, report.node, counts);
}
