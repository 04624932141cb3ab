//! The UDP loop: probes other nodes, sends this node's reports and handles received datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_membership::Event;
use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_protocol::{DecodeError, decode};
use tokio::net::UdpSocket;

use super::demand::{self, DemandSender};
use super::loads::{self, LOAD_INTERVAL, LoadSender};
use super::memories::{self, MemorySender};
use super::outages::{self, OutageReporter};
use super::prefix_usage::{self, PrefixUsageSender};
use super::proofs::{self, ProofRequester};
use super::quota_history::{self, HistoryRequester};
use super::quotas::{self, QuotaSender};
use super::{
    PROBE_INTERVAL, cross_zone, request_exchange, version_messages, worker_ends, worker_versions,
    zones,
};
use crate::feed;
use crate::gateway::Gateway;

/// Size of the receive buffer: the maximum size of a UDP datagram.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Pause after a failed receive.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(50);

/// Runs the UDP loop until the process ends.
pub(crate) async fn run_gossip(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    gateway.lessors.set_socket(&socket);
    gateway.requests.set_socket(&socket);
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut ticks = actix_rt::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut load_sender = LoadSender::default();
    let mut prefix_sender = PrefixUsageSender::default();
    let mut memory_sender = MemorySender::default();
    let mut quota_sender = QuotaSender::default();
    let mut history_requester = HistoryRequester::default();
    let mut demand_sender = DemandSender::default();
    let mut proof_requester = ProofRequester::default();
    let mut outage_reporter = OutageReporter::default();
    let mut log_changes = gateway.log_outage.changes();
    let mut load_ticks = actix_rt::time::interval(LOAD_INTERVAL);
    load_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => Event::Tick,
            // The sender lives as long as the gateway.
            _ = log_changes.changed() => {
                outage_reporter.send_if_due(&gateway, &socket);
                continue;
            }
            _ = load_ticks.tick() => {
                gateway.apply_due_node_changes();
                gateway.log_outage.poll(&gateway);
                outage_reporter.send_if_due(&gateway, &socket);
                load_sender.send_changes(&gateway, &socket);
                proof_requester.send_if_due(&gateway, &socket);
                history_requester.ask_if_due(&gateway, &socket);
                quota_sender.send_if_due(&gateway, &socket);
                gateway.lessors.introduce(&gateway);
                demand_sender.send(&gateway, &socket);
                prefix_sender.send_if_due(&gateway, &socket);
                memory_sender.send_changes(&gateway, &socket);
                feed::tick(&gateway, &socket);
                worker_versions::ask_if_unknown(&gateway, &socket);
                request_exchange::upkeep(&gateway);
                cross_zone::report_zone_changes(&gateway);
                continue;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => match decode_received(&gateway, &buffer[..length], from) {
                    Ok(GatewayDatagram::Gossip(datagram)) => Event::Received { from, datagram },
                    Ok(GatewayDatagram::Load(report)) => {
                        // A node's own report may come back and would count its requests twice.
                        if report.node != gateway.settings.node {
                            loads::receive(&gateway, report);
                        }
                        continue;
                    }
                    Ok(GatewayDatagram::Quota(report)) => {
                        quotas::receive(&gateway, report);
                        continue;
                    }
                    Ok(GatewayDatagram::Lessor(message)) => {
                        gateway.lessors.receive(&gateway, from, message);
                        continue;
                    }
                    Ok(GatewayDatagram::QuotaHistory(message)) => {
                        quota_history::receive(&gateway, &socket, from, message);
                        continue;
                    }
                    Ok(GatewayDatagram::Versions(message)) => {
                        version_messages::receive(&gateway, &socket, from, message);
                        continue;
                    }
                    Ok(GatewayDatagram::Requests(message)) => {
                        worker_ends::receive(&gateway, from, message);
                        continue;
                    }
                    Ok(GatewayDatagram::Parts(report)) => {
                        prefix_usage::receive(&gateway, report);
                        continue;
                    }
                    Ok(GatewayDatagram::Demand(report)) => {
                        demand::receive(&gateway, report);
                        continue;
                    }
                    Ok(GatewayDatagram::ProofAsked(question)) => {
                        proofs::answer(&gateway, &socket, from, question);
                        continue;
                    }
                    Ok(GatewayDatagram::Beat(heartbeat)) => {
                        feed::receive_heartbeat(&gateway, from, &heartbeat);
                        continue;
                    }
                    Ok(GatewayDatagram::Memory(report)) => {
                        memories::receive(&gateway, report);
                        continue;
                    }
                    Ok(GatewayDatagram::Log(report)) => {
                        outages::receive(&gateway, &socket, from, report);
                        continue;
                    }
                    Ok(GatewayDatagram::Zones(reports)) => {
                        zones::receive(&gateway, &reports);
                        continue;
                    }
                    Ok(GatewayDatagram::ProofTold(answer)) => {
                        proof_requester.receive(&gateway, from, &answer);
                        continue;
                    }
                    Err(_) => continue,
                },
                Err(_) => {
                    // For example, an ICMP "port unreachable" for an earlier datagram.
                    actix_rt::time::sleep(RECEIVE_BACKOFF).await;
                    continue;
                }
            },
        };
        let effects = gateway.peers.handle(&gateway, event);
        gateway.peers.execute(&gateway, &socket, effects);
        gateway.peers.end_presumption(&gateway);
        gateway.apply_due_node_changes();
    }
}

/// Decodes a datagram and records that the sender's zone is reachable.
fn decode_received(
    gateway: &Gateway,
    bytes: &[u8],
    from: SocketAddr,
) -> Result<GatewayDatagram, DecodeError> {
    gateway.peers.note_received_from(gateway, from);
    decode(bytes)
}
