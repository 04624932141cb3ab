//! The loop that probes other nodes, tells them this node's reports and takes theirs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_membership::Event;
use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_protocol::{DecodeError, decode};
use tokio::net::UdpSocket;

use super::demand::{self, DemandTeller};
use super::loads::{self, LOAD_INTERVAL, LoadSender};
use super::memories::{self, MemorySender};
use super::outages::{self, OutageTeller};
use super::parts::{self, PartTeller};
use super::proofs::{self, ProofAsker};
use super::quotas::{self, QuotaTeller};
use super::{PROBE_INTERVAL, far, zones};
use crate::feed;
use crate::gateway::Gateway;

/// Largest datagram that UDP carries.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Pause after a failed receive.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(50);

/// Probes the others until the process ends.
pub(crate) async fn run_gossip(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    gateway.lessors.open(&socket);
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut ticks = actix_rt::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sender = LoadSender::default();
    let mut part_teller = PartTeller::default();
    let mut memory_sender = MemorySender::default();
    let mut quota_teller = QuotaTeller::default();
    let mut demand_teller = DemandTeller::default();
    let mut proof_asker = ProofAsker::default();
    let mut outage_teller = OutageTeller::default();
    let mut log_changes = gateway.log_outage.changes();
    let mut load_ticks = actix_rt::time::interval(LOAD_INTERVAL);
    load_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => Event::Tick,
            // The sender lives as long as the gateway.
            _ = log_changes.changed() => {
                outage_teller.tell(&gateway, &socket);
                continue;
            }
            _ = load_ticks.tick() => {
                gateway.apply_due_node_changes();
                gateway.log_outage.look(&gateway);
                outage_teller.tell(&gateway, &socket);
                sender.tell(&gateway, &socket);
                proof_asker.ask(&gateway, &socket);
                quota_teller.tell(&gateway, &socket);
                gateway.lessors.introduce(&gateway);
                demand_teller.tell(&gateway, &socket);
                part_teller.tell(&gateway, &socket);
                memory_sender.tell(&gateway, &socket);
                feed::tick(&gateway, &socket);
                far::tell_zone_changes(&gateway);
                continue;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => match heard(&gateway, &buffer[..length], from) {
                    Ok(GatewayDatagram::Gossip(datagram)) => Event::Received { from, datagram },
                    Ok(GatewayDatagram::Load(report)) => {
                        // Its own word may come back to it, and would count its requests twice.
                        if report.node != gateway.settings.node {
                            loads::take(&gateway, report);
                        }
                        continue;
                    }
                    Ok(GatewayDatagram::Quota(report)) => {
                        quotas::take(&gateway, report);
                        continue;
                    }
                    Ok(GatewayDatagram::Lessor(message)) => {
                        gateway.lessors.take(&gateway, from, message);
                        continue;
                    }
                    Ok(GatewayDatagram::Parts(report)) => {
                        parts::take(&gateway, report);
                        continue;
                    }
                    Ok(GatewayDatagram::Demand(report)) => {
                        demand::take(&gateway, report);
                        continue;
                    }
                    Ok(GatewayDatagram::ProofAsked(question)) => {
                        proofs::tell(&gateway, &socket, from, question);
                        continue;
                    }
                    Ok(GatewayDatagram::Beat(beat)) => {
                        feed::take_beat(&gateway, from, &beat);
                        continue;
                    }
                    Ok(GatewayDatagram::Memory(report)) => {
                        memories::take(&gateway, report);
                        continue;
                    }
                    Ok(GatewayDatagram::Log(report)) => {
                        outages::take(&gateway, &socket, from, report);
                        continue;
                    }
                    Ok(GatewayDatagram::Zones(reports)) => {
                        zones::take(&gateway, &reports);
                        continue;
                    }
                    Ok(GatewayDatagram::ProofTold(answer)) => {
                        proof_asker.take(&gateway, from, &answer);
                        continue;
                    }
                    Err(_) => continue,
                },
                Err(_) => {
                    // An earlier datagram was answered by "port unreachable", for example.
                    actix_rt::time::sleep(RECEIVE_BACKOFF).await;
                    continue;
                }
            },
        };
        let effects = gateway.peers.handle(&gateway, event);
        gateway.peers.carry_out(&gateway, &socket, effects);
        gateway.peers.end_presumption(&gateway);
        gateway.apply_due_node_changes();
    }
}

/// Decodes a datagram, which is a sign of life of the sender's zone.
fn heard(
    gateway: &Gateway,
    bytes: &[u8],
    from: SocketAddr,
) -> Result<GatewayDatagram, DecodeError> {
    gateway.peers.note_heard_from(gateway, from);
    decode(bytes)
}
