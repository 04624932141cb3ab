//! Exchange of log outage reports: nodes report to each other whether the log answers their calls.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::log_outage::{LogState, LogStatus};
use elderworks_gateway_core::peer_loads::RoundRobin;
use elderworks_protocol::encode;
use elderworks_protocol::gateway::{GatewayDatagram, LogReport};
use elderworks_types::{NodeId, PartitionId, Timestamp};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Maximum number of partition owners that are asked whether the log answers them.
const MAX_OWNERS_ASKED: usize = 16;

/// Maximum number of recipients per report; if there are more nodes, they take turns.
const MAX_RECIPIENTS: usize = 64;

/// Interval at which owners are asked while the log is late.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an ongoing outage is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Sends reports on the state of the log to the other nodes.
#[derive(Debug, Default)]
pub(super) struct OutageReporter {
    asked_at: Option<Timestamp>,
    reported_at: Option<Timestamp>,
    was_silent: bool,
    rotation: RoundRobin,
}

impl OutageReporter {
    /// Asks owners while the log is late at this node, and reports the start and the end of an outage.
    /// Reports contain only what this node's own calls have shown.
    pub(super) fn send_if_due(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let status = gateway.log_outage.own_report(gateway);
        let is_due = |last: Option<Timestamp>, pause| last.is_none_or(|at| now.since(at) >= pause);
        match gateway.log_outage.state() {
            LogState::Late { .. } if is_due(self.asked_at, ASK_INTERVAL) => {
                self.asked_at = Some(now);
                send(gateway, socket, status, owners(gateway));
            }
            LogState::Silent { .. }
                if status.oldest_wait.is_some()
                    && (!self.was_silent || is_due(self.reported_at, REPORT_INTERVAL)) =>
            {
                self.was_silent = true;
                self.reported_at = Some(now);
                let others = self.rotation.pick(others(gateway), MAX_RECIPIENTS);
                send(gateway, socket, status, others);
            }
            LogState::Normal if self.was_silent => {
                self.was_silent = false;
                let others = self.rotation.pick(others(gateway), MAX_RECIPIENTS);
                send(gateway, socket, status, others);
            }
            _ => {}
        }
    }
}

/// Applies another node's report, and replies if the log has answered this node since.
pub(super) fn receive(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, report: LogReport) {
    if report.node == gateway.settings.node || !gateway.settings.policy.silence_watch {
        return;
    }
    let status = LogStatus {
        oldest_wait: report.waits_us.map(Duration::from_micros),
        answered: report.answered_us.map(Duration::from_micros),
        is_silent: report.is_silent,
    };
    if gateway
        .log_outage
        .apply_report(gateway, report.node, status)
    {
        let status = gateway.log_outage.own_report(gateway);
        send(gateway, socket, status, vec![from]);
    }
}

fn send(gateway: &Gateway, socket: &UdpSocket, status: LogStatus, to: Vec<SocketAddr>) {
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let report = LogReport {
        node: gateway.settings.node.clone(),
        waits_us: status.oldest_wait.map(micros),
        answered_us: status.answered.map(micros),
        is_silent: status.is_silent,
    };
    let datagram = encode(&GatewayDatagram::Log(report));
    for to in to {
        // Lost reports are repeated or asked for.
        let _ = socket.try_send_to(&datagram, to);
    }
}

/// Returns the addresses of the first candidates of all partitions, which are the nodes that call the
/// log.
fn owners(gateway: &Gateway) -> Vec<SocketAddr> {
    let partitions = (0..gateway.settings.partitions).map(PartitionId);
    let first_candidates = partitions.filter_map(|partition| {
        let candidates = gateway.peers.candidates(gateway, partition);
        candidates.into_iter().next()
    });
    let mut owners: BTreeSet<NodeId> = first_candidates.collect();
    owners.remove(&gateway.settings.node);
    addresses(gateway, owners.iter().take(MAX_OWNERS_ASKED))
}

/// Returns the addresses of all other living nodes.
fn others(gateway: &Gateway) -> Vec<SocketAddr> {
    let alive = gateway.peers.alive.borrow();
    let own = &gateway.settings.node;
    addresses(gateway, alive.iter().filter(|node| *node != own))
}

fn addresses<'a>(gateway: &Gateway, nodes: impl Iterator<Item = &'a NodeId>) -> Vec<SocketAddr> {
    let known = gateway.nodes.borrow();
    nodes
        .filter_map(|node| Some(known.get(node)?.record.peer_address))
        .collect()
}
