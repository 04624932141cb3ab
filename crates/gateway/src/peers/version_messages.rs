//! Messages between nodes about software versions: dispatch, and conversion of their content.

use std::net::SocketAddr;
use std::rc::Rc;

use elderworks_gateway_core::stream_versions::{ServiceVersions, SoftwareVersion};
use elderworks_protocol::gateway::{VersionMessage, VersionsReport};
use tokio::net::UdpSocket;

use super::{stream_origins, worker_versions};
use crate::gateway::Gateway;

/// Handles another node's message.
pub(super) fn receive(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    from: SocketAddr,
    message: VersionMessage,
) {
    match message {
        VersionMessage::Begun { streams } => stream_origins::receive_begun(gateway, streams),
        VersionMessage::Asked {
            question,
            stream,
            service,
        } => stream_origins::answer(gateway, from, question, stream, service),
        VersionMessage::Told {
            question,
            origin,
            versions,
        } => stream_origins::receive_answer(gateway, from, question, origin, versions),
        VersionMessage::InUse { services } => worker_versions::note_statement(gateway, services),
        VersionMessage::WorkersAsked { workers } => {
            worker_versions::tell_workers(gateway, socket, from, &workers);
        }
        VersionMessage::WorkersTold { versions, workers } => {
            worker_versions::take_workers(gateway, &versions, &workers);
        }
    }
}

pub(super) fn encode_versions(versions: ServiceVersions) -> VersionsReport {
    match versions {
        ServiceVersions::Unknown => VersionsReport::Unknown,
        ServiceVersions::Recent(version) => VersionsReport::Recent(version.0),
        ServiceVersions::Stale(version) => VersionsReport::Stale(version.0),
        ServiceVersions::Sole(version) => VersionsReport::Sole(version.0),
        ServiceVersions::Several => VersionsReport::Several,
    }
}

pub(super) fn decode_versions(versions: VersionsReport) -> ServiceVersions {
    match versions {
        VersionsReport::Unknown => ServiceVersions::Unknown,
        VersionsReport::Recent(version) => ServiceVersions::Recent(SoftwareVersion(version)),
        VersionsReport::Stale(version) => ServiceVersions::Stale(SoftwareVersion(version)),
        VersionsReport::Sole(version) => ServiceVersions::Sole(SoftwareVersion(version)),
        VersionsReport::Several => ServiceVersions::Several,
    }
}
