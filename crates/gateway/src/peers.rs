//! The other nodes of the fleet: which of them are alive, and the connections to them.

mod cross_zone;
mod demand;
mod gossip;
mod lessors;
mod link;
mod loads;
mod memories;
mod outages;
mod owners;
mod prefix_usage;
mod proofs;
mod queue;
mod quota_history;
mod quotas;
mod request_exchange;
mod serve;
mod stream_origins;
mod version_messages;
mod worker_ends;
mod worker_versions;
mod zones;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::ledger::SentNumbers;
use elderworks_gateway_core::nodes::NodeDirectory;
use elderworks_gateway_core::start::presumes_alive;
use elderworks_membership::{Effect, Event, Membership, MembershipSettings};
use elderworks_protocol::feed::{FeedRequest, FeedResponse};
use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_protocol::gossip::MemberState;
use elderworks_protocol::ledger::{GatewayFrame, LedgerReply, LedgerRequest, Witness};
use elderworks_types::{CellId, Incarnation, NodeId, PartitionId, ZoneId};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::settings::GatewaySettings;
use cross_zone::RemoteZones;
use link::Link;

pub(crate) use cross_zone::send;
pub(crate) use gossip::run_gossip;
pub(crate) use lessors::{Lessor, Lessors};
pub(crate) use link::NoReply;
pub(crate) use request_exchange::RequestExchange;
pub(crate) use serve::accept_peers;
pub(crate) use stream_origins::{find_origin, note_begun, prove_versions, report_all};
pub(crate) use worker_ends::{
    PlacedSuspect, ask_about, catch_up, note_sign_of_life, record_of, report as report_ends,
    settle, take_recorded, wait_until_caught_up,
};
pub(crate) use worker_versions::statement as version_statement;
pub(crate) use zones::{receive as receive_zone_reports, reports as zone_reports};

/// Interval of the failure detector's probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a direct probe, after which other nodes are asked to probe the node.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which a suspect that hasn't refuted the suspicion is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a node is avoided after it didn't respond: each further attempt would cost a timeout.
const SILENT_PAUSE: Duration = Duration::from_secs(1);

/// How long a node is avoided after its connection was refused or closed: attempts fail quickly.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(250);

/// Maximum number of nodes that are notified of an ejected worker.
const MAX_NOTIFIED_NODES: usize = 16;

/// The other nodes of the fleet, as far as this node knows them.
#[derive(Debug)]
pub(crate) struct Peers {
    own: NodeId,
    own_zone: ZoneId,
    membership: RefCell<Option<Membership>>,
    /// When this node joined, as long as nodes that gossip hasn't mentioned yet are presumed alive if
    /// they are listed. Otherwise a node that has just started would act for every partition.
    presuming_since: Cell<Option<Instant>>,
    /// Listed nodes that are no longer presumed alive because they didn't answer.
    not_presumed: RefCell<BTreeSet<NodeId>>,
    /// Nodes that answer probes and are not draining, including this one.
    alive: RefCell<BTreeSet<NodeId>>,
    /// Whether anything other than the set of living nodes has changed since [`Self::recompute`].
    is_stale: Cell<bool>,
    /// State changes that have not been logged yet.
    unlogged_changes: RefCell<BTreeMap<NodeId, MemberState>>,
    /// Cache of [`Self::ranking`], cleared by [`Self::recompute`].
    rankings: RefCell<HashMap<PartitionId, Rc<[NodeId]>>>,
    /// Cache of [`Self::witnesses`], cleared by [`Self::recompute`].
    witnesses: RefCell<HashMap<PartitionId, Rc<[Witness]>>>,
    /// Zones of the nodes in other zones.
    remote_zones: RefCell<RemoteZones>,
    links: RefCell<HashMap<NodeId, Link>>,
    /// Numbers the requests that are sent over links.
    request_numbers: RefCell<SentNumbers>,
    /// Nodes that receive no ledger requests, and until when.
    avoided: RefCell<HashMap<NodeId, Instant>>,
    /// Notifies of nodes that were added, removed or changed.
    changes: watch::Sender<()>,
}

