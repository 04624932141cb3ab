//! Reports between nodes of the software versions that began streams, and questions for them, over UDP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::stream_versions::lookup::{
    KnownOrigin, LookupStep, OriginAnswer, OriginLookup, OriginSource,
};
use elderworks_gateway_core::stream_versions::origins::{ASKED_NODES, COPIES, holders};
use elderworks_gateway_core::stream_versions::{
    ServiceVersions, SoftwareVersion, StreamKey, service_key,
};
use elderworks_protocol::gateway::{GatewayDatagram, VersionMessage, VersionsReport};
use tokio::sync::mpsc;

use super::request_exchange::report_soon;
use super::version_messages;
use crate::gateway::Gateway;
use crate::version_records;

/// Maximum number of streams in one datagram.
const MAX_REPORTED_STREAMS: usize = 400;

/// Time to wait for answers before the question is repeated, since datagrams can be lost; covers a
/// round trip to another zone.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Interval at which a node that has just started asks which versions were in use.
const PROOF_INTERVAL: Duration = Duration::from_millis(500);

/// Number of times that nodes are asked for one stream.
const ASK_ROUNDS: u32 = 2;

fn send(gateway: &Gateway, message: VersionMessage, to: impl IntoIterator<Item = SocketAddr>) {
    let datagram = GatewayDatagram::Versions(message);
    gateway.requests.send(gateway, &datagram, to);
}

/// Records that a worker of `version` sent the first event of a stream, and reports it to other nodes
/// if the version can't be known without that.
pub(crate) fn note_begun(
    gateway: &Rc<Gateway>,
    service: &str,
    stream: StreamKey,
    version: SoftwareVersion,
) {
    let now = gateway.now();
    let needs_report = gateway.service_versions(service).needs_reports();
    let exchange = &gateway.requests;
    let mut streams = exchange.streams.borrow_mut();
    let is_due = streams.note_begun(now, stream, version, needs_report);
    drop(streams);
    if is_due {
        report_soon(gateway);
    }
}

/// Reports all own streams, because a service has got a further version.
pub(crate) fn report_all(gateway: &Rc<Gateway>) {
    if gateway.requests.streams.borrow_mut().report_all() {
        report_soon(gateway);
    }
}

/// Reports own streams whose version has to be known elsewhere.
pub(super) fn report(gateway: &Gateway) {
    let exchange = &gateway.requests;
    let due = exchange.streams.borrow_mut().take_unreported();
    gateway.metrics.origins_reported.inc_by(due.len() as u64);
    let mut by_node: BTreeMap<SocketAddr, Vec<(u64, u32)>> = BTreeMap::new();
    {
        let nodes = gateway.nodes.borrow();
        let own = &gateway.settings.node;
        let others = || {
            let listed = nodes.iter().map(|(node, _)| node);
            listed.filter(|node| *node != own && gateway.peers.is_alive(node))
        };
        for (stream, version) in due {
            for node in holders(stream, others(), COPIES) {
                if let Some(known) = nodes.get(node) {
                    let streams = by_node.entry(known.record.peer_address).or_default();
                    streams.push((stream.0, version.0));
                }
            }
        }
    }
    for (address, streams) in by_node {
        for part in streams.chunks(MAX_REPORTED_STREAMS) {
            let streams = part.to_vec();
            send(gateway, VersionMessage::Begun { streams }, [address]);
        }
    }
}

/// Returns the version that began a stream; `None` if it can't be determined. A stream whose caller
/// doesn't name the attempt that began it can only be known if a single version was in use.
pub(crate) async fn find_origin(
    gateway: &Rc<Gateway>,
    service: &str,
    stream: Option<StreamKey>,
) -> Option<KnownOrigin> {
    let now = gateway.now();
    let own = stream.and_then(|stream| gateway.requests.streams.borrow().get(now, stream));
    if let Some((version, age)) = own {
        return Some(KnownOrigin {
            version,
            source: OriginSource::Own,
            age: Some(age),
        });
    }
    let mut versions = gateway.service_versions(service);
    if matches!(versions, ServiceVersions::Recent(_)) {
        version_records::read_if_needed(gateway).await;
        versions = gateway.service_versions(service);
    }
    let found = match versions {
        ServiceVersions::Sole(version) => Some(KnownOrigin {
            version,
            source: OriginSource::SoleVersion,
            age: None,
        }),
        // No node can tell the version of a stream that isn't named.
        ServiceVersions::Several if stream.is_none() => None,
        _ => {
            let stream = stream.unwrap_or(StreamKey::NONE);
            ask(gateway, service, stream, versions).await
        }
    };
    if let (Some(known), Some(stream)) = (found, stream) {
        let now = gateway.now();
        let mut streams = gateway.requests.streams.borrow_mut();
        streams.note_told(now, stream, known.version);
    }
    found
}

/// Asks other nodes after the start whether a single version was in use, so that this node need not
/// report its streams. Repeats that until this node has watched for long enough itself.
pub(crate) async fn prove_versions(gateway: Rc<Gateway>) {
    while gateway.uptime() < gateway.stream_lifetime() {
        actix_rt::time::sleep(PROOF_INTERVAL).await;
        let Some(config) = gateway.current_config() else {
            continue;
        };
        for service in config.resumable_services() {
            prove_version(&gateway, service).await;
        }
    }
}

