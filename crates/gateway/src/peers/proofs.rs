//! Nodes that cannot read the log prove their configuration through others, and get a newer one.

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

/// Nodes asked in one round: one of them is likely to have a way to the log.
const ASKED_AT_ONCE: usize = 3;

/// Answers to older questions are not waited for: the proof that they bring is no younger.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// A newer configuration is asked for this often at most: it may be large.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(500);

/// Questions that are not answered yet, and whose turn it is.
#[derive(Debug, Default)]
pub(super) struct ProofAsker {
    asking: ProofRequestTimer,
    /// When each open question was asked.
    open: BTreeMap<u64, Timestamp>,
    turn: usize,
    configuration_asked: Option<Timestamp>,
}

impl ProofAsker {
    /// Asks other nodes for a proof if the own one grows old.
    pub(super) fn ask(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if !gateway.settings.policy.peer_proofs {
            return;
        }
        let now = gateway.now();
        self.open
            .retain(|_, asked| now.since(*asked) < LONGEST_WAIT);
        let proof = *gateway.config_proof.borrow();
        if !self.asking.is_due(&proof, now, gateway.proof_request_age()) {
            return;
        }
        let mut nodes = gateway.feed.readers(gateway);
        nodes.truncate(ASKED_AT_ONCE);
        if nodes.is_empty() || gateway.feed.reads() {
            nodes = gateway.peers.some_alive(self.turn, ASKED_AT_ONCE);
            self.turn = self.turn.wrapping_add(ASKED_AT_ONCE);
        }
        for node in nodes {
            let known = gateway.nodes.borrow();
            let Some(address) = known.get(&node).map(|known| known.record.peer_address) else {
                continue;
            };
            let question = gateway.next_sequence();
            self.open.insert(question, now);
            let datagram = encode(&GatewayDatagram::ProofAsked(question));
            // The next round makes up for a datagram that is lost.
            let _ = socket.try_send_to(&datagram, address);
        }
    }

    /// Takes another node's answer.
    pub(super) fn take(&mut self, gateway: &Gateway, from: SocketAddr, answer: &ConfigProofAnswer) {
        let Some(asked) = self.open.remove(&answer.question) else {
            return;
        };
        gateway.last_proof_reply.set(Some(gateway.now()));
        let age = Duration::from_micros(answer.age_us);
        let mut proof = gateway.config_proof.borrow_mut();
        match proof.record_peer_proof(answer.version, asked, age) {
            PeerProof::Counts => {
                gateway.metrics.proofs_told.inc();
            }
            PeerProof::Older => {}
            PeerProof::Newer => self.ask_for_configuration(gateway, from, answer.version),
        }
    }

    fn ask_for_configuration(&mut self, gateway: &Gateway, from: SocketAddr, version: u64) {
        let now = gateway.now();
        let is_paused = |asked: Timestamp| now.since(asked) < CONFIGURATION_PAUSE;
        if self.configuration_asked.is_some_and(is_paused) {
            return;
        }
        let Some(node) = node_at(gateway, from) else {
            return;
        };
        self.configuration_asked = Some(now);
        log::info!(node = node.as_str(), version = version; "another node has a newer configuration; asking for it");
        let question = GatewayFrame::ConfigurationAsked {
            node: gateway.settings.node.clone(),
        };
        if let Some(link) = gateway.peers.link_to(gateway, &node) {
            link.tell(&question);
        }
    }
}

fn node_at(gateway: &Gateway, address: SocketAddr) -> Option<NodeId> {
    let nodes = gateway.nodes.borrow();
    let mut found = nodes
        .iter()
        .filter(|(_, known)| known.record.peer_address == address);
    found.next().map(|(node, _)| node.clone())
}

/// Answers a question for this node's proof, if it has one.
pub(super) fn tell(gateway: &Gateway, socket: &UdpSocket, to: SocketAddr, question: u64) {
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
    // Whoever asked asks again, here and below.
    let _ = socket.try_send_to(&datagram, to);
    let zones = zones::reports(gateway);
    if !zones.is_empty() {
        let _ = socket.try_send_to(&encode(&GatewayDatagram::Zones(zones)), to);
    }
}

/// Tells another node this one's configuration.
pub(super) fn tell_configuration(gateway: &Gateway, node: &NodeId) {
    let Some(record) = gateway.config_record.borrow().clone() else {
        return;
    };
    let StreamRecord { offset, key, value } = record;
    if let Some(link) = gateway.peers.link_to(gateway, node) {
        log::info!(node = node.as_str(), offset = offset.0; "telling another node the configuration");
        link.tell(&GatewayFrame::Configuration { offset, key, value });
    }
}

/// Takes the configuration of another node, unless this one has it or a newer one.
pub(super) fn take_configuration(gateway: &Gateway, record: &StreamRecord) {
    watch::take_publication(gateway, record);
}
