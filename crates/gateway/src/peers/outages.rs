//! Nodes tell each other whether the log answers them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::log_outage::{LogState, LogStatus};
use elderworks_gateway_core::peer_loads::Rota;
use elderworks_protocol::encode;
use elderworks_protocol::gateway::{GatewayDatagram, LogReport};
use elderworks_types::{NodeId, PartitionId, Timestamp};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Owners that are asked whether the log answers them.
const MOST_ASKED: usize = 16;

/// Most nodes that are told at a time; with more, they take turns.
const MOST_TOLD: usize = 64;

/// Pause between two questions while the log is late.
const ASKING_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which a silence is told again.
const TELLING_INTERVAL: Duration = Duration::from_millis(200);

/// What was told last, and whose turn is next.
#[derive(Debug, Default)]
pub(super) struct OutageTeller {
    asked: Option<Timestamp>,
    told: Option<Timestamp>,
    was_silent: bool,
    rota: Rota,
}

impl OutageTeller {
    /// Asks owners while the log is late here, and tells the others of a silence and its end. Says only
    /// what this node's own calls have shown.
    pub(super) fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let word = gateway.log_outage.word(gateway);
        let is_due = |last: Option<Timestamp>, pause| last.is_none_or(|at| now.since(at) >= pause);
        match gateway.log_outage.state() {
            LogState::Late { .. } if is_due(self.asked, ASKING_PAUSE) => {
                self.asked = Some(now);
                send(gateway, socket, word, owners(gateway));
            }
            LogState::Silent { .. }
                if word.oldest_wait.is_some()
                    && (!self.was_silent || is_due(self.told, TELLING_INTERVAL)) =>
            {
                self.was_silent = true;
                self.told = Some(now);
                let others = self.rota.pick(others(gateway), MOST_TOLD);
                send(gateway, socket, word, others);
            }
            LogState::Normal if self.was_silent => {
                self.was_silent = false;
                let others = self.rota.pick(others(gateway), MOST_TOLD);
                send(gateway, socket, word, others);
            }
            _ => {}
        }
    }
}

/// Takes another node's report, and answers it if the log has answered since.
pub(super) fn take(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, report: LogReport) {
    if report.node == gateway.settings.node || !gateway.settings.policy.silence_watch {
        return;
    }
    let word = LogStatus {
        oldest_wait: report.waits_us.map(Duration::from_micros),
        answered: report.answered_us.map(Duration::from_micros),
        is_silent: report.is_silent,
    };
    if gateway.log_outage.take(gateway, report.node, word) {
        let word = gateway.log_outage.word(gateway);
        send(gateway, socket, word, vec![from]);
    }
}

fn send(gateway: &Gateway, socket: &UdpSocket, word: LogStatus, to: Vec<SocketAddr>) {
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let report = LogReport {
        node: gateway.settings.node.clone(),
        waits_us: word.oldest_wait.map(micros),
        answered_us: word.answered.map(micros),
        is_silent: word.is_silent,
    };
    let datagram = encode(&GatewayDatagram::Log(report));
    for to in to {
        // What is lost is told again, or asked for.
        let _ = socket.try_send_to(&datagram, to);
    }
}

/// Addresses of the nodes that call the log for partitions.
fn owners(gateway: &Gateway) -> Vec<SocketAddr> {
    let partitions = (0..gateway.settings.partitions).map(PartitionId);
    let foremost = partitions.filter_map(|partition| {
        let candidates = gateway.peers.candidates(gateway, partition);
        candidates.into_iter().next()
    });
    let mut owners: BTreeSet<NodeId> = foremost.collect();
    owners.remove(&gateway.settings.node);
    addresses(gateway, owners.iter().take(MOST_ASKED))
}

/// Addresses of all other nodes that are alive.
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