async fn prove_version(gateway: &Rc<Gateway>, service: &str) {
    let versions = gateway.service_versions(service);
    if !matches!(versions, ServiceVersions::Recent(_)) {
        return;
    }
    // Different nodes ask different ones.
    let key = StreamKey::of(gateway.settings.node.as_str());
    let Some(known) = ask(gateway, service, key, versions).await else {
        return;
    };
    if known.source == OriginSource::SoleVersion {
        let mut workers = gateway.workers.borrow_mut();
        let history = workers.versions_mut();
        history.note_proved(service, known.version);
    }
}

async fn ask(
    gateway: &Rc<Gateway>,
    service: &str,
    stream: StreamKey,
    own: ServiceVersions,
) -> Option<KnownOrigin> {
    let mut silent = nodes_to_ask(gateway, stream);
    let mut lookup = OriginLookup::start(own, silent.len());
    let mut step = lookup.first_step();
    let mut question = Question::open(gateway);
    for _ in 0..ASK_ROUNDS {
        if step != LookupStep::Wait {
            break;
        }
        let message = VersionMessage::Asked {
            question: question.id,
            stream: stream.0,
            service: service_key(service),
        };
        let to = silent.iter().copied();
        send(gateway, message, to);
        step = question.take_answers(&mut lookup, &mut silent).await;
    }
    if step == LookupStep::Wait {
        step = lookup.on_timeout();
    }
    match step {
        LookupStep::Known(known) => Some(known),
        LookupStep::Wait | LookupStep::Unknown => None,
    }
}

/// An open question. Dropping it discards later answers, also when the request is cancelled.
struct Question<'a> {
    gateway: &'a Gateway,
    id: u64,
    answers: mpsc::UnboundedReceiver<(SocketAddr, OriginAnswer)>,
}

impl<'a> Question<'a> {
    fn open(gateway: &'a Gateway) -> Self {
        let id = gateway.next_sequence();
        let (sender, answers) = mpsc::unbounded_channel();
        let pending = &gateway.requests.pending;
        pending.borrow_mut().insert(id, sender);
        Self {
            gateway,
            id,
            answers,
        }
    }

    /// Passes answers to a lookup until it is decided, all have answered or the time is over. Nodes
    /// that answer are removed from `silent`, so that a repeated answer doesn't count twice.
    async fn take_answers(
        &mut self,
        lookup: &mut OriginLookup,
        silent: &mut Vec<SocketAddr>,
    ) -> LookupStep {
        let until = tokio::time::Instant::now() + ANSWER_TIMEOUT;
        while let Ok(Some((from, answer))) =
            tokio::time::timeout_at(until, self.answers.recv()).await
        {
            let Some(position) = silent.iter().position(|node| *node == from) else {
                continue;
            };
            silent.swap_remove(position);
            let step = lookup.on_answer(answer);
            if step != LookupStep::Wait {
                return step;
            }
        }
        LookupStep::Wait
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        let pending = &self.gateway.requests.pending;
        pending.borrow_mut().remove(&self.id);
    }
}

/// Returns the addresses of the nodes that may hold a stream's origin, and of the readers of this
/// zone, which know the versions of all workers.
fn nodes_to_ask(gateway: &Gateway, stream: StreamKey) -> Vec<SocketAddr> {
    let nodes = gateway.nodes.borrow();
    let own = &gateway.settings.node;
    let others = nodes.iter().map(|(node, _)| node);
    let others = others.filter(|node| *node != own);
    let mut asked = holders(stream, others, ASKED_NODES);
    let readers = match gateway.feed.depends_on_others() {
        true => gateway.feed.readers(gateway),
        false => Vec::new(),
    };
    let further = readers.iter().filter(|node| *node != own);
    for reader in further {
        if !asked.contains(&reader) {
            asked.push(reader);
        }
    }
    let addresses = asked
        .into_iter()
        .filter_map(|node| Some(nodes.get(node)?.record.peer_address));
    addresses.collect()
}

/// Handles another node's report.
pub(super) fn receive_begun(gateway: &Gateway, streams: Vec<(u64, u32)>) {
    let now = gateway.now();
    let mut known = gateway.requests.streams.borrow_mut();
    for (stream, version) in streams {
        known.note_told(now, StreamKey(stream), SoftwareVersion(version));
    }
}

/// Answers another node's question.
pub(super) fn answer(gateway: &Gateway, to: SocketAddr, question: u64, stream: u64, service: u64) {
    let now = gateway.now();
    let origin = gateway
        .requests
        .streams
        .borrow()
        .get(now, StreamKey(stream));
    let versions = gateway.service_versions_by_key(service);
    let told = VersionMessage::Told {
        question,
        origin: origin.map(|(version, _)| version.0),
        versions: version_messages::encode_versions(versions),
    };
    send(gateway, told, [to]);
}

/// Passes an answer to the lookup that waits for it, if it still does.
pub(super) fn receive_answer(
    gateway: &Gateway,
    from: SocketAddr,
    question: u64,
    origin: Option<u32>,
    versions: VersionsReport,
) {
    if let Some(waiting) = gateway.requests.pending.borrow().get(&question) {
        let answer = OriginAnswer {
            origin: origin.map(SoftwareVersion),
            versions: version_messages::decode_versions(versions),
        };
        // The lookup may have ended.
        let _ = waiting.send((from, answer));
    }
}

/// Forgets streams that can't be resumed any more.
pub(super) fn drop_old(gateway: &Gateway) {
    let (now, lifetime) = (gateway.now(), gateway.stream_lifetime());
    let mut streams = gateway.requests.streams.borrow_mut();
    streams.drop_old(now, lifetime);
    let count = i64::try_from(streams.len()).unwrap_or(i64::MAX);
    gateway.metrics.origins_known.set(count);
}
