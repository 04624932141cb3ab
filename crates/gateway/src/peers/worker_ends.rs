//! Reports between nodes of requests under which workers ended, and of where such requests run.
//!
//! A caller's next try may come to any node that it is sent to, so all of these are told at once. A node
//! that has started asks the others what they know.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::start::Milestone;
use elderworks_gateway_core::worker_ends::identity::{RequestIdentity, RequestKey};
use elderworks_gateway_core::worker_ends::investigation::Fate;
use elderworks_gateway_core::worker_ends::suspects::Placement;
use elderworks_gateway_core::worker_ends::table::{EndedRequest, KeyKind};
use elderworks_protocol::gateway::{EndedReport, GatewayDatagram, RequestKind, RequestMessage};
use elderworks_types::{NodeId, Timestamp};
use tokio::sync::watch;

use crate::clock::millis;
use crate::gateway::Gateway;

/// Maximum number of nodes that are told. Callers are sent to at most as many.
const MAX_TOLD_NODES: usize = 64;

/// Maximum number of requests in one datagram.
const MAX_REPORTED_REQUESTS: usize = 400;

/// Number of nodes that a starting node asks.
const ASKED_NODES: usize = 6;

/// Number of times that it asks, since datagrams can be lost.
const ASK_ROUNDS: u32 = 4;

/// Time to wait for answers before it asks again.
const ASK_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum time that a request waits for the answers to a starting node.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(200);

/// What a starting node has learned from others.
#[derive(Debug)]
pub(super) struct CatchUp {
    /// Whether nothing more is to be learned.
    is_over: watch::Sender<bool>,
    /// When this node began to receive reports, or the earliest time at which a node did that has
    /// answered.
    known_since: Cell<Option<Timestamp>>,
}

impl Default for CatchUp {
    fn default() -> Self {
        Self {
            is_over: watch::Sender::new(false),
            known_since: Cell::default(),
        }
    }
}

/// Asks other nodes after the start what they know of requests under which workers ended.
pub(crate) async fn catch_up(gateway: Rc<Gateway>) {
    let state = &gateway.requests.catch_up;
    state.known_since.set(Some(gateway.now()));
    for _ in 0..ASK_ROUNDS {
        let start = usize::try_from(gateway.next_sequence()).unwrap_or_default();
        let asked = gateway.peers.pick_alive(start, ASKED_NODES);
        if asked.is_empty() || *state.is_over.borrow() {
            break;
        }
        send(
            &gateway,
            RequestMessage::Asked,
            addresses_of(&gateway, &asked),
        );
        actix_rt::time::sleep(ASK_INTERVAL).await;
    }
    state.is_over.send_replace(true);
}

fn addresses_of(gateway: &Gateway, nodes: &[NodeId]) -> Vec<SocketAddr> {
    let known = gateway.nodes.borrow();
    let records = nodes.iter().filter_map(|node| known.get(node));
    records.map(|node| node.record.peer_address).collect()
}

/// Waits a limited time until this node knows what others do, if it has just started.
pub(crate) async fn wait_until_caught_up(gateway: &Gateway) {
    if !gateway.start.has_reached(Milestone::Joined) {
        return;
    }
    let mut is_over = gateway.requests.catch_up.is_over.subscribe();
    let waiting = is_over.wait_for(|is_over| *is_over);
    // Without the answers, the request counts as one that no worker has met.
    let _ = actix_rt::time::timeout(MAX_CATCH_UP_WAIT, waiting).await;
}

/// Records what became of a worker at which requests broke off, and reports the ends under them.
pub(crate) fn settle(gateway: &Gateway, worker: &str, fate: Fate) {
    let key = WorkerKey::of(worker);
    let mut table = gateway.requests.ends.borrow_mut();
    let may_return = match fate {
        Fate::Alive => return table.note_alive(key),
        Fate::Ended => false,
        Fate::Vanished => true,
    };
    let ends = table.note_ended(gateway.now(), key, may_return);
    drop(table);
    log::warn!(worker = worker, evidence = fate.name(), requests = ends.len(); "worker ended");
    for end in &ends {
        gateway.metrics.request_ends.inc();
        log::info!(
            attempt = end.request.attempt.0, content = end.request.content.0, worker = worker,
            evidence = fate.name(), ended = end.ended;
            "worker ended under a request"
        );
    }
    // At once: the caller repeats the request as soon as it hears of the end, and this node may be lost.
    report(gateway);
}

/// Reports that are due to the nodes that callers are sent to.
pub(super) fn report(gateway: &Gateway) {
    let due = gateway.requests.ends.borrow_mut().take_due(gateway.now());
    if due.is_empty() {
        return;
    }
    let to = recipients(gateway);
    for part in due.chunks(MAX_REPORTED_REQUESTS) {
        let requests = part.iter().map(encode).collect();
        send(gateway, RequestMessage::Ended { requests }, to.clone());
    }
}

/// Forgets requests whose callers don't come back any more.
pub(super) fn drop_old(gateway: &Gateway) {
    let (now, lifetime) = (gateway.now(), gateway.request_lifetime());
    let mut table = gateway.requests.ends.borrow_mut();
    table.drop_old(now, lifetime);
    let count = i64::try_from(table.len()).unwrap_or(i64::MAX);
    gateway.metrics.ended_requests_known.set(count);
    gateway.requests.suspects.borrow_mut().drop_old(now);
}

/// A request that may be the cause of an end, while it is at a worker. Dropping it ends that.
pub(crate) struct PlacedSuspect {
    gateway: Rc<Gateway>,
    placement: Placement,
}

