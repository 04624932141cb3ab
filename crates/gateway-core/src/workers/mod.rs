//! What one node knows of the workers: their records, its own requests there, and their failures.

mod demand;
mod memory;
mod restraint;
mod zones;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use elderworks_protocol::feed::WorkerRecord;
use elderworks_types::{NodeId, Timestamp};

use crate::cold::ColdSenders;
use crate::engine_memory::fetching::FetchBook;
use crate::engine_memory::snapshots::EngineMemories;
use crate::peer_loads::{PeerLoads, WorkerKey};
use crate::placement::demand::PartDemand;
use crate::policy::Policy;
use crate::worker_health::{Standing, WorkerHealth};
use crate::zone_health::ZoneHealth;

/// What taking a worker's entry has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpsertOutcome {
    /// Nothing.
    Known,
    /// The worker is new, or something of it has changed.
    Changed,
    /// The worker has started again: what was known of it holds no more.
    Restarted,
    /// Nothing: the entry is of an earlier start than the one that is known.
    Outdated,
}

/// A start of a worker at which a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInstance {
    /// The worker.
    pub id: String,
    born: u64,
}

/// Most connections at rest that a node keeps to one worker.
const MOST_IDLE_CONNECTIONS: u32 = 16;

/// Part of a worker's connections that all nodes together keep at rest, in quarters; the rest is
/// for requests that need a new one.
const IDLE_QUARTERS: u32 = 3;

/// How many connections at rest a node may keep to a worker that takes `max_connections` from all
/// callers together, so that the nodes do not take the worker's connections from each other.
pub fn max_idle_connections(max_connections: u32, nodes: u32) -> u32 {
    let for_all = max_connections / 4 * IDLE_QUARTERS;
    (for_all / nodes.max(1)).clamp(1, MOST_IDLE_CONNECTIONS)
}

/// A worker that refused for lack of room is avoided for this long.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// A worker whose record is gone is a last resort for this long.
const MISSING_GRACE: Duration = Duration::from_millis(1_000);

/// The same for records that go right after an outage: a store that was down drops those of workers
/// that are well, and takes them up again with one of their next heartbeats.
const MISSING_GRACE_AFTER_OUTAGE: Duration = Duration::from_millis(3_500);

/// Records that go within this time after an outage are taken to have gone because of it. Shorter
/// than the time after which a store counts as stable again.
const OUTAGE_AFTERMATH: Duration = Duration::from_secs(2);

/// One worker as this node sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its latest record.
    pub record: WorkerRecord,
    /// Requests that this node is running there.
    pub in_flight: u32,
    key: WorkerKey,
    health: WorkerHealth,
    full_until: Timestamp,
    cold_until: Timestamp,
    /// When this node may send it the next request while it is cold.
    next_cold: Timestamp,
    /// Set while its record is gone: until when it is a last resort.
    missing_until: Option<Timestamp>,
}

impl Worker {
    /// Whether it is ejected for failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.health.standing(now) == Standing::Ejected
    }

    /// Whether a request is to be kept from it while there are others: it is ejected, or on
    /// probation and the request is not one to try it with.
    pub fn should_avoid(&self, now: Timestamp, repeatable: bool) -> bool {
        match self.health.standing(now) {
            Standing::Good => false,
            Standing::OnProbation => !repeatable || self.in_flight > 0,
            Standing::Ejected => true,
        }
    }

    /// What stands for its id in reports.
    pub fn key(&self) -> WorkerKey {
        self.key
    }

    /// Whether it started a short while ago and bears little.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Whether it lately refused for lack of room.
    pub fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }
}

/// Every worker by id.
#[derive(Clone, Debug, Default)]
pub struct WorkerDirectory {
    policy: Policy,
    workers: BTreeMap<String, Worker>,
    peer_loads: PeerLoads,
    /// Demand for first parts of prompts, by service of engines.
    parts: BTreeMap<String, PartDemand>,
    /// What is believed of the engines' memory.
    memories: EngineMemories,
    /// Parts that engines were told to take from others of late.
    fetches: FetchBook,
    /// Zones whose workers are to get nothing more.
    closed_zones: BTreeSet<String>,
    /// Who may send to cold workers.
    cold: ColdSenders,
    /// Zones that seem lost as a whole.
    zone_health: ZoneHealth,
    /// When the store last answered again after an outage.
    outage_over: Option<Timestamp>,
}

impl WorkerDirectory {
    /// Knows no worker yet.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// The same, with who may send to cold workers.
    pub fn with_cold_senders(mut self, cold: ColdSenders) -> Self {
        self.cold = cold;
        self
    }

