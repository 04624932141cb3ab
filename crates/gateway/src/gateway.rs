//! What the tasks of one gateway share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use elderworks_gateway_core::access::KeyLeases;
use elderworks_gateway_core::cold::ColdSenders;
use elderworks_gateway_core::config::{ActiveConfig, ServingConfig};
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
use elderworks_gateway_core::unreadable::UnreadableKeys;
use elderworks_gateway_core::workers::WorkerDirectory;
use elderworks_types::{Incarnation, NodeId, Offset, Timestamp};
use tokio::sync::watch;

use crate::admission::AdmissionDriver;
use crate::clock::Clock;
use crate::engines::Engines;
use crate::feed::Feed;
use crate::ledger::Ledger;
use crate::log_outage::LogOutage;
use crate::memory::MemoryTracker;
use crate::metrics::Metrics;
use crate::peers::{Lessors, Peers};
use crate::ports::{Platform, StreamRecord};
use crate::settings::GatewaySettings;
use crate::start::Start;
use crate::upstream::Pool;

/// Stages of a process's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Takes requests.
    Serving,
    /// Leaving: finishes requests, keeps no connection.
    Draining,
    /// Takes no new connection and closes those at rest.
    Closing,
}

/// A node that has read the configuration this long ago is taken to have no way to the log: reads
/// wait for news for two seconds at most.
const LATE_READ: Duration = Duration::from_millis(2_500);

