//! What nodes tell each other about requests that a caller may repeat at another node: the versions that
//! began streams, and the workers that ended. Reports are collected for a moment and sent over UDP.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::stream_versions::lookup::OriginAnswer;
use elderworks_gateway_core::stream_versions::origins::StreamOrigins;
use elderworks_gateway_core::worker_ends::suspects::Suspects;
use elderworks_gateway_core::worker_ends::table::EndTable;
use elderworks_protocol::gateway::GatewayDatagram;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::worker_ends::CatchUp;
use super::{stream_origins, worker_ends};
use crate::end_records;
use crate::gateway::Gateway;

/// Time for which reports are collected, so that those to the same node share a datagram.
const REPORT_DELAY: Duration = Duration::from_millis(5);

/// Senders for the answers to open questions, by question number.
pub(super) type PendingQuestions = HashMap<u64, mpsc::UnboundedSender<(SocketAddr, OriginAnswer)>>;

/// This node's tables of requests, its reports of them, and its questions to other nodes.
#[derive(Debug, Default)]
pub(crate) struct RequestExchange {
    socket: OnceCell<Rc<UdpSocket>>,
    /// Versions that began streams.
    pub(super) streams: RefCell<StreamOrigins>,
    /// Requests under which workers ended.
    pub(crate) ends: RefCell<EndTable>,
    /// Where such requests run.
    pub(crate) suspects: RefCell<Suspects>,
    /// What this node has learned of them since its start.
    pub(super) catch_up: CatchUp,
    /// Whether a task is about to send reports.
    is_reporting: Cell<bool>,
    pub(super) pending: RefCell<PendingQuestions>,
}

impl RequestExchange {
    /// Sets the socket that messages are sent from.
    pub(super) fn set_socket(&self, socket: &Rc<UdpSocket>) {
        // Called only once, by the loop that receives the answers.
        let _ = self.socket.set(socket.clone());
    }

    pub(super) fn send(
        &self,
        gateway: &Gateway,
        datagram: &GatewayDatagram,
        to: impl IntoIterator<Item = SocketAddr>,
    ) {
        if let Some(socket) = self.socket.get() {
            super::send(gateway, socket, datagram, to);
        }
    }
}

/// Sends the reports of streams that have begun, after a short delay.
pub(super) fn report_soon(gateway: &Rc<Gateway>) {
    if gateway.requests.is_reporting.replace(true) {
        return;
    }
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(REPORT_DELAY).await;
        gateway.requests.is_reporting.set(false);
        stream_origins::report(&gateway);
    });
}

/// Sends reports that are due again, and forgets requests that can't be repeated any more.
pub(super) fn upkeep(gateway: &Rc<Gateway>) {
    worker_ends::catch_up_if_due(gateway);
    stream_origins::drop_old(gateway);
    worker_ends::report(gateway);
    worker_ends::drop_old(gateway);
    end_records::upkeep(gateway);
}