    /// The mechanisms in use.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Takes a worker's record.
    pub fn upsert(&mut self, record: WorkerRecord, now: Timestamp) -> UpsertOutcome {
        let cold_until = now + record.cold_left;
        if let Some(known) = self.workers.get_mut(&record.id) {
            if record.born < known.record.born {
                return UpsertOutcome::Outdated;
            }
            if record.born == known.record.born {
                let is_same = known.record.is_alike(&record) && known.missing_until.is_none();
                known.record = record;
                known.missing_until = None;
                known.cold_until = cold_until;
                return if is_same {
                    UpsertOutcome::Known
                } else {
                    UpsertOutcome::Changed
                };
            }
        }
        let worker = Worker {
            key: WorkerKey::of(&record.id),
            record,
            in_flight: 0,
            health: WorkerHealth::default(),
            full_until: Timestamp::default(),
            cold_until,
            next_cold: Timestamp::default(),
            missing_until: None,
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

    /// Notes that a worker's entry was overwritten by something that names no worker; tells whether
    /// it was there. It is not even a last resort.
    pub fn mark_unreadable(&mut self, id: &str, now: Timestamp) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let was_there = worker.missing_until.is_none();
        worker.missing_until = Some(now);
        was_there
    }

    /// Notes that the store answers again after an outage.
    pub fn note_outage_over(&mut self, now: Timestamp) {
        self.outage_over = Some(now);
    }

    /// How long a worker whose record goes now is a last resort.
    fn grace(&self, now: Timestamp) -> Duration {
        if !self.policy.missing_grace {
            return Duration::ZERO;
        }
        let after_outage = self
            .outage_over
            .is_some_and(|over| now.since(over) < OUTAGE_AFTERMATH);
        if after_outage {
            MISSING_GRACE_AFTER_OUTAGE
        } else {
            MISSING_GRACE
        }
    }

    /// Notes that a worker's record is gone; tells whether it was there.
    pub fn mark_missing(&mut self, id: &str, now: Timestamp) -> bool {
        let until = now + self.grace(now);
        match self.workers.get_mut(id) {
            Some(worker) if worker.missing_until.is_none() => {
                worker.missing_until = Some(until);
                true
            }
            _ => false,
        }
    }

    /// Notes as missing all workers but those named, after the whole list was read anew; returns
    /// those that were there.
    pub fn mark_all_missing_but(&mut self, ids: &BTreeSet<String>, now: Timestamp) -> Vec<String> {
        let until = now + self.grace(now);
        let mut gone = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.missing_until.is_none() && !ids.contains(id) {
                worker.missing_until = Some(until);
                gone.push(id.clone());
            }
        }
        gone
    }

    /// Forgets workers that have been missing for too long; returns them.
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

    /// The worker of that id.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Workers of a service that take new work.
    pub fn accepting<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.of_service(service)
            .filter(|worker| worker.missing_until.is_none())
    }

    /// Every worker.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Workers of a service that are known, whatever their state.
    pub fn known<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Worker> {
        let workers = self.workers.values();
        workers.filter(move |worker| worker.record.service == service)
    }

    /// Whether a worker takes new work.
    pub fn is_accepting(&self, worker: &Worker) -> bool {
        worker.missing_until.is_none() && self.is_open(worker)
    }

    /// Whether nothing that the worker or the operator has said keeps new work from it.
    pub fn is_open(&self, worker: &Worker) -> bool {
        !worker.record.draining && !self.closed_zones.contains(&worker.record.zone)
    }

    /// Workers of a service whose records went missing a moment ago.
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

    /// How many workers are known.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Notes that a request goes to a worker; the start of it at which the request runs is to be
    /// named at its end.
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
            let pause = self.cold.pause(&worker.record.service, id);
            worker.next_cold = now + pause.unwrap_or_default();
        }
        life
    }

    /// Notes that a request no longer occupies a worker.
    pub fn note_completion(&mut self, life: &WorkerInstance) {
        let worker = self.workers.get_mut(&life.id);
        if let Some(worker) = worker.filter(|worker| worker.record.born == life.born) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }

    /// Takes what another node says of its requests under way.
    pub fn apply_peer_load(
        &mut self,
        now: Timestamp,
        node: NodeId,
        counts: BTreeMap<WorkerKey, u32>,
    ) {
        self.peer_loads.take(now, node, counts);
    }

    /// Drops what other nodes have said too long ago.
    pub fn drop_old_loads(&mut self, now: Timestamp) {
        self.peer_loads.drop_old(now);
    }

    /// What this node has under way, by worker, without those where it has nothing.
    pub fn own_load(&self) -> BTreeMap<WorkerKey, u32> {
        let busy = self.workers.values().filter(|worker| worker.in_flight > 0);
        busy.map(|worker| (worker.key, worker.in_flight)).collect()
    }

    /// Requests under way at a worker: this node's and those that others have told of.
    pub fn load(&self, worker: &Worker) -> u32 {
        worker.in_flight + self.peer_loads.at(worker.key)
    }

    /// Notes a valid answer.
    pub fn note_success(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.note_success();
        }
    }

    /// Notes that a worker refused for lack of room.
    pub fn note_full(&mut self, id: &str, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.full_until = now + FULL_PAUSE;
        }
    }

    /// Notes a failure; tells whether the worker is ejected now.
    pub fn note_failure(&mut self, id: &str, now: Timestamp) -> bool {
        self.note_zone_failure(id, now);
        let worker = self.workers.get_mut(id).filter(|_| self.policy.ejection);
        worker.is_some_and(|worker| worker.health.note_failure(now))
    }

    /// Notes that another node has ejected a worker; tells whether it is ejected here now.
    pub fn note_ejection_report(&mut self, id: &str, now: Timestamp, node: NodeId) -> bool {
        let worker = self.workers.get_mut(id).filter(|_| self.policy.ejection);
        worker.is_some_and(|worker| worker.health.note_ejection_report(now, node))
    }
}
