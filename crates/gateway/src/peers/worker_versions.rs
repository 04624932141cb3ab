//! Software versions of workers for the nodes that don't read the log: readers state which versions are
//! in use, and tell the versions of single workers when asked.

use std::net::SocketAddr;
use std::rc::Rc;

use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::stream_versions::service_key;
use elderworks_protocol::gateway::{GatewayDatagram, VersionMessage, VersionsReport};
use tokio::net::UdpSocket;

use super::version_messages;
use crate::feed;
use crate::gateway::Gateway;

/// Maximum number of workers in one question.
const MAX_ASKED_WORKERS: usize = 256;

/// Returns this node's statement on the versions of all services, as a reader.
pub(crate) fn statement(gateway: &Gateway) -> GatewayDatagram {
    let lifetime = gateway.stream_lifetime();
    let now = gateway.now();
    let workers = gateway.workers.borrow();
    let history = workers.versions();
    let services = history.services().map(|service| {
        let versions = history.versions(service, now, lifetime);
        let report = version_messages::encode_versions(versions);
        (service_key(service), report)
    });
    GatewayDatagram::Versions(VersionMessage::InUse {
        services: services.collect(),
    })
}

/// Asks a reader for the versions of workers that this node doesn't know.
pub(super) fn ask_if_unknown(gateway: &Gateway, socket: &UdpSocket) {
    if !gateway.feed.depends_on_others() {
        return;
    }
    let unknown = gateway.workers.borrow();
    let workers: Vec<u32> = unknown
        .without_software()
        .take(MAX_ASKED_WORKERS)
        .map(|key| key.0)
        .collect();
    drop(unknown);
    if workers.is_empty() {
        return;
    }
    let Some(address) = gateway.feed.source_address(gateway) else {
        return;
    };
    let asked = GatewayDatagram::Versions(VersionMessage::WorkersAsked { workers });
    super::send(gateway, socket, &asked, [address]);
}

/// Handles a reader's statement.
pub(super) fn note_statement(gateway: &Gateway, services: Vec<(u64, VersionsReport)>) {
    if !gateway.feed.depends_on_others() {
        return;
    }
    let now = gateway.now();
    let mut workers = gateway.workers.borrow_mut();
    for (service, versions) in services {
        let versions = version_messages::decode_versions(versions);
        workers
            .versions_mut()
            .note_statement(now, service, versions);
    }
}

/// Answers a question for the versions of workers.
pub(super) fn tell_workers(gateway: &Gateway, socket: &UdpSocket, to: SocketAddr, asked: &[u32]) {
    let mut versions: Vec<String> = Vec::new();
    let mut told = Vec::new();
    {
        let workers = gateway.workers.borrow();
        let known = workers
            .iter()
            .filter(|worker| asked.contains(&worker.key().0));
        for worker in known {
            let Some(software) = &worker.record.software else {
                continue;
            };
            let position = versions.iter().position(|version| version == software);
            let position = position.unwrap_or_else(|| {
                versions.push(software.clone());
                versions.len() - 1
            });
            told.push((
                worker.key().0,
                u32::try_from(position).expect("few versions"),
            ));
        }
    }
    if !told.is_empty() {
        let message = VersionMessage::WorkersTold {
            versions,
            workers: told,
        };
        let message = GatewayDatagram::Versions(message);
        super::send(gateway, socket, &message, [to]);
    }
}

/// Handles the answer to such a question.
pub(super) fn take_workers(gateway: &Rc<Gateway>, versions: &[String], told: &[(u32, u32)]) {
    let mut has_new = false;
    {
        let mut workers = gateway.workers.borrow_mut();
        for (worker, position) in told {
            let position = usize::try_from(*position).unwrap_or(usize::MAX);
            if let Some(version) = versions.get(position) {
                has_new |= workers.set_software(WorkerKey(*worker), version);
            }
        }
    }
    if has_new {
        feed::observe_versions(gateway);
    }
}
