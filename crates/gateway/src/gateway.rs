//! State shared by the tasks of a gateway.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use elderworks_gateway_core::access::KeyLeases;
use elderworks_gateway_core::cold_workers::ColdSenders;
use elderworks_gateway_core::config::{ActiveConfig, MIN_STREAM_LIFETIME, ServingConfig};
use elderworks_gateway_core::config_proof::{
    ConfigProof, denial_lease_of, lease_of, proof_request_age,
};
use elderworks_gateway_core::evacuations::Evacuations;
use elderworks_gateway_core::log_reachability::LogReachability;
use elderworks_gateway_core::nodes::NodeDirectory;
use elderworks_gateway_core::quota::{Division, Fleet, QuotaTracker, StartedPrograms};
use elderworks_gateway_core::recompute_throttle::{MIN_RECOMPUTE_INTERVAL, RecomputeThrottle};
use elderworks_gateway_core::response_time::ResponseTimer;
use elderworks_gateway_core::run_moves::backups::Backups;
use elderworks_gateway_core::split::WeightedRoundRobin;
use elderworks_gateway_core::stream_versions::history::VersionHistory;
use elderworks_gateway_core::stream_versions::lifetime::StreamLifetime;
use elderworks_gateway_core::stream_versions::{ServiceVersions, service_key};
use elderworks_gateway_core::unreadable::UnreadableKeys;
use elderworks_gateway_core::workers::WorkerDirectory;
use elderworks_types::{Incarnation, NodeId, Offset, Timestamp};
use tokio::sync::watch;

use crate::admission::AdmissionDriver;
use crate::clock::Clock;
use crate::end_records::EndRecords;
use crate::engines::Engines;
use crate::feed::Feed;
use crate::ledger::Ledger;
use crate::log_outage::LogOutage;
use crate::memory::MemoryTracker;
use crate::metrics::Metrics;
use crate::open_work::WorkCounter;
use crate::peers::{Lessors, Peers, RequestExchange};
use crate::ports::{Platform, StreamRecord};
use crate::settings::GatewaySettings;
use crate::start::StartTracker;
use crate::upstream::Pool;
use crate::version_records::RecordsRead;
use crate::worker_probes::WorkerProbes;
use crate::worker_witness::Watches;

/// Stages of a process's lifecycle, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Accepts requests.
    Serving,
    /// Shutting down: still accepts requests, but closes each connection after its response.
    Draining,
    /// Accepts no new connections and closes idle ones.
    Closing,
    /// Ends the requests in progress, since the process is about to exit.
    Aborting,
}

/// Age of the last configuration read beyond which this node counts as cut off from the log: a read
/// waits two seconds for new records.
const CUT_OFF_AFTER: Duration = Duration::from_millis(2_500);

/// Divisor of the notice of a worker's end that gives the time for which it continues streams of its
/// version. The rest covers the time until this node learned of it, and the streams' own.
const DRAIN_USE_DIVISOR: u32 = 2;

