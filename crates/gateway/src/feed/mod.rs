//! Distribution of the log's streams within a zone. Readers follow the streams themselves and send
//! heartbeats; listeners receive the changes from a reader.
//!
//! `gateway_core::feed` decides which nodes read. In a small fleet every node is a reader, and no
//! heartbeats are sent.

mod catch_up;
mod heartbeats;
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
use elderworks_protocol::feed::FeedHeartbeat;
use elderworks_types::{NodeId, Offset, Timestamp};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

pub(crate) use catch_up::answer;
pub(crate) use heartbeats::receive as receive_heartbeat;
pub(crate) use workers::{apply, observe_versions, upkeep};

/// Interval at which the role is decided.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a node whose entry can't be written starts to read anyway, so that it can serve
/// requests that need no ledger.
const MAX_ROLE_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which worker connections and gauges are maintained.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The nodes of this node's zone, as of the last change.
#[derive(Debug, Default)]
struct Zone {
    /// The nodes in the order in which they should read.
    ranking: Rc<[NodeId]>,
    /// Peer addresses of the other nodes.
    others: Rc<[SocketAddr]>,
    /// Number of nodes in the whole fleet.
    nodes: usize,
    /// Number of zones in the whole fleet.
    zones: usize,
}

/// The reader, and its revision, that this node's workers came from.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Source {
    node: NodeId,
    boot: u64,
    revision: u64,
}

/// The state of this node as a reader or listener of the log's streams.
#[derive(Debug)]
pub(crate) struct Feed {
    times: FeedTimes,
    /// Maximum number of pairs of node and worker up to which every node reads.
    max_pairs: usize,
    roles: RefCell<Roles>,
    role: watch::Sender<Role>,
    zone: RefCell<Zone>,
    is_zone_stale: Cell<bool>,
    /// Whether this node's entry is written, which is required to decide its role.
    has_entry: Cell<bool>,
    /// Whether the fleet seemed small when this node's entry was written.
    seemed_small: Cell<bool>,
    /// Number of workers in the whole fleet; `None` if unknown.
    worker_count: Cell<Option<usize>>,
    /// Number of times that this node has become a reader.
    term: Cell<u64>,
    /// Whether the catalog contains every worker.
    is_loaded: Cell<bool>,
    /// All workers, while this node is a reader.
    catalog: RefCell<WorkerCatalog>,
    /// The workers in use, as published to listeners.
    published: RefCell<PublishedWorkers>,
    /// Offset of the last record in the catalog.
    workers_offset: Cell<Offset>,
    /// When the last read was sent that reached the end of the workers' stream.
    workers_read: Cell<Option<Timestamp>>,
    /// Offset up to which node entries are known.
    nodes_end: Cell<Option<Offset>>,
    /// Streams whose reads currently fail.
    failing: RefCell<BTreeSet<Stream>>,
    /// The reader that this node's workers came from; `None` if they came from the log or none are known.
    source: RefCell<Option<Source>>,
    /// Whether a catch-up is in progress.
    is_catching_up: Cell<bool>,
    /// Whether this node has received node entries from a reader.
    nodes_received: watch::Sender<bool>,
    /// When the role was last decided.
    decided_at: Cell<Option<Timestamp>>,
    heartbeat_sent_at: Cell<Option<Timestamp>>,
    upkeep_at: Cell<Option<Timestamp>>,
    /// The last heartbeat that this node sent.
    last_heartbeat: RefCell<Option<FeedHeartbeat>>,
}

