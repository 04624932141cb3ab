//! The other nodes: who seems alive, and connections to ask them for what they own.

mod demand;
mod far;
mod gossip;
mod lessors;
mod link;
mod loads;
mod memories;
mod outages;
mod owners;
mod parts;
mod proofs;
mod queue;
mod quotas;
mod serve;
mod zones;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::nodes::NodeDirectory;
use elderworks_gateway_core::start::presumes_alive;
use elderworks_membership::{Effect, Event, Membership, MembershipSettings};
use elderworks_protocol::feed::{FeedAnswer, FeedQuestion};
use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_protocol::gossip::MemberState;
use elderworks_protocol::ledger::{GatewayFrame, LedgerReply, LedgerRequest, Witness};
use elderworks_types::{CellId, Incarnation, NodeId, PartitionId, ZoneId};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::settings::GatewaySettings;
use far::FarZones;
use link::Link;

pub(crate) use far::send;
pub(crate) use gossip::run_gossip;
pub(crate) use lessors::{Lessor, Lessors};
pub(crate) use link::NoReply;
pub(crate) use serve::accept_peers;
pub(crate) use zones::{reports as zone_reports, take as take_zone_reports};

/// Interval of the failure detector's probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// A probe unanswered for this long is sent round by others.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// A suspect that has not refuted for this long is dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A node that shows no sign of life is not asked for this long: each try costs a time-out.
const SILENT_PAUSE: Duration = Duration::from_secs(1);

/// A node whose connection is refused or ends is not asked for this long: a try costs little.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(250);

/// Most nodes that are told of a failing worker.
const MOST_TOLD: usize = 16;

/// The other nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    own: NodeId,
    own_zone: ZoneId,
    membership: RefCell<Option<Membership>>,
    /// When this node joined, while nodes that are listed count as alive though gossip has not told
    /// of them yet: a node that has just started knows nobody, and alone it would act for every
    /// partition.
    presumes_since: Cell<Option<Instant>>,
    /// Listed nodes that have not answered meanwhile.
    not_presumed: RefCell<BTreeSet<NodeId>>,
    /// Nodes that answer probes and are not leaving, this one included.
    alive: RefCell<BTreeSet<NodeId>>,
    /// Whether something other than who is alive has changed since [`Self::recompute`].
    is_stale: Cell<bool>,
    /// Changes of states that have not been logged yet.
    news: RefCell<BTreeMap<NodeId, MemberState>>,
    /// What [`Self::ranking`] has worked out since the last change.
    rankings: RefCell<HashMap<PartitionId, Rc<[NodeId]>>>,
    /// The same for [`Self::witnesses`].
    witnesses: RefCell<HashMap<PartitionId, Rc<[Witness]>>>,
    /// Zones of the nodes of other zones.
    far_zones: RefCell<FarZones>,
    links: RefCell<HashMap<NodeId, Link>>,
    avoided: RefCell<HashMap<NodeId, Instant>>,
    /// Tells that nodes have come, gone or changed.
    changes: watch::Sender<()>,
}

impl Peers {
    /// Knows no other node yet.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        Self {
            own: settings.node.clone(),
            own_zone: settings.zone.clone(),
            membership: RefCell::default(),
            presumes_since: Cell::default(),
            not_presumed: RefCell::default(),
            alive: RefCell::default(),
            is_stale: Cell::default(),
            news: RefCell::default(),
            rankings: RefCell::default(),
            witnesses: RefCell::default(),
            far_zones: RefCell::default(),
            links: RefCell::default(),
            avoided: RefCell::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Whether another node answers probes and is not leaving.
    pub(crate) fn is_alive(&self, node: &NodeId) -> bool {
        self.alive.borrow().contains(node)
    }

    /// How many other nodes answer probes and are not leaving.
    pub(crate) fn count_others(&self) -> usize {
        let alive = self.alive.borrow();
        alive.len() - usize::from(alive.contains(&self.own))
    }

    /// Notes that entries have changed, or what is presumed.
    pub(crate) fn note_stale(&self) {
        self.is_stale.set(true);
    }