/// State shared by all tasks of the process, which run on one thread.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) platform: Rc<dyn Platform>,
    pub(crate) clock: Clock,
    pub(crate) http: ServiceConfig,
    pub(crate) config: RefCell<ActiveConfig>,
    /// When the current configuration was last known to be the newest.
    pub(crate) config_proof: RefCell<ConfigProof>,
    /// The record of the current configuration, for nodes that can't read the log.
    pub(crate) config_record: RefCell<Option<StreamRecord>>,
    /// End offset of the configuration stream at the last read.
    pub(crate) config_stream_end: Cell<Option<Offset>>,
    /// Zones whose workers get no new requests.
    pub(crate) evacuations: RefCell<Evacuations>,
    /// Keys of stream entries that could not be parsed.
    pub(crate) unreadable_entries: RefCell<UnreadableKeys>,
    /// When another node last replied to a request for its configuration proof.
    pub(crate) last_proof_reply: Cell<Option<Timestamp>>,
    /// Maximum age of the configuration proof for accepting and for refusing keys.
    pub(crate) key_leases: KeyLeases,
    /// Requests sent per tenant, at this node and elsewhere.
    pub(crate) quotas: RefCell<QuotaTracker>,
    /// State of other nodes as quota lessors, and pending grant requests.
    pub(crate) lessors: Lessors,
    /// What is known of requests that a caller may repeat, from this node and from others.
    pub(crate) requests: RequestExchange,
    /// Probes of workers at which requests broke off.
    pub(crate) worker_probes: WorkerProbes,
    pub(crate) watches: Watches,
    /// This node's record of requests under which workers ended.
    pub(crate) end_records: EndRecords,
    /// Whether the versions that were recorded before this process started were read.
    pub(crate) versions_read: RecordsRead,
    /// The longest time that a stream can last.
    stream_lifetime: Cell<StreamLifetime>,
    /// Programs started at this node by tenants with quotas.
    pub(crate) started_programs: RefCell<StartedPrograms>,
    /// Whether this node reads the log's streams, and what it receives of them from other nodes.
    pub(crate) feed: Feed,
    /// Engines whose cache contents this node reads.
    pub(crate) engines: Engines,
    pub(crate) workers: RefCell<WorkerDirectory>,
    pub(crate) nodes: RefCell<NodeDirectory>,
    pub(crate) splits: RefCell<WeightedRoundRobin>,
    pub(crate) peers: Peers,
    pub(crate) pool: Rc<Pool>,
    pub(crate) ledger: Ledger,
    /// Response times of the ledger's log calls.
    pub(crate) log_timer: RefCell<ResponseTimer>,
    /// Response times of the ledger's log reads, which may return many records.
    pub(crate) log_read_timer: RefCell<ResponseTimer>,
    /// Whether the log responds to this node.
    pub(crate) log_reach: RefCell<LogReachability>,
    /// Whether the log responds to any node.
    pub(crate) log_outage: LogOutage,
    pub(crate) metrics: Metrics,
    pub(crate) stage: watch::Sender<Stage>,
    /// Number of nodes of all zones that callers are sent to.
    pub(crate) serving_count: Cell<u32>,
    /// The nodes of all zones that callers are sent to.
    pub(crate) serving: RefCell<BTreeSet<NodeId>>,
    /// Memory accounting of buffers for callers, workers and peers.
    pub(crate) memory: MemoryTracker,
    /// Turns queued for engine slots.
    pub(crate) admission: AdmissionDriver,
    /// Runs at this node that have a backup.
    pub(crate) backups: RefCell<Backups>,
    /// Requests of callers that are being read or are in progress.
    pub(crate) in_flight: WorkCounter,
    /// When requests in progress are ended; `None` unless the node is draining.
    pub(crate) aborts_at: Cell<Option<Instant>>,
    /// Progress of the node's start.
    pub(crate) start: StartTracker,
    /// Node changes that are applied as one batch.
    node_changes: RefCell<RecomputeThrottle>,
    sequence: Cell<u64>,
}

impl Gateway {
    /// Creates the state of a gateway that has not read any stream.
    pub(crate) fn new(settings: GatewaySettings, platform: Rc<dyn Platform>) -> Rc<Self> {
        let (stage, _) = watch::channel(Stage::Serving);
        let policy = settings.policy;
        let key_leases = KeyLeases {
            acting: settings.revoke_within.map(lease_of),
            denying: denial_lease_of(settings.apply_within),
        };
        let clock = Clock::start();
        let division = match policy.shared_quotas {
            true => Division::Reported,
            false => Division::Even,
        };
        let metrics = Metrics::new();
        let pace = match policy.batched_changes {
            true => MIN_RECOMPUTE_INTERVAL,
            false => Duration::ZERO,
        };
        let quotas = QuotaTracker::new(settings.quotas, division, rand::random(), clock.now())
            .with_program_priority(policy.quota_order);
        let cold = ColdSenders::new(settings.cold, &settings.node);
        let mut versions = VersionHistory::starting(clock.now());
        if settings.is_first_start {
            versions.note_first_start();
        }
        let workers = WorkerDirectory::new(policy)
            .with_cold_senders(cold)
            .with_versions(versions)
            .with_drain_use(settings.drain_notice / DRAIN_USE_DIVISOR)
            .with_own_zone(settings.zone.as_str());
        Rc::new(Self {
            peers: Peers::new(&settings),
            feed: Feed::new(&settings),
            ledger: Ledger::new(settings.partitions),
            log_timer: RefCell::default(),
            log_read_timer: RefCell::default(),
            log_reach: RefCell::default(),
            log_outage: LogOutage::default(),
            memory: MemoryTracker::new(settings.memory_bytes, &metrics),
            admission: AdmissionDriver::new(&settings),
            backups: RefCell::default(),
            settings,
            platform,
            clock,
            http: ServiceConfig::default(),
            config: RefCell::default(),
            config_proof: RefCell::default(),
            config_record: RefCell::default(),
            config_stream_end: Cell::default(),
            evacuations: RefCell::default(),
            unreadable_entries: RefCell::default(),
            last_proof_reply: Cell::default(),
            key_leases,
            quotas: RefCell::new(quotas),
            engines: Engines::default(),
            lessors: Lessors::default(),
            requests: RequestExchange::default(),
            worker_probes: WorkerProbes::default(),
            watches: Watches::default(),
            end_records: EndRecords::default(),
            versions_read: RecordsRead::default(),
            stream_lifetime: Cell::default(),
            started_programs: RefCell::default(),
            workers: RefCell::new(workers),
            nodes: RefCell::new(NodeDirectory::new(&policy)),
            splits: RefCell::new(WeightedRoundRobin::new(rand::random())),
            pool: Rc::default(),
            metrics,
            stage,
            serving_count: Cell::new(1),
            serving: RefCell::default(),
            in_flight: WorkCounter::default(),
            aborts_at: Cell::default(),
            start: StartTracker::default(),
            node_changes: RefCell::new(RecomputeThrottle::new(pace)),
            sequence: Cell::new(0),
        })
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        self.now().since(Timestamp::default())
    }

