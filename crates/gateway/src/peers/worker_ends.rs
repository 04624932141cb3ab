//! Reports between nodes of requests under which workers ended, and of where such requests run.
//!
//! A caller's next try may come to any node that it is sent to, so all of these are told at once. A node
//! that has started asks the others what they know.

mod messages;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::nodes::NodeDirectory;
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::start::Milestone;
use elderworks_gateway_core::worker_ends::exchanges::SignOfLife;
use elderworks_gateway_core::worker_ends::identity::{RequestIdentity, RequestKey};
use elderworks_gateway_core::worker_ends::investigation::Fate;
use elderworks_gateway_core::worker_ends::suspects::{Placement, placement_reports};
use elderworks_gateway_core::worker_ends::table::EndedRequest;
use elderworks_protocol::gateway::{EndRecord, EndedReport, GatewayDatagram, RequestMessage};
use elderworks_types::{NodeId, Timestamp};
use tokio::sync::watch;

use crate::clock::millis;
use crate::end_records;
use crate::gateway::Gateway;

pub(crate) use messages::record_of;
use messages::{Exchanges, decode, messages};

/// Maximum number of nodes that are told. Callers are sent to at most as many.
const MAX_TOLD_NODES: usize = 64;

/// Number of nodes that a starting node asks.
const ASKED_NODES: usize = 6;

/// Number of times that it asks, since datagrams can be lost.
const ASK_ROUNDS: u32 = 4;

/// Time to wait for answers before it asks again.
const ASK_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum time that a request waits for the answers to a starting node.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(200);

/// Time for which requests wait for the records in the log, if nobody has been asked who knows.
const MAX_RECORDS_WAIT: Duration = Duration::from_secs(1);

/// Pause between two reads of the records.
const RECORDS_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time without upkeep after which a node may have missed reports: its process was paused.
const MAX_STALL: Duration = Duration::from_secs(1);

/// What a node that has started, or was paused or cut off, has learned from others.
#[derive(Debug)]
pub(super) struct CatchUp {
    /// Whether nothing more is to be learned.
    is_over: watch::Sender<bool>,
    /// When this node began to receive reports, or the earliest time at which a node did that has
    /// answered.
    known_since: Cell<Option<Timestamp>>,
    /// When this node last did its upkeep.
    last_upkeep: Cell<Timestamp>,
    /// Whether another node is back, so that either may have missed reports.
    is_due: Cell<bool>,
    /// Whether enough of the nodes that were asked have answered.
    is_answered: Cell<bool>,
    /// Nodes that were asked and haven't answered.
    outstanding: RefCell<BTreeSet<SocketAddr>>,
}

impl Default for CatchUp {
    fn default() -> Self {
        Self {
            is_over: watch::Sender::new(false),
            known_since: Cell::default(),
            last_upkeep: Cell::default(),
            is_due: Cell::default(),
            is_answered: Cell::default(),
            outstanding: RefCell::default(),
        }
    }
}

/// Asks other nodes after the start what they know of requests under which workers ended.
pub(crate) async fn catch_up(gateway: Rc<Gateway>) {
    let now = gateway.now();
    let state = &gateway.requests.catch_up;
    state.known_since.set(Some(now));
    state.last_upkeep.set(now);
    ask_for_all(&gateway).await;
    if !gateway.settings.is_first_start {
        read_records_if_needed(&gateway).await;
    }
    state.is_over.send_replace(true);
}

/// Reads what was recorded in the log unless a node has answered that has known all reports for as long
/// as callers come back.
async fn read_records_if_needed(gateway: &Rc<Gateway>) {
    let until = gateway.now() + MAX_RECORDS_WAIT;
    while known_for(gateway) < gateway.request_lifetime()
        && !end_records::read_recorded(gateway).await
    {
        if gateway.now() >= until {
            gateway.requests.catch_up.is_over.send_replace(true);
        }
        actix_rt::time::sleep(RECORDS_RETRY_PAUSE).await;
    }
}

/// Returns for how long this node, or one that has told it what it knows, has received reports.
fn known_for(gateway: &Gateway) -> Duration {
    let since = gateway.requests.catch_up.known_since.get();
    since.map_or(Duration::ZERO, |since| gateway.now().since(since))
}

/// Takes over what a node recorded in the log before all nodes were lost.
pub(crate) fn take_recorded(gateway: &Gateway, record: &EndRecord, is_own: bool) {
    let now = gateway.now();
    let ended = record
        .ended
        .iter()
        .map(|report| decode(report, Exchanges::Ended));
    let possible = record
        .possible
        .iter()
        .map(|report| decode(report, Exchanges::Possible));
    let mut table = gateway.requests.ends.borrow_mut();
    for request in ended.chain(possible) {
        // How long ago that was isn't known.
        let request = EndedRequest {
            age: Duration::ZERO,
            ..request
        };
        match is_own {
            true => table.take_own_recorded(now, &request),
            false => table.note_told(now, &request),
        }
    }
}

