//! This node's part in passing on the log's streams: whether it reads them, what it tells other nodes
//! of its zone then, and what it hears of them otherwise.
//!
//! The decisions are those of `gateway_core::feed`; a fleet that is small enough for every node to read
//! knows readers only, and nothing is told.

mod beats;
mod catch_up;
mod workers;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::feed::catalog::WorkerCatalog;
use elderworks_gateway_core::feed::published::PublishedWorkers;
use elderworks_gateway_core::feed::roles::{FeedTimes, FleetSize, Role, Roles, ranking};
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::workers::WorkerRecord;
use elderworks_protocol::feed::FeedBeat;
use elderworks_types::{NodeId, Offset, Timestamp};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

pub(crate) use beats::take as take_beat;
pub(crate) use catch_up::answer;
pub(crate) use workers::{apply, upkeep};

/// The role is decided anew at this interval.
const DECIDING_INTERVAL: Duration = Duration::from_millis(200);

/// A node whose entry cannot be written reads the streams after this long: it can serve what needs no
/// ledger.
const LONGEST_INDECISION: Duration = Duration::from_millis(1_500);

/// Work at the workers' connections and counts is done at this interval.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The nodes of the own zone as the last change has left them.
#[derive(Debug, Default)]
struct Zone {
    /// In the order in which they should read.
    ranking: Rc<[NodeId]>,
    /// Where the others are told.
    others: Rc<[SocketAddr]>,
    /// Nodes and zones of the whole fleet.
    nodes: usize,
    zones: usize,
}

/// The reader whose workers are known here.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Source {
    node: NodeId,
    boot: u64,
    revision: u64,
}

/// What this node reads or hears of the log's streams.
#[derive(Debug)]
pub(crate) struct Feed {
    times: FeedTimes,
    /// Pairs of node and worker up to which all nodes read.
    pairs: usize,
    roles: RefCell<Roles>,
    role: watch::Sender<Role>,
    zone: RefCell<Zone>,
    is_zone_stale: Cell<bool>,
    /// Whether this node's entry is written, so that it can tell its place among the others.
    has_begun: Cell<bool>,
    /// Whether the fleet seemed small when this node began.
    seemed_small: Cell<bool>,
    /// How many workers there are; `None` while that is not known.
    worker_count: Cell<Option<usize>>,
    /// How many times this node began to read.
    term: Cell<u64>,
    /// Whether the catalog holds every worker.
    is_loaded: Cell<bool>,
    /// Every worker, while this node reads.
    catalog: RefCell<WorkerCatalog>,
    /// Those in use, for listeners.
    published: RefCell<PublishedWorkers>,
    /// Offset of the last record that the catalog has taken.
    workers_offset: Cell<Offset>,
    /// When the last read was sent that showed all workers.
    workers_read: Cell<Option<Timestamp>>,
    /// Where the nodes' entries end that are known.
    nodes_end: Cell<Option<Offset>>,
    /// Streams that cannot be read.
    failing: RefCell<BTreeSet<Stream>>,
    source: RefCell<Option<Source>>,
    /// Whether a reader is being asked for what this node has missed.
    is_asking: Cell<bool>,
    /// Whether a reader's list of nodes is known here.
    nodes_heard: watch::Sender<bool>,
    decided_at: Cell<Option<Timestamp>>,
    told_at: Cell<Option<Timestamp>>,
    kept_up_at: Cell<Option<Timestamp>>,
    /// What a reader has told last.
    told: RefCell<Option<FeedBeat>>,
}

