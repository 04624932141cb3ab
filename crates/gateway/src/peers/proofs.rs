//! Exchange of configuration proofs: a node that can't read the log asks others whether its
//! configuration is the newest one, and obtains a newer one from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::config_proof::{PeerProof, ProofRequestTimer};
use elderworks_protocol::encode;
use elderworks_protocol::gateway::{ConfigProofAnswer, GatewayDatagram};
use elderworks_protocol::ledger::GatewayFrame;
use elderworks_types::{NodeId, Timestamp};
use tokio::net::UdpSocket;

use super::zones;
use crate::gateway::Gateway;
use crate::ports::StreamRecord;
use crate::watch;

/// Number of nodes asked in one round, so that at least one of them is likely to reach the log.
const NODES_PER_ROUND: usize = 3;

/// Time after which a question is dropped: a later answer would not make the proof any younger.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum interval between requests for a newer configuration, which may be large.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(500);

/// Requests proofs from other nodes.
#[derive(Debug, Default)]
pub(super) struct ProofRequester {
    asking: ProofRequestTimer,
    /// When each unanswered question was sent.
    pending: BTreeMap<u64, Timestamp>,
    /// Position of the next node to ask.
    next: usize,
    configuration_asked_at: Option<Timestamp>,
}

impl ProofRequester {
    /// Asks other nodes for a proof if this node's own proof is about to expire.
    pub(super) fn send_if_due(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if !gateway.settings.policy.peer_proofs {
            return;
        }
        let now = gateway.now();
        self.pending
            .retain(|_, asked| now.since(*asked) < QUESTION_TIMEOUT);
        let proof = *gateway.config_proof.borrow();
        if !self.asking.is_due(&proof, now, gateway.proof_request_age()) {
            return;
        }
        let mut nodes = gateway.feed.readers(gateway);
        nodes.truncate(NODES_PER_ROUND);
        if nodes.is_empty() || gateway.feed.reads() {
            nodes = gateway.peers.pick_alive(self.next, NODES_PER_ROUND);
            self.next = self.next.wrapping_add(NODES_PER_ROUND);
        }
        for node in nodes {
            let known = gateway.nodes.borrow();
            let Some(address) = known.get(&node).map(|known| known.record.peer_address) else {
                continue;
            };
            let question = gateway.next_sequence();
            self.pending.insert(question, now);
            let datagram = encode(&GatewayDatagram::ProofAsked(question));
            // A lost question is repeated in the next round.
            let _ = socket.try_send_to(&datagram, address);
        }
    }

    /// Handles another node's answer.
    pub(super) fn receive(
        &mut self,
        gateway: &Gateway,
        from: SocketAddr,
        answer: &ConfigProofAnswer,
    ) {
        let Some(asked) = self.pending.remove(&answer.question) else {
            return;
        };
        gateway.last_proof_reply.set(Some(gateway.now()));
        let age = Duration::from_micros(answer.age_us);
        let mut proof = gateway.config_proof.borrow_mut();
        match proof.record_peer_proof(answer.version, asked, age) {
            PeerProof::Counts => {
                gateway.metrics.proofs_sent.inc();
            }
            PeerProof::Older => {}
            PeerProof::Newer => self.request_configuration(gateway, from, answer.version),
        }
    }

    fn request_configuration(&mut self, gateway: &Gateway, from: SocketAddr, version: u64) {
        let now = gateway.now();
        let is_early = |asked: Timestamp| now.since(asked) < CONFIGURATION_INTERVAL;
        if self.configuration_asked_at.is_some_and(is_early) {
            return;
        }
        let Some(node) = node_at(gateway, from) else {
            return;
        };
        self.configuration_asked_at = Some(now);
        log::info!(node = node.as_str(), version = version; "requesting a newer configuration from another node");
        let question = GatewayFrame::ConfigurationAsked {
            node: gateway.settings.node.clone(),
        };
        if let Some(link) = gateway.peers.link_to(gateway, &node) {
            link.notify(&question);
        }
    }
}

/// Returns the node with a peer address.
fn node_at(gateway: &Gateway, address: SocketAddr) -> Option<NodeId> {
    let nodes = gateway.nodes.borrow();
    let mut found = nodes
        .iter()
        .filter(|(_, known)| known.record.peer_address == address);
    found.next().map(|(node, _)| node.clone())
}

/// Answers a question for this node's proof, if it has one.
pub(super) fn answer(gateway: &Gateway, socket: &UdpSocket, to: SocketAddr, question: u64) {
    let proof = *gateway.config_proof.borrow();
    let Some(age) = proof.age(gateway.now()) else {
        return;
    };
    let answer = ConfigProofAnswer {
        question,
        version: proof.version(),
        age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
    };
    let datagram = encode(&GatewayDatagram::ProofTold(answer));
    // The asking node repeats its question if the answer is lost.
    let _ = socket.try_send_to(&datagram, to);
    let zones = zones::reports(gateway);
    if !zones.is_empty() {
        let _ = socket.try_send_to(&encode(&GatewayDatagram::Zones(zones)), to);
    }
}

/// Sends the current configuration to another node.
pub(super) fn send_configuration(gateway: &Gateway, node: &NodeId) {
    let Some(record) = gateway.config_record.borrow().clone() else {
        return;
    };
    let StreamRecord { offset, key, value } = record;
    if let Some(link) = gateway.peers.link_to(gateway, node) {
        log::info!(node = node.as_str(), offset = offset.0; "sending the configuration to another node");
        link.notify(&GatewayFrame::Configuration { offset, key, value });
    }
}

/// Applies a configuration from another node, unless this node has the same or a newer one.
pub(super) fn receive_configuration(gateway: &Gateway, record: &StreamRecord) {
    watch::apply_publication(gateway, record);
}
