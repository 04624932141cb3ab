//! Heartbeats: a reader of the log's streams sends them to its zone, and listeners handle them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_protocol::encode;
use elderworks_protocol::feed::FeedHeartbeat;
use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_types::NodeId;
use tokio::net::UdpSocket;

use super::catch_up;
use crate::gateway::Gateway;
use crate::peers;

/// Sends a heartbeat to the zone if this node reads for others, and a heartbeat is due or its content
/// has changed.
pub(super) fn send_if_due(gateway: &Rc<Gateway>, socket: &UdpSocket) {
    let feed = &gateway.feed;
    if !feed.reads_for_others() {
        return;
    }
    let Some(heartbeat) = current_heartbeat(gateway) else {
        return;
    };
    let now = gateway.now();
    let is_early = |at| now.since(at) < feed.times.heartbeat_interval;
    let has_changed = feed
        .last_heartbeat
        .borrow()
        .as_ref()
        .is_none_or(|last| differs(last, &heartbeat));
    if feed.heartbeat_sent_at.get().is_some_and(is_early) && !has_changed {
        return;
    }
    feed.heartbeat_sent_at.set(Some(now));
    let datagram = encode(&GatewayDatagram::Beat(heartbeat.clone()));
    let versions = encode(&peers::version_statement(gateway));
    *feed.last_heartbeat.borrow_mut() = Some(heartbeat);
    let others = feed.zone.borrow().others.clone();
    for to in others.iter() {
        // A lost heartbeat is superseded by the next one.
        let _ = socket.try_send_to(&datagram, *to);
        let _ = socket.try_send_to(&versions, *to);
    }
}

/// Returns this node's heartbeat; `None` before it has read all streams.
fn current_heartbeat(gateway: &Gateway) -> Option<FeedHeartbeat> {
    let feed = &gateway.feed;
    if !gateway.start.is_complete() {
        return None;
    }
    let now = gateway.now();
    let config_age = gateway.config_proof.borrow().last_read_age(now)?;
    let workers_age = now.since(feed.workers_read.get()?);
    let age = config_age.max(workers_age);
    Some(FeedHeartbeat {
        node: gateway.settings.node.clone(),
        boot: gateway.ledger.boot(),
        reads: feed.failing.borrow().is_empty(),
        age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
        config_version: gateway.config_proof.borrow().version(),
        nodes_end: feed.nodes_end.get()?,
        worker_count: u32::try_from(feed.worker_count.get()?).unwrap_or(u32::MAX),
        workers_revision: feed.published.borrow().revision(),
        zones: peers::zone_reports(gateway),
    })
}

/// Returns whether two heartbeats differ in anything but their age.
fn differs(last: &FeedHeartbeat, heartbeat: &FeedHeartbeat) -> bool {
    let same_age = FeedHeartbeat {
        age_us: last.age_us,
        ..heartbeat.clone()
    };
    *last != same_age
}

/// Handles a reader's heartbeat.
pub(crate) fn receive(gateway: &Rc<Gateway>, from: SocketAddr, heartbeat: &FeedHeartbeat) {
    let feed = &gateway.feed;
    if heartbeat.node == gateway.settings.node {
        return;
    }
    let now = gateway.now();
    let age = Duration::from_micros(heartbeat.age_us);
    feed.roles
        .borrow_mut()
        .record_heartbeat(now, &heartbeat.node, age, heartbeat.reads);
    peers::receive_zone_reports(gateway, &heartbeat.zones);
    if !feed.depends_on_others() || !feed.roles.borrow().is_working(now, &heartbeat.node) {
        return;
    }
    feed.worker_count
        .set(usize::try_from(heartbeat.worker_count).ok());
    record_age(gateway, heartbeat, age);
    if is_source(gateway, &heartbeat.node) {
        catch_up::ask_if_behind(gateway, from, heartbeat);
    }
}

/// Returns whether to catch up from a node: it is the reader that this node's workers came from, or that
/// reader no longer works.
fn is_source(gateway: &Gateway, node: &NodeId) -> bool {
    let feed = &gateway.feed;
    let source = feed.source.borrow();
    source.as_ref().is_none_or(|source| {
        let roles = feed.roles.borrow();
        source.node == *node || !roles.is_working(gateway.now(), &source.node)
    })
}

/// Counts a heartbeat like a read of the configuration by this node, as old as the reader's own read.
fn record_age(gateway: &Gateway, heartbeat: &FeedHeartbeat, age: Duration) {
    let mut proof = gateway.config_proof.borrow_mut();
    if proof.version() == heartbeat.config_version {
        proof.record_heartbeat(gateway.now(), age);
    }
}
