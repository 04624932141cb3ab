//! The workers as one node knows them: their records, requests in flight and health.

mod demand;
mod memory;
mod throttling;
mod versions;
mod zones;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use elderworks_protocol::feed::WorkerRecord;
use elderworks_types::{NodeId, Timestamp};

use crate::cold_workers::ColdSenders;
use crate::engine_memory::fetching::FetchLimiter;
use crate::engine_memory::snapshots::EngineMemories;
use crate::peer_loads::{PeerLoads, WorkerKey};
use crate::placement::demand::PrefixDemand;
use crate::policy::Policy;
use crate::stream_versions::SoftwareVersion;
use crate::stream_versions::history::VersionHistory;
use crate::worker_health::{HealthStatus, WorkerHealth};
use crate::zone_health::ZoneHealth;

/// The outcome of [`WorkerDirectory::upsert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpsertOutcome {
    /// The record equals the known one.
    Unchanged,
    /// The worker is new, or its record has changed.
    Changed,
    /// The worker has restarted; its health and load were reset.
    Restarted,
    /// The record is of an earlier start than the known one and was ignored.
    Outdated,
}

/// One start of a worker, to which a request in flight belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInstance {
    /// Id of the worker.
    pub id: String,
    born: u64,
}

/// Maximum number of idle connections that a node keeps to one worker.
const MAX_IDLE_CONNECTIONS: u32 = 16;

/// Quarters of a worker's connection limit that all nodes together may keep idle; the rest is left
/// for new connections.
const IDLE_QUARTERS: u32 = 3;

/// Returns how many idle connections a node may keep to a worker that accepts `max_connections`
/// in total, so that the idle connections of some nodes don't lock out the others.
pub fn max_idle_connections(max_connections: u32, nodes: u32) -> u32 {
    let for_all = max_connections / 4 * IDLE_QUARTERS;
    (for_all / nodes.max(1)).clamp(1, MAX_IDLE_CONNECTIONS)
}

/// How long a worker that refused a request for lack of capacity is avoided.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// How long a worker whose record is gone remains a last resort.
const MISSING_GRACE: Duration = Duration::from_millis(1_000);

/// Like [`MISSING_GRACE`], right after an outage of the store. The store then drops records of
/// healthy workers until their next heartbeats.
const MISSING_GRACE_AFTER_OUTAGE: Duration = Duration::from_millis(3_500);

/// Time after an outage during which the loss of a record is attributed to the outage. Shorter than
/// the time after which the store counts as stable.
const OUTAGE_AFTERMATH: Duration = Duration::from_secs(2);

/// One worker as this node knows it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The latest record.
    pub record: WorkerRecord,
    /// This node's requests in flight.
    pub in_flight: u32,
    /// Version of its software, if known.
    pub software: Option<SoftwareVersion>,
    key: WorkerKey,
    health: WorkerHealth,
    full_until: Timestamp,
    cold_until: Timestamp,
    /// When this node may send the next request while the worker is cold.
    next_cold_request: Timestamp,
    /// Set while the record is gone: until when the worker is a last resort.
    missing_until: Option<Timestamp>,
    /// When this node learned that the worker is draining, if it learned it without delay.
    draining_since: Option<Timestamp>,
    /// When this node last received a part of an answer from it.
    last_heard: Option<Timestamp>,
}

impl Worker {
    /// Returns whether the worker is ejected because of failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.health.status(now) == HealthStatus::Ejected
    }

    /// Returns whether a request should use another worker if possible: this one is ejected, or it
    /// is on probation and the request isn't suitable as a probe.
    pub fn should_avoid(&self, now: Timestamp, repeatable: bool) -> bool {
        match self.health.status(now) {
            HealthStatus::Healthy => false,
            HealthStatus::OnProbation => !repeatable || self.in_flight > 0,
            HealthStatus::Ejected => true,
        }
    }

    /// Returns the key that identifies the worker in reports.
    pub fn key(&self) -> WorkerKey {
        self.key
    }

    /// Returns whether the worker has recently started and can run only few requests.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Returns whether the worker recently refused a request for lack of capacity.
    pub fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }
}