/// Shared by all tasks of the process; they run on one thread.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) platform: Rc<dyn Platform>,
    pub(crate) clock: Clock,
    pub(crate) http: ServiceConfig,
    pub(crate) config: RefCell<ActiveConfig>,
    /// When the configuration in force was last known to be the newest one.
    pub(crate) config_proof: RefCell<ConfigProof>,
    /// The record of that configuration, for nodes that cannot read the log.
    pub(crate) config_record: RefCell<Option<StreamRecord>>,
    /// Where the stream of configurations ended when it was last read.
    pub(crate) config_stream_end: Cell<Option<Offset>>,
    /// Zones whose workers are to get nothing more.
    pub(crate) evacuations: RefCell<Evacuations>,
    /// Keys of entries that could not be read.
    pub(crate) unreadable_entries: RefCell<UnreadableKeys>,
    /// When another node last answered a question for its proof, whatever it had.
    pub(crate) last_proof_reply: Cell<Option<Timestamp>>,
    /// How old that proof may be.
    pub(crate) key_leases: KeyLeases,
    /// What was sent on for tenants, here and elsewhere.
    pub(crate) quotas: RefCell<QuotaTracker>,
    /// Who grants requests within quotas.
    pub(crate) lessors: Lessors,
    /// Programs of tenants with quotas that have begun here.
    pub(crate) begun_programs: RefCell<StartedPrograms>,
    /// Whether this node reads the log's streams, and what it hears of them otherwise.
    pub(crate) feed: Feed,
    /// Engines whose memory this node reads.
    pub(crate) engines: Engines,
    pub(crate) workers: RefCell<WorkerDirectory>,
    pub(crate) nodes: RefCell<NodeDirectory>,
    pub(crate) splits: RefCell<WeightedRoundRobin>,
    pub(crate) peers: Peers,
    pub(crate) pool: Rc<Pool>,
    pub(crate) ledger: Ledger,
    /// Response times of the log's calls for the ledger.
    pub(crate) log_timer: RefCell<ResponseTimer>,
    /// Response times of the log's reads for the ledger, which may bring many records.
    pub(crate) log_read_timer: RefCell<ResponseTimer>,
    /// Whether the log answers this node.
    pub(crate) log_reach: RefCell<LogReachability>,
    /// Whether the log answers anybody.
    pub(crate) log_outage: LogOutage,
    pub(crate) metrics: Metrics,
    pub(crate) stage: watch::Sender<Stage>,
    /// Nodes of all zones that callers are sent to, as last counted.
    pub(crate) nodes_serving: Cell<u32>,
    /// Those nodes.
    pub(crate) serving: RefCell<BTreeSet<NodeId>>,
    /// What is held for callers, workers and peers.
    pub(crate) memory: MemoryTracker,
    /// Turns that wait for places at engines.
    pub(crate) admission: AdmissionDriver,
    /// Runs of this node that have a backup.
    pub(crate) backups: RefCell<Backups>,
    /// Requests under way.
    pub(crate) in_flight: Cell<u32>,
    /// What this node knows already, and what it still needs to serve.
    pub(crate) start: Start,
    /// Changes of nodes that wait to be acted on together.
    node_changes: RefCell<RecomputeThrottle>,
    sequence: Cell<u64>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub(crate) fn new(settings: GatewaySettings, platform: Rc<dyn Platform>) -> Rc<Self> {
        let (stage, _) = watch::channel(Stage::Serving);
        let policy = settings.policy;
        let key_leases = KeyLeases {
            acting: settings.revoke_within.map(lease_of),
            denying: denial_lease_of(settings.apply_within),
        };
        let clock = Clock::start();
        let division = match policy.shared_quotas {
            true => Division::Told,
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
        let workers = WorkerDirectory::new(policy)
            .with_cold_senders(cold)
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
            begun_programs: RefCell::default(),
            workers: RefCell::new(workers),
            nodes: RefCell::new(NodeDirectory::new(&policy)),
            splits: RefCell::new(WeightedRoundRobin::new(rand::random())),
            pool: Rc::default(),
            metrics,
            stage,
            nodes_serving: Cell::new(1),
            serving: RefCell::default(),
            in_flight: Cell::new(0),
            start: Start::default(),
            node_changes: RefCell::new(RecomputeThrottle::new(pace)),
            sequence: Cell::new(0),
        })
    }

    /// The present time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Time since the start.
    pub(crate) fn uptime(&self) -> Duration {
        self.now().since(Timestamp::default())
    }

    /// The configuration in force.
    pub(crate) fn current_config(&self) -> Option<Rc<ServingConfig>> {
        self.config.borrow().current().cloned()
    }

    /// How long a proof of the configuration counts for acting on keys; `None` if there are none,
    /// or if they need not be refused in time.
    pub(crate) fn key_lease(&self) -> Option<Duration> {
        let config = self.config.borrow();
        let has_keys = config
            .current()
            .is_some_and(|config| !config.tenants.is_empty());
        self.key_leases.acting.filter(|_| has_keys)
    }

    /// Age of the proof of the configuration at which other nodes are asked for a younger one.
    pub(crate) fn proof_request_age(&self) -> Duration {
        let reads = self.feed.reads();
        proof_request_age(self.key_lease(), self.settings.apply_within, reads)
    }

    /// The present stage.
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.start.is_complete()
    }

    /// Notes that nodes have come, gone or changed. What follows from it is worked out now or soon.
    pub(crate) fn note_node_changes(&self) {
        if self.node_changes.borrow_mut().on_change(self.now()) {
            self.recompute_nodes();
        }
    }

    /// Acts on changes of nodes that have waited for others.
    pub(crate) fn apply_due_node_changes(&self) {
        if self.node_changes.borrow_mut().take_due(self.now()) {
            self.recompute_nodes();
        }
    }

    /// Acts on changes of nodes without delay: what follows must not rest on what was known before.
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

    /// Counts the nodes that callers are sent to.
    pub(crate) fn update_serving_nodes(&self) {
        let nodes = self.nodes.borrow();
        let serving = self.serving_nodes(&nodes);
        let count = serving.len();
        let mut workers = self.workers.borrow_mut();
        workers.cold_senders().set_nodes(serving.iter().copied());
        let serving = serving.into_iter().cloned().collect();
        *self.serving.borrow_mut() = serving;
        self.nodes_serving.set(saturating_u32(count.max(1)));
    }

    /// Brings what is believed of workers in line with the zones that are to get nothing more.
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

    /// The nodes of all zones that callers are sent to.
    pub(crate) fn serving_nodes<'a>(&self, nodes: &'a NodeDirectory) -> BTreeSet<&'a NodeId> {
        nodes.offered_in_any_zone(|node| self.is_serving(node))
    }

    /// The nodes between which quotas are divided.
    pub(crate) fn fleet(&self) -> Fleet {
        let proof_age = self.config_proof.borrow().last_read_age(self.now());
        Fleet {
            nodes: self.nodes_serving.get(),
            is_cut_off: proof_age.is_none_or(|age| age > LATE_READ),
        }
    }

    /// Whether a node takes requests, as far as this one knows.
    pub(crate) fn is_serving(&self, node: &NodeId) -> bool {
        if *node == self.settings.node {
            self.is_ready()
        } else {
            self.peers.is_alive(node)
        }
    }

    /// Whether callers are to be sent to a node, as far as this one knows.
    pub(crate) fn is_offered(&self, node: &NodeId) -> bool {
        self.is_serving(node) && !self.peers.is_in_suspected_zone(self, node)
    }

    /// Listed nodes that are neither alive nor this one.
    pub(crate) fn absent_nodes(&self) -> Vec<(NodeId, Incarnation)> {
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .filter(|(node, _)| **node != self.settings.node && !self.peers.is_alive(node))
            .map(|(node, known)| (node.clone(), known.incarnation))
            .collect()
    }

    /// Shows how many turns wait.
    pub(crate) fn note_waiting(&self) {
        let count = self.admission.core.borrow().waiting_count();
        self.metrics
            .admission_waiting
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// A number that no other caller of this function gets.
    pub(crate) fn next_sequence(&self) -> u64 {
        let number = self.sequence.get() + 1;
        self.sequence.set(number);
        number
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