impl Feed {
    /// Has neither read nor heard anything.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        let deadline = settings.apply_within.min(settings.drain_notice);
        let times = FeedTimes::within(deadline);
        Self {
            times,
            pairs: settings.policy.reading_pairs,
            roles: RefCell::new(Roles::new(times)),
            role: watch::Sender::new(Role::default()),
            zone: RefCell::default(),
            is_zone_stale: Cell::new(true),
            has_begun: Cell::default(),
            seemed_small: Cell::default(),
            worker_count: Cell::default(),
            term: Cell::default(),
            is_loaded: Cell::default(),
            catalog: RefCell::new(WorkerCatalog::new(settings.zone.as_str())),
            published: RefCell::default(),
            workers_offset: Cell::default(),
            workers_read: Cell::default(),
            nodes_end: Cell::default(),
            failing: RefCell::default(),
            source: RefCell::default(),
            is_asking: Cell::default(),
            nodes_heard: watch::Sender::new(false),
            decided_at: Cell::default(),
            told_at: Cell::default(),
            kept_up_at: Cell::default(),
            told: RefCell::default(),
        }
    }

    /// Whether this node reads the streams.
    pub(crate) fn reads(&self) -> bool {
        *self.role.borrow() == Role::Reader
    }

    /// Whether this node reads for others.
    pub(crate) fn reads_for_others(&self) -> bool {
        self.reads() && self.wanted(&self.zone.borrow()) != usize::MAX
    }

    /// Whether this node depends on what others have read: it does not read, or the log does not answer
    /// its reads.
    pub(crate) fn depends_on_others(&self) -> bool {
        !self.reads() || !self.failing.borrow().is_empty()
    }

    /// Waits until this node reads the streams; tells the number of the present term as a reader.
    /// Nothing that was read in an earlier one is known any more.
    pub(crate) async fn until_reading(&self) -> u64 {
        let mut role = self.role.subscribe();
        // The sender lives as long as the gateway.
        let _ = role.wait_for(|role| *role == Role::Reader).await;
        self.term.get()
    }

    /// Waits until a reader's list of nodes is known here.
    pub(crate) async fn until_nodes_received(&self) {
        let mut heard = self.nodes_heard.subscribe();
        let _ = heard.wait_for(|is_heard| *is_heard).await;
    }

    /// This node's entry is written. In a fleet that seems small it reads at once; in another one it
    /// finds out.
    pub(crate) fn begin(&self, seemed_small: bool) {
        self.has_begun.set(true);
        self.seemed_small.set(seemed_small);
        self.is_zone_stale.set(true);
        if seemed_small {
            self.read();
        }
    }

    fn read(&self) {
        self.roles.borrow_mut().read();
        self.set_role(Role::Reader, "start");
    }

    /// Nodes have come, gone or changed.
    pub(crate) fn note_node_changes(&self) {
        self.is_zone_stale.set(true);
    }

    /// Zones that get no work have changed.
    pub(crate) fn note_zones(&self) {
        self.catalog.borrow_mut().note_zones();
    }

    /// Where the nodes' entries end that are known.
    pub(crate) fn nodes_end(&self) -> Option<Offset> {
        self.nodes_end.get()
    }

    /// The nodes' entries are known up to an offset.
    pub(crate) fn note_nodes_end(&self, end: Offset) {
        let known = self.nodes_end.get();
        self.nodes_end.set(known.max(Some(end)));
    }

    /// A read of a stream has been answered, or has failed several times in a row.
    pub(crate) fn note_reads(&self, gateway: &Gateway, stream: Stream, is_failing: bool) {
        let mut failing = self.failing.borrow_mut();
        if is_failing {
            failing.insert(stream);
            return;
        }
        let is_back = failing.remove(&stream) && stream == Stream::Workers;
        drop(failing);
        if is_back && self.reads() {
            // Meanwhile others may have told what they use.
            *self.source.borrow_mut() = None;
            workers::restore(gateway);
        }
    }

    /// Takes every worker there is, as the stream showed them when it ended at `end`.
    pub(crate) fn take_workers(
        &self,
        gateway: &Rc<Gateway>,
        records: Vec<WorkerRecord>,
        end: Offset,
    ) {
        if !self.reads() {
            return;
        }
        self.worker_count.set(Some(records.len()));
        self.catalog.borrow_mut().replace_all(records);
        self.is_loaded.set(true);
        apply(gateway, end);
        let catalog = self.catalog.borrow();
        let ids = catalog.in_use().map(|record| record.id.clone()).collect();
        workers::keep_only(gateway, &ids);
    }

    /// Takes a worker's entry.
    pub(crate) fn upsert_worker(&self, record: WorkerRecord) {
        self.catalog.borrow_mut().upsert(record);
    }

    /// A worker's entry is gone, or names no worker.
    pub(crate) fn remove_worker(&self, id: &str) {
        self.catalog.borrow_mut().remove(id);
    }

    /// A read that was sent then has shown all there was of the workers.
    pub(crate) fn note_workers_read(&self, sent: Timestamp) {
        if self.reads() && self.is_loaded.get() {
            self.workers_read.set(Some(sent));
            self.worker_count.set(Some(self.catalog.borrow().len()));
        }
    }

    /// The readers that work, for what they alone add up.
    pub(crate) fn readers(&self, gateway: &Gateway) -> Vec<NodeId> {
        let roles = self.roles.borrow();
        let now = gateway.now();
        let zone = self.zone.borrow();
        let working = zone
            .ranking
            .iter()
            .filter(|node| roles.is_working(now, node));
        working.cloned().collect()
    }

    /// Whether this node goes on to read a list of workers that takes several pages.
    pub(crate) fn reads_on(&self, gateway: &Gateway) -> bool {
        // Left to others once, at the start: a node that reads since nobody else does reads all.
        if self.worker_count.get().is_some() || !self.seemed_small.replace(false) {
            return true;
        }
        self.refresh_zone(gateway);
        let zone = self.zone.borrow();
        let wanted = self.wanted(&zone);
        let own = &gateway.settings.node;
        let is_reader = zone.ranking.iter().take(wanted).any(|node| node == own);
        if !is_reader {
            *self.roles.borrow_mut() = Roles::new(self.times);
            self.set_role(Role::Undecided, "workers");
        }
        is_reader
    }

    /// How many nodes of a zone read.
    fn wanted(&self, zone: &Zone) -> usize {
        let size = FleetSize {
            nodes: zone.nodes,
            zones: zone.zones,
            workers: self.worker_count.get(),
            seemed_small: self.seemed_small.get(),
        };
        size.readers_wanted(self.pairs)
    }

    fn refresh_zone(&self, gateway: &Gateway) {
        if !self.is_zone_stale.replace(false) {
            return;
        }
        let own = &gateway.settings.node;
        let own_zone = gateway.settings.zone.as_str();
        let nodes = gateway.nodes.borrow();
        let is_settled = gateway.peers.is_settled();
        let is_gone = |node: &NodeId| is_settled && node != own && !gateway.peers.is_alive(node);
        let others = nodes.iter().filter(|(node, known)| {
            known.record.zone == own_zone && *node != own && !is_gone(node)
        });
        let zones: BTreeSet<&str> = nodes
            .iter()
            .map(|(_, known)| known.record.zone.as_str())
            .collect();
        *self.zone.borrow_mut() = Zone {
            ranking: ranking(&nodes, own_zone, is_gone).into(),
            others: others.map(|(_, known)| known.record.peer_address).collect(),
            nodes: nodes.iter().count(),
            zones: zones.len(),
        };
    }

    fn set_role(&self, role: Role, why: &'static str) {
        let is_new = self.role.send_if_modified(|known| {
            let is_new = *known != role;
            *known = role;
            is_new
        });
        if !is_new {
            return;
        }
        let zone = self.zone.borrow();
        log::info!(role:? = role, why = why, nodes = zone.nodes, workers = self.worker_count.get(); "role among the readers of the log");
        if role == Role::Reader {
            self.term.set(self.term.get() + 1);
        } else {
            // The next reader that is heard tells its workers whole.
            *self.source.borrow_mut() = None;
            self.workers_read.set(None);
            self.is_loaded.set(false);
            self.published.borrow_mut().clear();
            self.catalog.borrow_mut().clear();
        }
    }

    fn decide(&self, gateway: &Gateway) {
        let now = gateway.now();
        if !self.has_begun.get() {
            if gateway.uptime() >= LONGEST_INDECISION && !self.reads() {
                self.read();
            }
            return;
        }
        self.refresh_zone(gateway);
        let zone = self.zone.borrow();
        let wanted = self.wanted(&zone);
        let own = &gateway.settings.node;
        let mut roles = self.roles.borrow_mut();
        let role = roles.decide(now, &zone.ranking, own, wanted);
        if roles.detect_recovery(now, &zone.ranking) && self.depends_on_others() {
            gateway.workers.borrow_mut().note_outage_over(now);
        }
        drop((roles, zone));
        self.set_role(role, "others");
    }
}

/// Decides the role, tells listeners and keeps counts up to date; called at a steady pace.
pub(crate) fn tick(gateway: &Rc<Gateway>, socket: &UdpSocket) {
    let feed = &gateway.feed;
    let now = gateway.now();
    let is_due = |at: &Cell<Option<Timestamp>>, interval| {
        let is_due = at.get().is_none_or(|at| now.since(at) >= interval);
        if is_due {
            at.set(Some(now));
        }
        is_due
    };
    if is_due(&feed.decided_at, DECIDING_INTERVAL) {
        feed.decide(gateway);
        gateway.metrics.reads_streams.set(i64::from(feed.reads()));
        workers::follow_load(gateway);
    }
    if is_due(&feed.kept_up_at, UPKEEP_INTERVAL) && !feed.reads() {
        upkeep(gateway);
    }
    beats::tell(gateway, socket);
}