impl Peers {
    /// Creates a directory without any other node.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        Self {
            own: settings.node.clone(),
            own_zone: settings.zone.clone(),
            membership: RefCell::default(),
            presuming_since: Cell::default(),
            not_presumed: RefCell::default(),
            alive: RefCell::default(),
            is_stale: Cell::default(),
            unlogged_changes: RefCell::default(),
            rankings: RefCell::default(),
            witnesses: RefCell::default(),
            remote_zones: RefCell::default(),
            links: RefCell::default(),
            request_numbers: RefCell::new(SentNumbers::new(rand::random())),
            avoided: RefCell::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Returns whether a node answers probes and is not draining.
    pub(crate) fn is_alive(&self, node: &NodeId) -> bool {
        self.alive.borrow().contains(node)
    }

    /// Returns the number of other nodes that answer probes and are not draining.
    pub(crate) fn count_others(&self) -> usize {
        let alive = self.alive.borrow();
        alive.len() - usize::from(alive.contains(&self.own))
    }

    /// Marks the derived state as outdated because node entries or presumptions have changed.
    pub(crate) fn mark_stale(&self) {
        self.is_stale.set(true);
    }

    /// Recomputes the set of living nodes. Returns whether anything has changed; if not, derived state
    /// remains valid.
    pub(crate) fn recompute(&self, nodes: &NodeDirectory) -> bool {
        self.log_state_changes();
        let alive = self.living_nodes(nodes);
        let is_same = *self.alive.borrow() == alive;
        if is_same && !self.is_stale.take() {
            return false;
        }
        self.is_stale.set(false);
        self.update_remote_zones(nodes);
        self.rankings.borrow_mut().clear();
        self.witnesses.borrow_mut().clear();
        *self.alive.borrow_mut() = alive;
        self.changes.send_replace(());
        true
    }

    fn living_nodes(&self, nodes: &NodeDirectory) -> BTreeSet<NodeId> {
        let membership = self.membership.borrow();
        let members = membership.iter().flat_map(Membership::members);
        let mut alive: BTreeSet<NodeId> = members
            .filter(|member| member.update.state == MemberState::Alive)
            .map(|member| member.update.node.clone())
            .collect();
        if self.presuming_since.get().is_some() {
            alive.extend(self.presumed_alive(nodes));
        }
        alive
    }

    /// Returns the listed nodes that gossip hasn't mentioned, except those that didn't answer.
    fn presumed_alive(&self, nodes: &NodeDirectory) -> Vec<NodeId> {
        let membership = self.membership.borrow();
        let members = membership.iter().flat_map(Membership::members);
        let known: BTreeSet<&NodeId> = members.map(|member| &member.update.node).collect();
        let not_presumed = self.not_presumed.borrow();
        let listed = nodes.iter().filter(|(_, entry)| !entry.record.draining);
        listed
            .map(|(node, _)| node)
            .filter(|node| !known.contains(node) && !not_presumed.contains(node))
            .cloned()
            .collect()
    }

    /// Stops presuming that a node which didn't answer is alive, until gossip mentions it.
    pub(crate) fn stop_presuming(&self, gateway: &Gateway, node: &NodeId) {
        let is_presuming = self.presuming_since.get().is_some();
        if is_presuming && self.not_presumed.borrow_mut().insert(node.clone()) {
            gateway.note_node_changes();
        }
    }

    /// Logs the state changes since the last call in one line.
    fn log_state_changes(&self) {
        let changes = std::mem::take(&mut *self.unlogged_changes.borrow_mut());
        if changes.is_empty() {
            return;
        }
        let of = |state: MemberState| {
            let matching = changes.iter().filter(|(_, other)| **other == state);
            join_names(matching.map(|(node, _)| node.as_str()))
        };
        log::info!(
            count = changes.len(), alive = of(MemberState::Alive), suspect = of(MemberState::Suspect),
            draining = of(MemberState::Draining), dead = of(MemberState::Dead);
            "peers changed"
        );
    }