/// All known workers by id.
#[derive(Clone, Debug, Default)]
pub struct WorkerDirectory {
    policy: Policy,
    workers: BTreeMap<String, Worker>,
    peer_loads: PeerLoads,
    /// Demand for prompt prefixes, by engine service.
    prefix_demand: BTreeMap<String, PrefixDemand>,
    /// Last known contents of the engines' memory.
    memories: EngineMemories,
    /// Recent fetches of prefixes from other engines.
    fetch_limiter: FetchLimiter,
    /// Zones whose workers get no new requests.
    closed_zones: BTreeSet<String>,
    /// Which nodes may send requests to cold workers.
    cold_senders: ColdSenders,
    /// Health of the zones as a whole.
    zone_health: ZoneHealth,
    /// When the latest outage of the store ended.
    outage_ended: Option<Timestamp>,
    /// Software versions of the workers over time.
    versions: VersionHistory,
    /// How long a worker that has announced its end continues streams of its version.
    drain_use: Duration,
}

impl WorkerDirectory {
    /// Creates a directory without workers.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Sets which nodes may send requests to cold workers.
    pub fn with_cold_senders(mut self, cold_senders: ColdSenders) -> Self {
        self.cold_senders = cold_senders;
        self
    }

    /// Returns the policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Adds a worker or updates its record.
    pub fn upsert(&mut self, mut record: WorkerRecord, now: Timestamp) -> UpsertOutcome {
        let cold_until = now + record.cold_left;
        if let Some(known) = self.workers.get_mut(&record.id) {
            if record.born < known.record.born {
                return UpsertOutcome::Outdated;
            }
            if record.born == known.record.born {
                if record.software.is_none() {
                    // Readers send it separately; it doesn't change while a worker runs.
                    record.software = known.record.software.take();
                }
                known.software = record.software.as_deref().map(SoftwareVersion::of);
                known.draining_since = match (known.record.draining, record.draining) {
                    (false, true) => self.versions.is_fresh(now).then_some(now),
                    (true, true) => known.draining_since,
                    (_, false) => None,
                };
                let is_unchanged =
                    known.record.eq_ignoring_cold_left(&record) && known.missing_until.is_none();
                known.record = record;
                known.missing_until = None;
                known.cold_until = cold_until;
                return if is_unchanged {
                    UpsertOutcome::Unchanged
                } else {
                    UpsertOutcome::Changed
                };
            }
        }
        let worker = Worker {
            key: WorkerKey::of(&record.id),
            software: record.software.as_deref().map(SoftwareVersion::of),
            record,
            in_flight: 0,
            health: WorkerHealth::default(),
            full_until: Timestamp::default(),
            cold_until,
            next_cold_request: Timestamp::default(),
            missing_until: None,
            draining_since: None,
            last_heard: None,
        };
        let key = worker.key;
        match self.workers.insert(worker.record.id.clone(), worker) {
            Some(_) => {
                self.peer_loads.forget_worker(key);
                self.memories.forget(key);
                UpsertOutcome::Restarted
            }
            None => UpsertOutcome::Changed,
        }
    }