impl Feed {
    /// Creates the state of a node that knows nothing of the streams yet.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        let deadline = settings.apply_within.min(settings.drain_notice);
        let times = FeedTimes::within(deadline);
        Self {
            times,
            max_pairs: settings.policy.reading_pairs,
            roles: RefCell::new(Roles::new(times)),
            role: watch::Sender::new(Role::default()),
            zone: RefCell::default(),
            is_zone_stale: Cell::new(true),
            has_entry: Cell::default(),
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
            is_catching_up: Cell::default(),
            nodes_received: watch::Sender::new(false),
            decided_at: Cell::default(),
            heartbeat_sent_at: Cell::default(),
            upkeep_at: Cell::default(),
            last_heartbeat: RefCell::default(),
        }
    }

    /// Returns whether this node is a reader.
    pub(crate) fn reads(&self) -> bool {
        *self.role.borrow() == Role::Reader
    }

    /// Returns whether this node reads for listeners in its zone.
    pub(crate) fn reads_for_others(&self) -> bool {
        self.reads() && self.readers_wanted(&self.zone.borrow()) != usize::MAX
    }

    /// Returns whether this node depends on other readers: it is a listener, or its own reads fail.
    pub(crate) fn depends_on_others(&self) -> bool {
        !self.reads() || !self.failing.borrow().is_empty()
    }

    /// Waits until this node is a reader. Returns the number of its current term; what was read in an
    /// earlier term has been discarded.
    pub(crate) async fn until_reading(&self) -> u64 {
        let mut role = self.role.subscribe();
        // The sender lives as long as the gateway.
        let _ = role.wait_for(|role| *role == Role::Reader).await;
        self.term.get()
    }

    /// Waits until this node has received node entries from a reader.
    pub(crate) async fn until_nodes_received(&self) {
        let mut received = self.nodes_received.subscribe();
        let _ = received.wait_for(|is_received| *is_received).await;
    }

    /// Starts to take part once this node's entry is written. In a fleet that seems small, the node
    /// becomes a reader immediately; otherwise, the role is decided later.
    pub(crate) fn start(&self, seemed_small: bool) {
        self.has_entry.set(true);
        self.seemed_small.set(seemed_small);
        self.is_zone_stale.set(true);
        if seemed_small {
            self.become_reader();
        }
    }

    fn become_reader(&self) {
        self.roles.borrow_mut().read();
        self.set_role(Role::Reader, "start");
    }

    /// Handles nodes that were added, removed or changed.
    pub(crate) fn note_node_changes(&self) {
        self.is_zone_stale.set(true);
    }

    /// Handles a change of the evacuated zones.
    pub(crate) fn note_zones(&self) {
        self.catalog.borrow_mut().note_zones();
    }

    /// Returns the offset up to which node entries are known.
    pub(crate) fn nodes_end(&self) -> Option<Offset> {
        self.nodes_end.get()
    }

    /// Records that node entries are known up to an offset.
    pub(crate) fn note_nodes_end(&self, end: Offset) {
        let known = self.nodes_end.get();
        self.nodes_end.set(known.max(Some(end)));
    }

    /// Records that a stream can be read, or that several reads of it in a row have failed.
    pub(crate) fn set_failing(&self, gateway: &Rc<Gateway>, stream: Stream, is_failing: bool) {
        let mut failing = self.failing.borrow_mut();
        if is_failing {
            failing.insert(stream);
            return;
        }
        let is_back = failing.remove(&stream) && stream == Stream::Workers;
        drop(failing);
        if is_back && self.reads() {
            // Updates of other readers may have been applied during the failure.
            *self.source.borrow_mut() = None;
            workers::restore(gateway);
        }
    }

    /// Replaces the catalog with all workers listed in the stream up to `end`.
    pub(crate) fn replace_workers(
        &self,
        gateway: &Rc<Gateway>,
        records: Vec<WorkerRecord>,
        end: Offset,
    ) {
        if !self.reads() {
            return;
        }
        self.worker_count.set(Some(records.len()));
        if self.is_loaded.get() {
            // Workers may have come and gone since the last record that was read.
            let now = gateway.now();
            gateway.workers.borrow_mut().versions_mut().note_gap(now);
        }
        self.catalog.borrow_mut().replace_all(records);
        self.is_loaded.set(true);
        apply(gateway, end);
        let catalog = self.catalog.borrow();
        let ids = catalog.in_use().map(|record| record.id.clone()).collect();
        workers::keep_only(gateway, &ids);
    }

    /// Adds or updates a worker in the catalog.
    pub(crate) fn upsert_worker(&self, record: WorkerRecord) {
        self.catalog.borrow_mut().upsert(record);
    }

    /// Removes a worker whose entry was dropped or can't be decoded.
    pub(crate) fn remove_worker(&self, id: &str) {
        self.catalog.borrow_mut().remove(id);
    }

    /// Records that a read sent at `sent` reached the end of the workers' stream.
    pub(crate) fn note_workers_read(&self, gateway: &Gateway, sent: Timestamp) {
        if self.reads() && self.is_loaded.get() {
            gateway.workers.borrow_mut().versions_mut().note_read(sent);
            self.workers_read.set(Some(sent));
            self.worker_count.set(Some(self.catalog.borrow().len()));
        }
    }

    /// Returns the peer address of the reader that this node's workers came from.
    pub(crate) fn source_address(&self, gateway: &Gateway) -> Option<SocketAddr> {
        let source = self.source.borrow();
        let nodes = gateway.nodes.borrow();
        Some(nodes.get(&source.as_ref()?.node)?.record.peer_address)
    }

    /// Returns the working readers of this zone.
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

    /// Returns whether this node continues to read a list of workers that takes several pages. If not,
    /// its role becomes undecided.
    pub(crate) fn continues_reading(&self, gateway: &Gateway) -> bool {
        // Only at the start; a node that reads because no other one does must read all pages.
        if self.worker_count.get().is_some() || !self.seemed_small.replace(false) {
            return true;
        }
        self.refresh_zone(gateway);
        let zone = self.zone.borrow();
        let wanted = self.readers_wanted(&zone);
        let own = &gateway.settings.node;
        let is_reader = zone.ranking.iter().take(wanted).any(|node| node == own);
        if !is_reader {
            *self.roles.borrow_mut() = Roles::new(self.times);
            self.set_role(Role::Undecided, "workers");
        }
        is_reader
    }

    /// Returns how many nodes of a zone should read; `usize::MAX` for all of them.
    fn readers_wanted(&self, zone: &Zone) -> usize {
        let size = FleetSize {
            nodes: zone.nodes,
            zones: zone.zones,
            workers: self.worker_count.get(),
            seemed_small: self.seemed_small.get(),
        };
        size.readers_wanted(self.max_pairs)
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
        log::info!(role:? = role, why = why, nodes = zone.nodes, workers = self.worker_count.get(); "role as a reader of the log changed");
        if role == Role::Reader {
            self.term.set(self.term.get() + 1);
        } else {
            // The next reader that this node catches up from sends all of its workers.
            *self.source.borrow_mut() = None;
            self.workers_read.set(None);
            self.is_loaded.set(false);
            self.published.borrow_mut().clear();
            self.catalog.borrow_mut().clear();
        }
    }

    /// Decides the role and publishes it.
    fn update_role(&self, gateway: &Gateway) {
        let now = gateway.now();
        if !self.has_entry.get() {
            if gateway.uptime() >= MAX_ROLE_DELAY && !self.reads() {
                self.become_reader();
            }
            return;
        }
        self.refresh_zone(gateway);
        let zone = self.zone.borrow();
        let wanted = self.readers_wanted(&zone);
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

/// Decides the role, sends heartbeats and updates gauges; called at a regular interval.
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
    if is_due(&feed.decided_at, ROLE_INTERVAL) {
        feed.update_role(gateway);
        gateway.metrics.reads_streams.set(i64::from(feed.reads()));
        workers::adapt_to_load(gateway);
    }
    if is_due(&feed.upkeep_at, UPKEEP_INTERVAL) && !feed.reads() {
        upkeep(gateway);
    }
    heartbeats::send_if_due(gateway, socket);
}