    /// Returns a receiver that is notified when nodes are added, removed or changed.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Wakes the owners of partitions, as after a change of nodes.
    pub(crate) fn wake_owners(&self) {
        self.changes.send_replace(());
    }

    /// Returns whether gossip has had time to spread since this node joined.
    pub(crate) fn is_settled(&self) -> bool {
        self.membership.borrow().is_some() && self.presuming_since.get().is_none()
    }

    /// Stops presuming listed nodes alive once the presumption period is over.
    fn end_presumption(&self, gateway: &Gateway) {
        let Some(since) = self.presuming_since.get() else {
            return;
        };
        let is_enabled = gateway.settings.policy.presumption;
        let lasts = |has_presumed| is_enabled && presumes_alive(since.elapsed(), has_presumed);
        // The second check iterates over all nodes, so the cheap one comes first.
        if lasts(false) || lasts(true) && !self.presumed_alive(&gateway.nodes.borrow()).is_empty() {
            return;
        }
        self.presuming_since.set(None);
        self.not_presumed.borrow_mut().clear();
        self.mark_stale();
        gateway.note_node_changes();
    }

    /// Sends no ledger requests to a node for a time that depends on why it didn't reply.
    pub(crate) fn avoid(&self, gateway: &Gateway, node: &NodeId, reason: NoReply) {
        let pause = match reason {
            NoReply::Unreachable => UNREACHABLE_PAUSE,
            NoReply::Silent => SILENT_PAUSE,
            // The node is alive; the log is slow.
            NoReply::TooSlow => return,
        };
        self.note_node_failure(gateway, node);
        self.links.borrow_mut().remove(node);
        let until = Instant::now() + pause;
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > Instant::now());
        avoided.insert(node.clone(), until);
    }

    /// Sends a ledger request to another node and waits for the reply.
    pub(crate) async fn ask(
        &self,
        gateway: &Rc<Gateway>,
        node: &NodeId,
        partition: PartitionId,
        request: LedgerRequest,
    ) -> Result<LedgerReply, NoReply> {
        let link = self.link_to(gateway, node).ok_or(NoReply::Unreachable)?;
        let number = self.request_numbers.borrow_mut().issue();
        link.ask(number.0, partition, request).await
    }

    /// Asks a reader of the log's streams, at the address from which its heartbeat came.
    pub(crate) async fn ask_feed(
        &self,
        gateway: &Rc<Gateway>,
        node: &NodeId,
        address: SocketAddr,
        question: FeedRequest,
    ) -> Result<FeedResponse, NoReply> {
        let link = self.link_to(gateway, node);
        let link = link.unwrap_or_else(|| self.open_link(gateway, node, address));
        let number = self.request_numbers.borrow_mut().issue();
        link.ask_feed(number.0, question).await
    }

    /// Notifies the nodes that serve this zone's callers that this node has ejected a worker.
    pub(crate) fn report_ejected_worker(&self, gateway: &Gateway, worker: &str) {
        let notice = GatewayFrame::WorkerEjected {
            node: self.own.clone(),
            worker: worker.to_owned(),
        };
        let zone = gateway.settings.zone.as_str();
        let nodes = gateway.nodes.borrow();
        let offered = nodes.offered(Some(zone), |node| self.is_alive(node));
        let others: Vec<NodeId> = offered
            .into_iter()
            .map(|(node, _)| node.clone())
            .filter(|node| *node != self.own)
            .take(MAX_NOTIFIED_NODES)
            .collect();
        drop(nodes);
        for node in others {
            if let Some(link) = self.link_to(gateway, &node) {
                link.notify(&notice);
            }
        }
    }

    /// Returns up to `max` other living nodes, starting at position `start`, wrapped around.
    fn pick_alive(&self, start: usize, max: usize) -> Vec<NodeId> {
        let alive = self.alive.borrow();
        let mut others: Vec<&NodeId> = alive.iter().filter(|node| **node != self.own).collect();
        if others.is_empty() {
            return Vec::new();
        }
        let start = start % others.len();
        others.rotate_left(start);
        others.into_iter().take(max).cloned().collect()
    }

    fn link_to(&self, gateway: &Gateway, node: &NodeId) -> Option<Link> {
        if let Some(link) = self.links.borrow().get(node)
            && !link.is_closed()
        {
            return Some(link.clone());
        }
        let address = gateway.nodes.borrow().get(node)?.record.peer_address;
        Some(self.open_link(gateway, node, address))
    }

    fn open_link(&self, gateway: &Gateway, node: &NodeId, address: SocketAddr) -> Link {
        let counter = self.counter_for(gateway, node);
        let link = Link::open(address, &gateway.memory, counter);
        self.links.borrow_mut().insert(node.clone(), link.clone());
        link
    }

    /// Joins the gossip membership; `seeds` are the first nodes to be contacted.
    pub(crate) fn join(
        &self,
        gateway: &Gateway,
        socket: &UdpSocket,
        incarnation: Incarnation,
        seeds: Vec<SocketAddr>,
    ) {
        let settings = &gateway.settings;
        let membership = Membership::new(MembershipSettings {
            node: settings.node.clone(),
            incarnation,
            zone: settings.zone.clone(),
            cell: CellId::new(""),
            gossip_address: settings.peers,
            address: settings.peers,
            seeds,
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_TIMEOUT,
            suspicion_timeout: SUSPICION_TIMEOUT,
            seed: rand::random(),
        });
        *self.membership.borrow_mut() = Some(membership);
        self.presuming_since.set(Some(Instant::now()));
        self.mark_stale();
        gateway.apply_node_changes_now();
        // The next regular tick may be a full interval away.
        let effects = self.handle(gateway, Event::Tick);
        self.execute(gateway, socket, effects);
    }

    fn handle(&self, gateway: &Gateway, event: Event) -> Vec<Effect> {
        match self.membership.borrow_mut().as_mut() {
            Some(membership) => membership.handle(gateway.now(), event),
            None => Vec::new(),
        }
    }

    /// Announces to the other nodes that this node is draining.
    pub(crate) fn drain(&self, gateway: &Gateway, socket: &UdpSocket) {
        let effects = self.handle(gateway, Event::Drain);
        self.execute(gateway, socket, effects);
    }

    fn execute(&self, gateway: &Gateway, socket: &UdpSocket, effects: Vec<Effect>) {
        let mut has_changes = false;
        for effect in effects {
            match effect {
                // Gossip tolerates lost datagrams.
                Effect::Send { to, datagram } => {
                    let datagram = GatewayDatagram::Gossip(datagram);
                    send(gateway, socket, &datagram, [to]);
                }
                Effect::MemberChanged { node, state } => {
                    if state == MemberState::Dead {
                        self.links.borrow_mut().remove(&node);
                    }
                    if matches!(state, MemberState::Suspect | MemberState::Dead) {
                        self.note_node_failure(gateway, &node);
                    }
                    if state == MemberState::Alive {
                        worker_ends::note_node_back(gateway);
                    }
                    if node != self.own {
                        self.unlogged_changes.borrow_mut().insert(node, state);
                    }
                    has_changes = true;
                }
                Effect::CellChanged { .. } | Effect::ControlBehind { .. } => {}
            }
        }
        if has_changes {
            gateway.note_node_changes();
        }
    }
}

/// Maximum number of names in one log line.
const MAX_LISTED_NAMES: usize = 12;

/// Joins names for a log line; beyond [`MAX_LISTED_NAMES`], only the number of further names is given.
pub(crate) fn join_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.collect();
    let shown = names.len().min(MAX_LISTED_NAMES);
    let mut text = names[..shown].join(" ");
    if names.len() > shown {
        text.push_str(&format!(" and {} more", names.len() - shown));
    }
    text
}