async fn ask_for_all(gateway: &Gateway) {
    let state = &gateway.requests.catch_up;
    state.is_answered.set(false);
    for round in 0..ASK_ROUNDS {
        let start = rand::random_range(0..usize::MAX);
        let asked = gateway.peers.pick_alive(start, ASKED_NODES);
        let is_answered = round > 0 && state.is_answered.get();
        if asked.is_empty() || is_answered {
            break;
        }
        let addresses = addresses_of(gateway, &asked);
        *state.outstanding.borrow_mut() = addresses.iter().copied().collect();
        send(gateway, RequestMessage::Asked, addresses);
        actix_rt::time::sleep(ASK_INTERVAL).await;
    }
    log::info!(
        known_ms = known_for(gateway).as_millis(), requests = gateway.requests.ends.borrow().len();
        "asked other nodes under which requests workers ended"
    );
}

/// Records that another node is back, so that this one may have missed its reports.
pub(super) fn note_node_back(gateway: &Gateway) {
    gateway.requests.catch_up.is_due.set(true);
}

/// Asks other nodes again if this one may have missed reports. Requests wait for the answers after a
/// pause of the process.
pub(super) fn catch_up_if_due(gateway: &Rc<Gateway>) {
    if !gateway.start.has_reached(Milestone::Joined) {
        return;
    }
    let now = gateway.now();
    let state = &gateway.requests.catch_up;
    let was_paused = now.since(state.last_upkeep.replace(now)) > MAX_STALL;
    if was_paused {
        state.is_over.send_replace(false);
    }
    if state.is_due.replace(false) || was_paused {
        let gateway = gateway.clone();
        actix_rt::spawn(async move {
            ask_for_all(&gateway).await;
            gateway.requests.catch_up.is_over.send_replace(true);
        });
    }
}

fn addresses_of(gateway: &Gateway, nodes: &[NodeId]) -> Vec<SocketAddr> {
    addresses_of_known(&gateway.nodes.borrow(), nodes.iter().collect())
}

/// Waits a limited time until this node knows what others do, if it has just started or was paused.
pub(crate) async fn wait_until_caught_up(gateway: &Rc<Gateway>) {
    if !gateway.start.has_reached(Milestone::Joined) {
        return;
    }
    // A request may be the first thing that a process handles after a pause.
    let last_upkeep = gateway.requests.catch_up.last_upkeep.get();
    if gateway.now().since(last_upkeep) > MAX_STALL {
        catch_up_if_due(gateway);
    }
    let mut is_over = gateway.requests.catch_up.is_over.subscribe();
    let waiting = is_over.wait_for(|is_over| *is_over);
    // Without the answers, the request counts as one that no worker has met.
    let _ = actix_rt::time::timeout(MAX_CATCH_UP_WAIT, waiting).await;
}

/// Asks other nodes about a request under which a worker is known to have ended, since their reports of
/// further ends may have been lost. The answers arrive as reports.
pub(crate) fn ask_about(gateway: &Gateway, request: &RequestIdentity) {
    let start = rand::random_range(0..usize::MAX);
    let asked = gateway.peers.pick_alive(start, ASKED_NODES);
    if asked.is_empty() {
        return;
    }
    let requests = request.keys().map(|key| key.0).collect();
    let message = RequestMessage::AskedAbout { requests };
    send(gateway, message, addresses_of(gateway, &asked));
}

/// Records what became of a worker at which requests broke off, and reports the ends under them.
pub(crate) fn settle(gateway: &Rc<Gateway>, worker: &str, fate: Fate) {
    let key = WorkerKey::of(worker);
    let may_return = match fate {
        Fate::Ended | Fate::Replaced | Fate::Restarted => false,
        Fate::Vanished => true,
    };
    let mut table = gateway.requests.ends.borrow_mut();
    let ends = table.note_ended(gateway.now(), key, may_return);
    if fate == Fate::Restarted {
        table.note_running(key);
    }
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
    if !ends.is_empty() {
        end_records::record_soon(gateway);
    }
    // At once: the caller repeats the request as soon as it hears of the end, and this node may be lost.
    report(gateway);
}

/// Records that the process at a worker's address has answered, which may show that it outlived exchanges.
pub(crate) fn note_sign_of_life(gateway: &Gateway, worker: &str, sign: &SignOfLife) {
    let now = gateway.now();
    gateway.workers.borrow_mut().note_heard(worker, now);
    let outlived = gateway.requests.ends.borrow_mut().note_answer(now, sign);
    if outlived == 0 {
        return;
    }
    log::info!(
        worker = worker, exchanges = outlived, connected_ms = now.since(sign.opened).as_millis();
        "worker outlived exchanges without an answer"
    );
    report(gateway);
}

