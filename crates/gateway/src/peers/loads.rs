//! Exchange of loads: nodes report to each other how many requests they have in flight at each worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use elderworks_gateway_core::peer_loads::{REPORT_LIFETIME, RoundRobin, WorkerKey};
use elderworks_protocol::gateway::{GatewayDatagram, LoadReport};
use elderworks_types::NodeId;
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Interval of the reports to nodes of this zone.
pub(super) const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Number of intervals between reports to nodes of other zones, which use the same workers only under
/// high load.
const CROSS_ZONE_INTERVALS: u32 = 3;

/// Interval at which an unchanged load is reported again, so that it doesn't expire.
const REPEAT_INTERVAL: Duration = REPORT_LIFETIME.checked_div(3).expect("three is not zero");

/// Maximum number of recipients in this zone per report; if there are more nodes, they take turns.
const MAX_RECIPIENTS: usize = 16;

/// Maximum number of recipients in other zones per report. Up to 128 nodes receive a report within the
/// lifetime of the previous one.
const MAX_CROSS_ZONE_RECIPIENTS: usize = 32;

/// Sends the load of this node to other nodes.
#[derive(Debug, Default)]
pub(super) struct LoadSender {
    /// The last report and when it was sent.
    reported: Option<(Instant, BTreeMap<WorkerKey, u32>)>,
    intervals: u32,
    own_zone: RoundRobin,
    other_zones: RoundRobin,
}

impl LoadSender {
    /// Sends the load if it has changed or the last report is about to expire.
    pub(super) fn send_changes(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if !gateway.settings.policy.shared_load {
            return;
        }
        self.intervals = self.intervals.wrapping_add(1);
        let counts = {
            let mut workers = gateway.workers.borrow_mut();
            workers.drop_old_loads(gateway.now());
            workers.own_load()
        };
        let is_current = |(at, reported): &(Instant, BTreeMap<WorkerKey, u32>)| {
            *reported == counts && at.elapsed() < REPEAT_INTERVAL
        };
        if self.reported.as_ref().is_some_and(is_current) {
            return;
        }
        let was_idle = self
            .reported
            .as_ref()
            .is_none_or(|(_, reported)| reported.is_empty());
        let is_idle = counts.is_empty();
        let report = LoadReport {
            node: gateway.settings.node.clone(),
            counts: counts.iter().map(|(key, count)| (key.0, *count)).collect(),
        };
        self.reported = Some((Instant::now(), counts));
        if is_idle && was_idle {
            return;
        }
        let recipients = self.recipients(gateway);
        super::send(gateway, socket, &GatewayDatagram::Load(report), recipients);
    }

    fn recipients(&mut self, gateway: &Gateway) -> Vec<SocketAddr> {
        let own_zone = gateway.settings.zone.as_str();
        let nodes = gateway.nodes.borrow();
        let includes_other_zones = self.intervals.is_multiple_of(CROSS_ZONE_INTERVALS);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (node, known) in nodes.iter() {
            let is_other = *node != gateway.settings.node;
            if !is_other || !gateway.peers.is_alive(node) || known.record.draining {
                continue;
            }
            let address = known.record.peer_address;
            if known.record.zone == own_zone {
                near.push((node, address));
            } else if includes_other_zones {
                far.push((node, address));
            }
        }
        let readers = gateway.feed.readers(gateway);
        let mut recipients = self.own_zone.pick(
            serving_if_many(gateway, near, MAX_RECIPIENTS),
            MAX_RECIPIENTS,
        );
        let far = serving_if_many(gateway, far, MAX_CROSS_ZONE_RECIPIENTS);
        recipients.extend(self.other_zones.pick(far, MAX_CROSS_ZONE_RECIPIENTS));
        recipients.extend(
            readers
                .iter()
                .filter_map(|node| Some(nodes.get(node)?.record.peer_address)),
        );
        recipients
    }
}

/// Returns the addresses of the nodes, or only of the serving ones if there are more than `max`: other
/// nodes send hardly any requests to workers.
pub(super) fn serving_if_many(
    gateway: &Gateway,
    nodes: Vec<(&NodeId, SocketAddr)>,
    max: usize,
) -> Vec<SocketAddr> {
    let serving = gateway.serving.borrow();
    let is_many = nodes.len() > max;
    let recipients = nodes
        .into_iter()
        .filter(|(node, _)| !is_many || serving.contains(*node));
    recipients.map(|(_, address)| address).collect()
}

/// Applies another node's report.
pub(super) fn receive(gateway: &Gateway, report: LoadReport) {
    if report.node == gateway.settings.node {
        return;
    }
    let counts = report.counts.into_iter();
    let counts = counts.map(|(key, count)| (WorkerKey(key), count)).collect();
    let now = gateway.now();
    let mut workers = gateway.workers.borrow_mut();
    workers.apply_peer_load(now, report.node, counts);
}
