//! Exchange of engine memories: nodes that read engines report to the serving nodes which prompt prefixes
//! each engine has cached.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::engine_memory::reporting::{MAX_REPORTED_PREFIXES, MemoryReporter};
use elderworks_gateway_core::engine_memory::snapshots::MemorySnapshot;
use elderworks_gateway_core::peer_loads::{RoundRobin, WorkerKey};
use elderworks_gateway_core::placement::demand::PrefixKey;
use elderworks_protocol::encode;
use elderworks_protocol::gateway::{EngineMemoryReport, GatewayDatagram, MemoryReport};
use elderworks_types::Timestamp;
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Maximum number of recipients per report; if there are more nodes, they take turns.
const MAX_RECIPIENTS: usize = 64;

/// Sends reports on the engines that this node reads.
#[derive(Debug, Default)]
pub(super) struct MemorySender {
    reporter: MemoryReporter,
    rotation: RoundRobin,
}

impl MemorySender {
    /// Applies what this node has read from engines, and reports what has changed to other nodes.
    pub(super) fn send_changes(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if !gateway.settings.policy.engine_reading {
            return;
        }
        let now = gateway.now();
        let present = gateway.engines.snapshots(gateway);
        apply_snapshots(gateway, now, &present);
        let due = self.reporter.due(now, present);
        if due.is_empty() {
            return;
        }
        let engines = due
            .into_iter()
            .map(|(engine, snapshot)| engine_report(now, engine, snapshot));
        let report = MemoryReport {
            node: gateway.settings.node.clone(),
            engines: engines.collect(),
        };
        let datagram = encode(&GatewayDatagram::Memory(report));
        for to in self.recipients(gateway) {
            // A lost report is superseded by the next one.
            let _ = socket.try_send_to(&datagram, to);
        }
    }

    fn recipients(&mut self, gateway: &Gateway) -> Vec<SocketAddr> {
        let nodes = gateway.nodes.borrow();
        let serving = gateway.serving.borrow();
        let others = serving
            .iter()
            .filter(|node| **node != gateway.settings.node)
            .filter_map(|node| Some(nodes.get(node)?.record.peer_address));
        self.rotation.pick(others.collect(), MAX_RECIPIENTS)
    }
}

/// Updates placement and the metrics with what is currently known of the engines.
fn apply_snapshots<'a>(
    gateway: &Gateway,
    now: Timestamp,
    present: impl IntoIterator<Item = (&'a WorkerKey, &'a MemorySnapshot)>,
) {
    let mut workers = gateway.workers.borrow_mut();
    for (engine, snapshot) in present {
        workers.apply_memory_snapshot(*engine, snapshot.clone());
    }
    workers.drop_old_memories(now);
    let memories = workers.memories();
    gateway
        .metrics
        .note_memories(memories.held_prefixes(), memories.oldest_age(now));
}

fn engine_report(
    now: Timestamp,
    engine: WorkerKey,
    snapshot: MemorySnapshot,
) -> EngineMemoryReport {
    let age = now.since(snapshot.observed_at).as_millis();
    let prefixes = snapshot.prefixes.into_iter();
    EngineMemoryReport {
        engine: engine.0,
        born: snapshot.born,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        parts: prefixes
            .map(|(prefix, tokens)| (prefix.0, tokens))
            .collect(),
    }
}

/// Applies another node's report.
pub(super) fn receive(gateway: &Gateway, report: MemoryReport) {
    if report.node == gateway.settings.node || !gateway.settings.policy.engine_reading {
        return;
    }
    let now = gateway.now();
    let mut workers = gateway.workers.borrow_mut();
    for reported in report.engines {
        let prefixes = reported.parts.into_iter().take(MAX_REPORTED_PREFIXES);
        let snapshot = MemorySnapshot {
            born: reported.born,
            observed_at: now - Duration::from_millis(u64::from(reported.age_ms)),
            prefixes: prefixes
                .map(|(prefix, tokens)| (PrefixKey(prefix), tokens))
                .collect(),
        };
        workers.apply_memory_snapshot(WorkerKey(reported.engine), snapshot);
    }
}