    /// Records that a worker's entry was overwritten by data that can't be read; returns whether its
    /// record was present. The worker isn't used even as a last resort.
    pub fn mark_unreadable(&mut self, id: &str, now: Timestamp) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let was_there = worker.missing_until.is_none();
        worker.missing_until = Some(now);
        was_there
    }

    /// Records that an outage of the store has ended.
    pub fn note_outage_over(&mut self, now: Timestamp) {
        self.outage_ended = Some(now);
    }

    /// Returns how long a worker whose record disappears now remains a last resort.
    fn missing_grace(&self, now: Timestamp) -> Duration {
        if !self.policy.missing_grace {
            return Duration::ZERO;
        }
        let after_outage = self
            .outage_ended
            .is_some_and(|over| now.since(over) < OUTAGE_AFTERMATH);
        if after_outage {
            MISSING_GRACE_AFTER_OUTAGE
        } else {
            MISSING_GRACE
        }
    }

    /// Records that a worker's record is gone; returns whether it was present.
    pub fn mark_missing(&mut self, id: &str, now: Timestamp) -> bool {
        let until = now + self.missing_grace(now);
        match self.workers.get_mut(id) {
            Some(worker) if worker.missing_until.is_none() => {
                worker.missing_until = Some(until);
                true
            }
            _ => false,
        }
    }

    /// Marks all workers except the given ones as missing, after the complete list was read; returns
    /// those whose record was present.
    pub fn mark_all_missing_but(&mut self, ids: &BTreeSet<String>, now: Timestamp) -> Vec<String> {
        let until = now + self.missing_grace(now);
        let mut gone = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.missing_until.is_none() && !ids.contains(id) {
                worker.missing_until = Some(until);
                gone.push(id.clone());
            }
        }
        gone
    }

    /// Removes workers that have been missing for longer than their grace time; returns their ids.
    pub fn forget_missing(&mut self, now: Timestamp) -> Vec<String> {
        let is_over = |worker: &Worker| worker.missing_until.is_some_and(|until| until <= now);
        let gone: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, worker)| is_over(worker))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            if let Some(worker) = self.workers.remove(id) {
                self.memories.forget(worker.key);
            }
        }
        gone
    }

    /// Returns the worker with that id.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns the workers of a service that accept new requests.
    pub fn accepting<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.of_service(service)
            .filter(|worker| worker.missing_until.is_none())
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns all known workers of a service, whatever their state.
    pub fn known<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Worker> {
        let workers = self.workers.values();
        workers.filter(move |worker| worker.record.service == service)
    }

    /// Returns whether a worker's record is present.
    pub fn is_listed(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.missing_until.is_none())
    }

    /// Returns whether a worker accepts new requests.
    pub fn is_accepting(&self, worker: &Worker) -> bool {
        worker.missing_until.is_none() && self.is_open(worker)
    }

    /// Returns whether the worker isn't draining and its zone isn't closed.
    pub fn is_open(&self, worker: &Worker) -> bool {
        !worker.record.draining && !self.closed_zones.contains(&worker.record.zone)
    }

    /// Returns the workers of a service whose records disappeared within the grace time.
    pub fn last_resort<'a>(
        &'a self,
        service: &'a str,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a Worker> {
        self.of_service(service)
            .filter(move |worker| worker.missing_until.is_some_and(|until| now < until))
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.workers
            .values()
            .filter(move |worker| worker.record.service == service && self.is_open(worker))
    }

    /// Returns the number of known workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Records that a request is sent to a worker; the returned value has to be passed to
    /// [`Self::note_completion`].
    pub fn note_start(&mut self, id: &str, now: Timestamp) -> WorkerInstance {
        let mut life = WorkerInstance {
            id: id.to_owned(),
            born: 0,
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return life;
        };
        life.born = worker.record.born;
        worker.in_flight += 1;
        if worker.is_cold(now) {
            let pause = self.cold_senders.pause(&worker.record.service, id);
            worker.next_cold_request = now + pause.unwrap_or_default();
        }
        life
    }

    /// Records that a request no longer occupies a worker.
    pub fn note_completion(&mut self, life: &WorkerInstance) {
        let worker = self.workers.get_mut(&life.id);
        if let Some(worker) = worker.filter(|worker| worker.record.born == life.born) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }

    /// Replaces another node's report of its requests in flight.
    pub fn apply_peer_load(
        &mut self,
        now: Timestamp,
        node: NodeId,
        counts: BTreeMap<WorkerKey, u32>,
    ) {
        self.peer_loads.replace_report(now, node, counts);
    }

    /// Drops expired reports of other nodes.
    pub fn drop_old_loads(&mut self, now: Timestamp) {
        self.peer_loads.drop_old(now);
    }

    /// Returns this node's requests in flight by worker, without idle workers.
    pub fn own_load(&self) -> BTreeMap<WorkerKey, u32> {
        let busy = self.workers.values().filter(|worker| worker.in_flight > 0);
        busy.map(|worker| (worker.key, worker.in_flight)).collect()
    }

    /// Returns the requests in flight at a worker: this node's and those reported by others.
    pub fn load(&self, worker: &Worker) -> u32 {
        worker.in_flight + self.peer_loads.at(worker.key)
    }

    /// Records that a part of an answer was received from a worker.
    pub fn note_heard(&mut self, id: &str, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.last_heard = Some(now);
        }
    }

    /// Returns whether a part of an answer was received from a worker at this time or later.
    pub fn was_heard_since(&self, id: &str, since: Timestamp) -> bool {
        let last_heard = self.workers.get(id).and_then(|worker| worker.last_heard);
        last_heard.is_some_and(|heard| heard >= since)
    }

    /// Records a valid response.
    pub fn note_success(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.note_success();
        }
    }

    /// Records that a worker refused a request for lack of capacity.
    pub fn note_full(&mut self, id: &str, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.full_until = now + FULL_PAUSE;
        }
    }

    /// Records a failure; returns whether it ejected the worker.
    pub fn note_failure(&mut self, id: &str, now: Timestamp) -> bool {
        self.note_zone_failure(id, now);
        let worker = self.workers.get_mut(id).filter(|_| self.policy.ejection);
        worker.is_some_and(|worker| worker.health.note_failure(now))
    }

    /// Records that another node has ejected a worker; returns whether this ejected it here, too.
    pub fn note_ejection_report(&mut self, id: &str, now: Timestamp, node: NodeId) -> bool {
        let worker = self.workers.get_mut(id).filter(|_| self.policy.ejection);
        worker.is_some_and(|worker| worker.health.note_ejection_report(now, node))
    }
}