impl PlacedSuspect {
    /// Records and reports that a request is sent to a worker.
    pub(crate) fn place(
        gateway: &Rc<Gateway>,
        request: &RequestIdentity,
        worker: &str,
        ended: usize,
    ) -> Self {
        let placement = Placement {
            worker: WorkerKey::of(worker),
            attempt: request.attempt,
        };
        let mut suspects = gateway.requests.suspects.borrow_mut();
        suspects.place(placement, ended);
        drop(suspects);
        let message = RequestMessage::Placed {
            attempt: placement.attempt.0,
            worker: placement.worker.0,
            ended: u32::try_from(ended).unwrap_or(u32::MAX),
        };
        send(gateway, message, recipients(gateway));
        Self {
            gateway: gateway.clone(),
            placement,
        }
    }
}

impl Drop for PlacedSuspect {
    fn drop(&mut self) {
        let placement = self.placement;
        let mut suspects = self.gateway.requests.suspects.borrow_mut();
        suspects.release(placement);
        drop(suspects);
        let message = RequestMessage::Released {
            attempt: placement.attempt.0,
            worker: placement.worker.0,
        };
        send(&self.gateway, message, recipients(&self.gateway));
    }
}

/// Handles another node's message.
pub(super) fn receive(gateway: &Gateway, from: SocketAddr, message: RequestMessage) {
    let now = gateway.now();
    match message {
        RequestMessage::Ended { requests } => note_told(gateway, &requests),
        RequestMessage::Placed {
            attempt,
            worker,
            ended,
        } => {
            let ended = usize::try_from(ended).unwrap_or(usize::MAX);
            let mut suspects = gateway.requests.suspects.borrow_mut();
            suspects.note_told(now, placement(attempt, worker), ended);
        }
        RequestMessage::Released { attempt, worker } => {
            let mut suspects = gateway.requests.suspects.borrow_mut();
            suspects.release(placement(attempt, worker));
        }
        RequestMessage::Asked => answer(gateway, from),
        RequestMessage::Told { known_ms, requests } => {
            note_told(gateway, &requests);
            note_answer(gateway, Duration::from_millis(known_ms));
        }
    }
}

fn placement(attempt: u64, worker: u32) -> Placement {
    Placement {
        worker: WorkerKey(worker),
        attempt: RequestKey(attempt),
    }
}

fn note_told(gateway: &Gateway, requests: &[EndedReport]) {
    let now = gateway.now();
    let mut table = gateway.requests.ends.borrow_mut();
    for request in requests {
        table.note_told(now, &decode(request));
    }
}

/// Tells a node that has started what this one knows.
fn answer(gateway: &Gateway, to: SocketAddr) {
    let now = gateway.now();
    let since = gateway.requests.catch_up.known_since.get();
    let known = since.map_or(Duration::ZERO, |since| now.since(since));
    let known_ms = u64::try_from(known.as_millis()).unwrap_or(u64::MAX);
    let all = gateway.requests.ends.borrow().all(now);
    let mut parts: Vec<&[EndedRequest]> = all.chunks(MAX_REPORTED_REQUESTS).collect();
    if parts.is_empty() {
        parts.push(&[]);
    }
    for part in parts {
        let requests = part.iter().map(encode).collect();
        send(gateway, RequestMessage::Told { known_ms, requests }, [to]);
    }
}

/// Records that a node has answered that has received reports for this long.
fn note_answer(gateway: &Gateway, known: Duration) {
    let now = gateway.now();
    let state = &gateway.requests.catch_up;
    let since = now - known;
    let earliest = state.known_since.get().map_or(since, |own| own.min(since));
    state.known_since.set(Some(earliest));
    if known >= gateway.request_lifetime() && !state.is_over.send_replace(true) {
        log::info!(known_ms = millis(Some(known)); "learned under which requests workers ended");
    }
}

/// Returns the addresses of the nodes that callers of this zone are sent to, and of others if these are
/// few.
fn recipients(gateway: &Gateway) -> Vec<SocketAddr> {
    let nodes = gateway.nodes.borrow();
    let own = &gateway.settings.node;
    let is_other = |node: &NodeId| node != own && gateway.peers.is_alive(node);
    let zone = gateway.settings.zone.as_str();
    let offered = nodes.offered(Some(zone), is_other);
    let mut to: Vec<SocketAddr> = offered
        .into_iter()
        .map(|(_, record)| record.peer_address)
        .collect();
    let others = nodes.iter().filter(|(node, _)| is_other(node));
    for (_, known) in others {
        if to.len() >= MAX_TOLD_NODES {
            break;
        }
        if !to.contains(&known.record.peer_address) {
            to.push(known.record.peer_address);
        }
    }
    to.truncate(MAX_TOLD_NODES);
    to
}

fn send(gateway: &Gateway, message: RequestMessage, to: impl IntoIterator<Item = SocketAddr>) {
    let datagram = GatewayDatagram::Requests(message);
    gateway.requests.send(gateway, &datagram, to);
}

fn encode(known: &EndedRequest) -> EndedReport {
    EndedReport {
        request: known.request.0,
        kind: match known.kind {
            KeyKind::Attempt => RequestKind::Attempt,
            KeyKind::Content => RequestKind::Content,
            KeyKind::SharedContent => RequestKind::SharedContent,
        },
        age_ms: u32::try_from(known.age.as_millis()).unwrap_or(u32::MAX),
        workers: known.workers.iter().map(|worker| worker.0).collect(),
    }
}

fn decode(report: &EndedReport) -> EndedRequest {
    EndedRequest {
        request: RequestKey(report.request),
        kind: match report.kind {
            RequestKind::Attempt => KeyKind::Attempt,
            RequestKind::Content => KeyKind::Content,
            RequestKind::SharedContent => KeyKind::SharedContent,
        },
        age: Duration::from_millis(u64::from(report.age_ms)),
        workers: report.workers.iter().copied().map(WorkerKey).collect(),
    }
}