/// Reports that are due to the nodes that callers are sent to.
pub(crate) fn report(gateway: &Gateway) {
    let due = gateway.requests.ends.borrow_mut().take_due(gateway.now());
    if due.is_empty() {
        return;
    }
    let to = recipients(gateway);
    for message in messages(&due, |requests| RequestMessage::Ended { requests }) {
        send(gateway, message, to.clone());
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
        let to = recipients(gateway);
        for _ in 0..placement_reports(ended) {
            send(gateway, message.clone(), to.clone());
        }
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
        RequestMessage::Ended { requests } => note_told(gateway, &requests, Exchanges::Ended),
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
        RequestMessage::AskedAbout { requests } => {
            let requests: Vec<RequestKey> = requests.into_iter().map(RequestKey).collect();
            let known = gateway.requests.ends.borrow().get(now, &requests);
            for message in messages(&known, |requests| RequestMessage::Ended { requests }) {
                send(gateway, message, [from]);
            }
        }
        RequestMessage::Possible { requests } => {
            note_told(gateway, &requests, Exchanges::Possible);
        }
        RequestMessage::Outlived { requests } => {
            note_told(gateway, &requests, Exchanges::Outlived);
        }
        RequestMessage::Told { known_ms, requests } => {
            note_told(gateway, &requests, Exchanges::Ended);
            note_answer(gateway, from, Duration::from_millis(known_ms));
        }
    }
}

fn placement(attempt: u64, worker: u32) -> Placement {
    Placement {
        worker: WorkerKey(worker),
        attempt: RequestKey(attempt),
    }
}

fn note_told(gateway: &Gateway, requests: &[EndedReport], which: Exchanges) {
    let now = gateway.now();
    let mut table = gateway.requests.ends.borrow_mut();
    for request in requests {
        table.note_told(now, &decode(request, which));
    }
}

/// Tells a node that has started what this one knows.
fn answer(gateway: &Gateway, to: SocketAddr) {
    let now = gateway.now();
    let since = gateway.requests.catch_up.known_since.get();
    let known = since.map_or(Duration::ZERO, |since| now.since(since));
    let known_ms = u64::try_from(known.as_millis()).unwrap_or(u64::MAX);
    let all = gateway.requests.ends.borrow().all(now);
    let told = |requests| RequestMessage::Told { known_ms, requests };
    let mut answers = messages(&all, told);
    let is_told = |message: &RequestMessage| matches!(message, RequestMessage::Told { .. });
    if !answers.iter().any(is_told) {
        answers.push(told(Vec::new()));
    }
    for message in answers {
        send(gateway, message, [to]);
    }
}

/// Records that a node has answered that has received reports for this long.
fn note_answer(gateway: &Gateway, from: SocketAddr, known: Duration) {
    let now = gateway.now();
    let state = &gateway.requests.catch_up;
    let since = now - known;
    let earliest = state.known_since.get().map_or(since, |own| own.min(since));
    state.known_since.set(Some(earliest));
    state.outstanding.borrow_mut().remove(&from);
    let is_enough = known >= gateway.request_lifetime() || state.outstanding.borrow().is_empty();
    if is_enough && !state.is_answered.replace(true) {
        log::info!(known_ms = millis(Some(known)); "learned under which requests workers ended");
    }
    if known >= gateway.request_lifetime() {
        state.is_over.send_replace(true);
    }
}

/// Returns the addresses of the nodes that callers of this zone are sent to, and of others if these are
/// few. Nodes that don't answer come last: a paused one receives the report when it goes on.
fn recipients(gateway: &Gateway) -> Vec<SocketAddr> {
    let nodes = gateway.nodes.borrow();
    let own = &gateway.settings.node;
    let zone = gateway.settings.zone.as_str();
    let offered = nodes.offered(Some(zone), |node| gateway.peers.is_alive(node));
    let offered = offered.into_iter().map(|(node, _)| node);
    let listed = || nodes.iter().map(|(node, _)| node);
    let alive = listed().filter(|node| gateway.peers.is_alive(node));
    let mut chosen: Vec<&NodeId> = Vec::new();
    for node in offered.chain(alive).chain(listed()) {
        if chosen.len() >= MAX_TOLD_NODES {
            break;
        }
        if node != own && !chosen.contains(&node) {
            chosen.push(node);
        }
    }
    addresses_of_known(&nodes, chosen)
}

fn addresses_of_known(nodes: &NodeDirectory, chosen: Vec<&NodeId>) -> Vec<SocketAddr> {
    let records = chosen.into_iter().filter_map(|node| nodes.get(node));
    records.map(|node| node.record.peer_address).collect()
}

fn send(gateway: &Gateway, message: RequestMessage, to: impl IntoIterator<Item = SocketAddr>) {
    let datagram = GatewayDatagram::Requests(message);
    gateway.requests.send(gateway, &datagram, to);
}