    /// Works out anew who is alive. Tells whether anything has changed for others; if not, what was
    /// worked out before stands.
    pub(crate) fn recompute(&self, nodes: &NodeDirectory) -> bool {
        self.log_news();
        let alive = self.count_alive(nodes);
        let is_same = *self.alive.borrow() == alive;
        if is_same && !self.is_stale.take() {
            return false;
        }
        self.is_stale.set(false);
        self.note_zones(nodes);
        self.rankings.borrow_mut().clear();
        self.witnesses.borrow_mut().clear();
        *self.alive.borrow_mut() = alive;
        self.changes.send_replace(());
        true
    }

    fn count_alive(&self, nodes: &NodeDirectory) -> BTreeSet<NodeId> {
        let membership = self.membership.borrow();
        let members = membership.iter().flat_map(Membership::members);
        let mut alive: BTreeSet<NodeId> = members
            .filter(|member| member.update.state == MemberState::Alive)
            .map(|member| member.update.node.clone())
            .collect();
        if self.presumes_since.get().is_some() {
            alive.extend(self.unheard(nodes));
        }
        alive
    }

    /// Listed nodes that gossip has not told of, but for those that have not answered.
    fn unheard(&self, nodes: &NodeDirectory) -> Vec<NodeId> {
        let membership = self.membership.borrow();
        let members = membership.iter().flat_map(Membership::members);
        let heard_of: BTreeSet<&NodeId> = members.map(|member| &member.update.node).collect();
        let not_presumed = self.not_presumed.borrow();
        let listed = nodes.iter().filter(|(_, known)| !known.record.draining);
        listed
            .map(|(node, _)| node)
            .filter(|node| !heard_of.contains(node) && !not_presumed.contains(node))
            .cloned()
            .collect()
    }

    /// A node has not answered: until gossip tells of it, it does not count as alive.
    pub(crate) fn stop_presuming(&self, gateway: &Gateway, node: &NodeId) {
        let is_presuming = self.presumes_since.get().is_some();
        if is_presuming && self.not_presumed.borrow_mut().insert(node.clone()) {
            gateway.note_node_changes();
        }
    }

    /// Logs changes of states, those since the last time together.
    fn log_news(&self) {
        let news = std::mem::take(&mut *self.news.borrow_mut());
        if news.is_empty() {
            return;
        }
        let of = |state: MemberState| {
            let having = news.iter().filter(|(_, other)| **other == state);
            listing(having.map(|(node, _)| node.as_str()))
        };
        log::info!(
            count = news.len(), alive = of(MemberState::Alive), suspect = of(MemberState::Suspect),
            draining = of(MemberState::Draining), dead = of(MemberState::Dead);
            "peers changed"
        );
    }

    /// Hears when nodes come, go or change.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Has the owners of partitions look anew at what they are to do, as after a change of nodes.
    pub(crate) fn wake_owners(&self) {
        self.changes.send_replace(());
    }

    /// Whether gossip has had time to spread since this node has joined.
    pub(crate) fn is_settled(&self) -> bool {
        self.membership.borrow().is_some() && self.presumes_since.get().is_none()
    }

    /// Ends the time in which listed nodes are presumed alive, once it is over.
    fn end_presumption(&self, gateway: &Gateway) {
        let Some(since) = self.presumes_since.get() else {
            return;
        };
        let is_wanted = gateway.settings.policy.presumption;
        let lasts = |has_unheard| is_wanted && presumes_alive(since.elapsed(), has_unheard);
        // The second look costs work for each node, so it comes after the first.
        if lasts(false) || lasts(true) && !self.unheard(&gateway.nodes.borrow()).is_empty() {
            return;
        }
        self.presumes_since.set(None);
        self.not_presumed.borrow_mut().clear();
        self.note_stale();
        gateway.note_node_changes();
    }