    /// Returns the current configuration.
    pub(crate) fn current_config(&self) -> Option<Rc<ServingConfig>> {
        self.config.borrow().current().cloned()
    }

    /// Returns the maximum age of the configuration proof for accepting keys; `None` if there are
    /// no keys, or if there is no deadline for refusing revoked ones.
    pub(crate) fn key_lease(&self) -> Option<Duration> {
        let config = self.config.borrow();
        let has_keys = config
            .current()
            .is_some_and(|config| !config.tenants.is_empty());
        self.key_leases.acting.filter(|_| has_keys)
    }

    /// Returns the age of the configuration proof from which other nodes are asked for a newer one.
    pub(crate) fn proof_request_age(&self) -> Duration {
        let reads = self.feed.reads();
        proof_request_age(self.key_lease(), self.settings.apply_within, reads)
    }

    /// Returns the current stage.
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until the node closes its connections before it exits.
    pub(crate) async fn until_closing(&self) {
        self.until_stage(Stage::Closing).await;
    }

    /// Waits until the requests in progress are ended because the process is about to exit.
    pub(crate) async fn until_aborting(&self) {
        self.until_stage(Stage::Aborting).await;
    }

    async fn until_stage(&self, wanted: Stage) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as the gateway.
        let _ = stage.wait_for(|stage| *stage >= wanted).await;
    }

    /// Returns whether the process exits before this time.
    pub(crate) fn exits_before(&self, time: Instant) -> bool {
        self.aborts_at.get().is_some_and(|end| end < time)
    }

    /// Returns whether callers should be sent to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.start.is_complete()
    }

    /// Records that nodes were added, removed or changed, and recomputes derived state now or as
    /// part of a later batch.
    pub(crate) fn note_node_changes(&self) {
        if self.node_changes.borrow_mut().on_change(self.now()) {
            self.recompute_nodes();
        }
    }

    /// Recomputes derived state if a batch of node changes is due.
    pub(crate) fn apply_due_node_changes(&self) {
        if self.node_changes.borrow_mut().take_due(self.now()) {
            self.recompute_nodes();
        }
    }

    /// Recomputes derived state immediately, for callers that need the current state of the nodes.
    pub(crate) fn apply_node_changes_now(&self) {
        self.node_changes.borrow_mut().mark_recomputed(self.now());
        self.recompute_nodes();
    }

    fn recompute_nodes(&self) {
        if !self.peers.recompute(&self.nodes.borrow()) {
            return;
        }
        self.metrics.node_recomputations.inc();
        self.feed.note_node_changes();
        self.update_serving_nodes();
    }

    /// Updates the set of nodes that callers are sent to.
    pub(crate) fn update_serving_nodes(&self) {
        let nodes = self.nodes.borrow();
        let serving = self.serving_nodes(&nodes);
        let count = serving.len();
        let mut workers = self.workers.borrow_mut();
        workers.cold_senders().set_nodes(serving.iter().copied());
        let serving = serving.into_iter().cloned().collect();
        *self.serving.borrow_mut() = serving;
        self.serving_count.set(saturating_u32(count.max(1)));
    }

    /// Applies the current evacuations to the worker directory and the feed.
    pub(crate) fn apply_evacuations(&self) {
        let evacuations = self.evacuations.borrow();
        let now = self.now();
        let mut workers = self.workers.borrow_mut();
        workers.close_zones(evacuations.zones(), now);
        self.feed.note_zones();
        let count = evacuations.zones().count();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.zones_evacuated.set(count);
    }

    /// Returns the nodes of all zones that callers are sent to.
    pub(crate) fn serving_nodes<'a>(&self, nodes: &'a NodeDirectory) -> BTreeSet<&'a NodeId> {
        nodes.offered_in_any_zone(|node| self.is_serving(node))
    }

    /// Returns the nodes between which quotas are divided.
    pub(crate) fn fleet(&self) -> Fleet {
        let proof_age = self.config_proof.borrow().last_read_age(self.now());
        Fleet {
            nodes: self.serving_count.get(),
            is_cut_off: proof_age.is_none_or(|age| age > CUT_OFF_AFTER),
        }
    }

    /// Returns whether a node accepts requests, to this node's knowledge.
    pub(crate) fn is_serving(&self, node: &NodeId) -> bool {
        if *node == self.settings.node {
            self.is_ready()
        } else {
            self.peers.is_alive(node)
        }
    }

    /// Returns whether callers may be sent to a node, to this node's knowledge.
    pub(crate) fn is_offered(&self, node: &NodeId) -> bool {
        self.is_serving(node) && !self.peers.is_in_suspected_zone(self, node)
    }

    /// Returns listed nodes that are not alive, except this one.
    pub(crate) fn absent_nodes(&self) -> Vec<(NodeId, Incarnation)> {
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .filter(|(node, _)| **node != self.settings.node && !self.peers.is_alive(node))
            .map(|(node, known)| (node.clone(), known.incarnation))
            .collect()
    }

    /// Updates the metric of queued turns.
    pub(crate) fn update_queue_metric(&self) {
        let count = self.admission.core.borrow().waiting_count();
        self.metrics
            .admission_waiting
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Returns how long a stream can last, with the tries of its caller.
    pub(crate) fn stream_lifetime(&self) -> Duration {
        let config = self.config.borrow();
        let config = config.current();
        let held = config.map_or(MIN_STREAM_LIFETIME, |config| config.stream_lifetime());
        let mut lifetime = self.stream_lifetime.get();
        lifetime.note_routes(held);
        self.stream_lifetime.set(lifetime);
        lifetime.get()
    }

    /// Records how long a caller waits for a stream that it may take up.
    pub(crate) fn note_stream_deadline(&self, deadline: Duration) {
        let mut lifetime = self.stream_lifetime.get();
        lifetime.note_deadline(deadline);
        self.stream_lifetime.set(lifetime);
    }

    /// Returns how long a caller may repeat a request.
    pub(crate) fn request_lifetime(&self) -> Duration {
        let config = self.config.borrow();
        let config = config.current();
        config.map_or(MIN_STREAM_LIFETIME, |config| config.request_lifetime())
    }

    /// Returns the software versions at which a service's streams may have begun.
    pub(crate) fn service_versions(&self, service: &str) -> ServiceVersions {
        let workers = self.workers.borrow();
        let history = workers.versions();
        history.versions(service, self.now(), self.stream_lifetime())
    }

    /// Like [`Self::service_versions`], for a service that is given by its key.
    pub(crate) fn service_versions_by_key(&self, key: u64) -> ServiceVersions {
        let workers = self.workers.borrow();
        let mut services = workers.versions().services();
        let service = services.find(|service| service_key(service) == key);
        service.map_or(ServiceVersions::Unknown, |service| {
            self.service_versions(service)
        })
    }

    /// Returns a number that is unique within the process.
    pub(crate) fn next_sequence(&self) -> u64 {
        let number = self.sequence.get() + 1;
        self.sequence.set(number);
        number
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
