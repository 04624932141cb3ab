//! A reader's heartbeat to its zone, and what a listener makes of it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_protocol::encode;
use elderworks_protocol::feed::FeedBeat;
use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_types::NodeId;
use tokio::net::UdpSocket;

use super::catch_up;
use crate::gateway::Gateway;
use crate::peers;

/// Tells the zone how far this node has read, if it reads for others and it is time, or anything else
/// has changed.
pub(super) fn tell(gateway: &Rc<Gateway>, socket: &UdpSocket) {
    let feed = &gateway.feed;
    if !feed.reads_for_others() {
        return;
    }
    let Some(beat) = beat_of(gateway) else {
        return;
    };
    let now = gateway.now();
    let is_early = |at| now.since(at) < feed.times.heartbeat_interval;
    let has_news = feed
        .told
        .borrow()
        .as_ref()
        .is_none_or(|told| is_news(told, &beat));
    if feed.told_at.get().is_some_and(is_early) && !has_news {
        return;
    }
    feed.told_at.set(Some(now));
    let datagram = encode(&GatewayDatagram::Beat(beat.clone()));
    *feed.told.borrow_mut() = Some(beat);
    let others = feed.zone.borrow().others.clone();
    for to in others.iter() {
        // The next heartbeat makes up for one that is lost.
        let _ = socket.try_send_to(&datagram, *to);
    }
}

/// This node's heartbeat; `None` before it knows all streams.
fn beat_of(gateway: &Gateway) -> Option<FeedBeat> {
    let feed = &gateway.feed;
    if !gateway.start.is_complete() {
        return None;
    }
    let now = gateway.now();
    let config_age = gateway.config_proof.borrow().last_read_age(now)?;
    let workers_age = now.since(feed.workers_read.get()?);
    let age = config_age.max(workers_age);
    Some(FeedBeat {
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

/// Whether a heartbeat says anything that the one before does not, but for its age.
fn is_news(told: &FeedBeat, beat: &FeedBeat) -> bool {
    let same_age = FeedBeat {
        age_us: told.age_us,
        ..beat.clone()
    };
    *told != same_age
}

/// Takes a reader's heartbeat.
pub(crate) fn take(gateway: &Rc<Gateway>, from: SocketAddr, beat: &FeedBeat) {
    let feed = &gateway.feed;
    if beat.node == gateway.settings.node {
        return;
    }
    let now = gateway.now();
    let age = Duration::from_micros(beat.age_us);
    feed.roles
        .borrow_mut()
        .record_heartbeat(now, &beat.node, age, beat.reads);
    peers::take_zone_reports(gateway, &beat.zones);
    if !feed.depends_on_others() || !feed.roles.borrow().is_working(now, &beat.node) {
        return;
    }
    feed.worker_count
        .set(usize::try_from(beat.worker_count).ok());
    note_age(gateway, beat, age);
    if is_source(gateway, &beat.node) {
        catch_up::ask_if_behind(gateway, from, beat);
    }
}

/// Whether to ask the node: it is the reader whose workers are known here, or that one works no more.
fn is_source(gateway: &Gateway, node: &NodeId) -> bool {
    let feed = &gateway.feed;
    let source = feed.source.borrow();
    source.as_ref().is_none_or(|source| {
        let roles = feed.roles.borrow();
        source.node == *node || !roles.is_working(gateway.now(), &source.node)
    })
}

/// What a listener has heard counts like a read of its own, as old as the reader's was.
fn note_age(gateway: &Gateway, beat: &FeedBeat, age: Duration) {
    let mut proof = gateway.config_proof.borrow_mut();
    if proof.version() == beat.config_version {
        proof.record_heartbeat(gateway.now(), age);
    }
}