    /// Asks no ledger requests of a node for a while that depends on why it has not replied.
    pub(crate) fn avoid(&self, gateway: &Gateway, node: &NodeId, reason: NoReply) {
        let pause = match reason {
            NoReply::Unreachable => UNREACHABLE_PAUSE,
            NoReply::Silent => SILENT_PAUSE,
            // It is alive; what is slow is the log.
            NoReply::TooSlow => return,
        };
        self.note_silent(gateway, node);
        self.links.borrow_mut().remove(node);
        let until = Instant::now() + pause;
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > Instant::now());
        avoided.insert(node.clone(), until);
    }

    /// Asks another node.
    pub(crate) async fn ask(
        &self,
        gateway: &Rc<Gateway>,
        node: &NodeId,
        partition: PartitionId,
        request: LedgerRequest,
    ) -> Result<LedgerReply, NoReply> {
        let link = self.link_to(gateway, node).ok_or(NoReply::Unreachable)?;
        link.ask(gateway.next_sequence(), partition, request).await
    }

    /// Asks a reader of the log's streams, at the address from which its word came.
    pub(crate) async fn ask_feed(
        &self,
        gateway: &Rc<Gateway>,
        node: &NodeId,
        address: SocketAddr,
        question: FeedQuestion,
    ) -> Result<FeedAnswer, NoReply> {
        let link = self.link_to(gateway, node);
        let link = link.unwrap_or_else(|| self.open_link(gateway, node, address));
        link.ask_feed(gateway.next_sequence(), question).await
    }

    /// Tells the nodes that share this zone's callers that a worker fails.
    pub(crate) fn report_ejected_worker(&self, gateway: &Gateway, worker: &str) {
        let news = GatewayFrame::WorkerEjected {
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
            .take(MOST_TOLD)
            .collect();
        drop(nodes);
        for node in others {
            if let Some(link) = self.link_to(gateway, &node) {
                link.tell(&news);
            }
        }
    }

    /// Other nodes that answer probes, `most` of them, beginning at a place that `turn` moves on.
    fn some_alive(&self, turn: usize, most: usize) -> Vec<NodeId> {
        let alive = self.alive.borrow();
        let mut others: Vec<&NodeId> = alive.iter().filter(|node| **node != self.own).collect();
        if others.is_empty() {
            return Vec::new();
        }
        let start = turn % others.len();
        others.rotate_left(start);
        others.into_iter().take(most).cloned().collect()
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
        let far = self.counter_for(gateway, node);
        let link = Link::open(address, &gateway.memory, far);
        self.links.borrow_mut().insert(node.clone(), link.clone());
        link
    }

    /// Begins to probe the others, of which `seeds` are asked first.
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
        self.presumes_since.set(Some(Instant::now()));
        self.note_stale();
        gateway.apply_node_changes_now();
        // The probes' next tick may be a whole interval away.
        let effects = self.handle(gateway, Event::Tick);
        self.carry_out(gateway, socket, effects);
    }

    fn handle(&self, gateway: &Gateway, event: Event) -> Vec<Effect> {
        match self.membership.borrow_mut().as_mut() {
            Some(membership) => membership.handle(gateway.now(), event),
            None => Vec::new(),
        }
    }

    /// Tells the others that this node is leaving.
    pub(crate) fn drain(&self, gateway: &Gateway, socket: &UdpSocket) {
        let effects = self.handle(gateway, Event::Drain);
        self.carry_out(gateway, socket, effects);
    }

    fn carry_out(&self, gateway: &Gateway, socket: &UdpSocket, effects: Vec<Effect>) {
        let mut has_changes = false;
        for effect in effects {
            match effect {
                // Gossip makes up for datagrams that are lost.
                Effect::Send { to, datagram } => {
                    let datagram = GatewayDatagram::Gossip(datagram);
                    send(gateway, socket, &datagram, [to]);
                }
                Effect::MemberChanged { node, state } => {
                    if state == MemberState::Dead {
                        self.links.borrow_mut().remove(&node);
                    }
                    if matches!(state, MemberState::Suspect | MemberState::Dead) {
                        self.note_silent(gateway, &node);
                    }
                    if node != self.own {
                        self.news.borrow_mut().insert(node, state);
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

/// Most names in one line of the log.
const NAMES_LISTED: usize = 12;

/// Names for a line of the log, and how many more there are.
pub(crate) fn listing<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.collect();
    let shown = names.len().min(NAMES_LISTED);
    let mut text = names[..shown].join(" ");
    if names.len() > shown {
        text.push_str(&format!(" and {} more", names.len() - shown));
    }
    text
}
