//! Catalog of all workers, and selection of the subset that a zone uses (deterministic subsetting).
//!
//! Spreading a small load over all workers is wasteful: every engine must process shared prompt
//! prefixes again, and every pair of node and worker needs a connection. A zone therefore uses
//! three times the workers that its load requires, with a lower bound. The selection depends only
//! on the workers' IDs, so all nodes select the same subset and a change of one worker does not
//! affect others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::stream_versions::SoftwareVersion;
use crate::stream_versions::history::VersionCounts;
use crate::workers::WorkerRecord;

/// Maximum number of workers of a service for which all are used. Choosing among this many takes
/// about ten microseconds, and their entries fit into one page of the log.
const MAX_UNFILTERED: usize = 256;

/// Minimum number of workers of the own zone that are used of a larger service. They absorb a
/// sudden load until the subset has grown, which takes a few hundred milliseconds.
const MIN_OWN_ZONE_WORKERS: usize = 32;

/// Minimum number of workers of each other zone in the subset, used when all of the own zone fail
/// or are full.
const MIN_OTHER_ZONE_WORKERS: usize = 4;

/// Slots of the subset per running request. With three, no request queues even if the load doubles
/// while a third of the workers fail.
const SLOTS_PER_REQUEST: f64 = 3.0;

/// Half-life of the demand for workers, so that a lull of some seconds does not shrink the subset
/// and lose cached prompts.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Fraction by which the demand must fall below the current subset before any worker is removed, so
/// that small fluctuations have no effect.
const SHRINK_FRACTION: f64 = 0.2;

/// Change of the workers in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A worker was added, or its entry has changed.
    Use(WorkerRecord),
    /// A worker was removed.
    Drop(String),
}

/// All known workers, and the subset that one zone uses.
#[derive(Clone, Debug)]
pub struct WorkerCatalog {
    zone: String,
    workers: BTreeMap<String, WorkerRecord>,
    in_use: BTreeSet<String>,
    /// Demand for workers of each service.
    demands: BTreeMap<String, Demand>,
    /// Target number of workers of the own zone at the last selection, for each service.
    targets: BTreeMap<String, usize>,
    /// Workers in use whose entries have changed since the last call of [`Self::changes`].
    changed: BTreeSet<String>,
    /// Whether the subset must be selected again.
    is_stale: bool,
    /// Number of workers by service and software version.
    versions: VersionCounts,
}

/// Demand for workers of a service, which decays over time.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Demand in workers at time `at`.
    wanted: f64,
    at: Timestamp,
}

impl WorkerCatalog {
    /// Creates an empty catalog for a zone.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            workers: BTreeMap::new(),
            in_use: BTreeSet::new(),
            demands: BTreeMap::new(),
            targets: BTreeMap::new(),
            changed: BTreeSet::new(),
            is_stale: false,
            versions: VersionCounts::new(),
        }
    }

    /// Removes all workers.
    pub fn clear(&mut self) {
        *self = Self::new(&self.zone);
    }

    /// Returns the number of known workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Inserts or replaces a worker's entry. Ignores entries of an earlier start of the worker.
    pub fn upsert(&mut self, record: WorkerRecord) {
        let known = self.workers.get(&record.id);
        if known.is_some_and(|known| known.born > record.born) {
            return;
        }
        let is_same = known.is_some_and(|known| *known == record);
        let affects_selection = known.is_none_or(|known| {
            known.draining != record.draining
                || known.zone != record.zone
                || known.service != record.service
        });
        if !is_same && self.in_use.contains(&record.id) {
            self.changed.insert(record.id.clone());
        }
        self.is_stale |= affects_selection;
        self.count(&record);
        let replaced = self.workers.insert(record.id.clone(), record);
        if let Some(replaced) = replaced {
            self.uncount(&replaced);
        }
    }

    /// Returns the number of workers by service and software version.
    pub fn versions(&self) -> &VersionCounts {
        &self.versions
    }

    fn count(&mut self, record: &WorkerRecord) {
        let versions = self.versions.entry(record.service.clone()).or_default();
        *versions.entry(software_of(record)).or_default() += 1;
    }

    fn uncount(&mut self, record: &WorkerRecord) {
        let Some(versions) = self.versions.get_mut(&record.service) else {
            return;
        };
        if let Some(count) = versions.get_mut(&software_of(record)) {
            *count = count.saturating_sub(1);
        }
        versions.retain(|_, count| *count > 0);
    }

    /// Removes a worker whose entry was deleted or became invalid.
    pub fn remove(&mut self, id: &str) {
        let removed = self.workers.remove(id);
        self.is_stale |= removed.is_some();
        if let Some(removed) = removed {
            self.uncount(&removed);
        }
    }

    /// Replaces all entries.
    pub fn replace_all(&mut self, records: Vec<WorkerRecord>) {
        let listed: BTreeSet<&String> = records.iter().map(|record| &record.id).collect();
        let gone: Vec<String> = self
            .workers
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id);
        }
        for record in records {
            self.upsert(record);
        }
        self.is_stale = true;
    }

    /// Records the number of requests running at a service's workers in use, which have `slots`
    /// slots each.
    pub fn note_load(&mut self, now: Timestamp, service: &str, running: u32, slots: u32) {
        let asked = f64::from(running) * SLOTS_PER_REQUEST / f64::from(slots.max(1));
        let demand = Demand {
            wanted: asked.max(self.decayed_demand(service, now)),
            at: now,
        };
        self.demands.insert(service.to_owned(), demand);
        let wanted = self.wanted(service, now);
        let target = self
            .targets
            .get(service)
            .copied()
            .unwrap_or(MIN_OWN_ZONE_WORKERS);
        let is_less = (wanted as f64) < target as f64 * (1.0 - SHRINK_FRACTION);
        self.is_stale |= wanted > target || is_less;
    }

    /// Returns the decayed demand in workers.
    fn decayed_demand(&self, service: &str, now: Timestamp) -> f64 {
        self.demands.get(service).map_or(0.0, |demand| {
            let age = now.since(demand.at).as_secs_f64();
            demand.wanted * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
        })
    }

    /// Returns the target number of workers of the own zone.
    fn wanted(&self, service: &str, now: Timestamp) -> usize {
        let wanted = self.decayed_demand(service, now).ceil() as usize;
        wanted.max(MIN_OWN_ZONE_WORKERS)
    }

    /// Returns the changes of the workers in use since the last call. Zones for which `is_closed`
    /// holds receive no requests.
    pub fn changes(&mut self, now: Timestamp, is_closed: impl Fn(&str) -> bool) -> Vec<Change> {
        let mut used = std::mem::take(&mut self.changed);
        let mut dropped = Vec::new();
        if std::mem::take(&mut self.is_stale) {
            let in_use = self.choose(now, is_closed);
            let services = self.demands.keys();
            let targets = services.map(|service| (service.clone(), self.wanted(service, now)));
            self.targets = targets.collect();
            used.extend(in_use.difference(&self.in_use).cloned());
            dropped.extend(self.in_use.difference(&in_use).cloned());
            self.in_use = in_use;
        }
        let uses = used.iter().filter(|id| self.in_use.contains(*id));
        let uses = uses.filter_map(|id| self.workers.get(id).cloned());
        let uses: Vec<Change> = uses.map(Change::Use).collect();
        let drops = dropped.into_iter().map(Change::Drop);
        uses.into_iter().chain(drops).collect()
    }

    /// Records that the set of closed zones has changed.
    pub fn note_zones(&mut self) {
        self.is_stale = true;
    }

    /// Returns the entries of the workers in use.
    pub fn in_use(&self) -> impl Iterator<Item = &WorkerRecord> {
        self.in_use.iter().filter_map(|id| self.workers.get(id))
    }

    /// Selects the workers in use of all services.
    fn choose(&self, now: Timestamp, is_closed: impl Fn(&str) -> bool) -> BTreeSet<String> {
        let mut services: BTreeMap<&str, Vec<&WorkerRecord>> = BTreeMap::new();
        for record in self.workers.values() {
            services.entry(&record.service).or_default().push(record);
        }
        let mut in_use = BTreeSet::new();
        for (service, records) in services {
            if records.len() <= MAX_UNFILTERED {
                in_use.extend(records.into_iter().map(|record| record.id.clone()));
                continue;
            }
            // Draining workers stay in use while they are listed, so that listeners are notified of
            // the drain.
            let draining = records.iter().filter(|record| record.draining);
            let draining = draining.filter(|record| self.in_use.contains(&record.id));
            in_use.extend(draining.map(|record| record.id.clone()));
            let open = |record: &&&WorkerRecord| !record.draining && !is_closed(&record.zone);
            let open: Vec<&WorkerRecord> = records.iter().filter(open).copied().collect();
            let wanted = self.wanted(service, now);
            in_use.extend(self.choose_workers(&open, wanted));
        }
        in_use
    }

    /// Selects `wanted` workers of the own zone and some of each other zone. If the own zone has
    /// too few, the other zones make up for them.
    fn choose_workers(&self, open: &[&WorkerRecord], wanted: usize) -> Vec<String> {
        let mut zones: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
        for record in open {
            let place = (place(&record.id), record.id.as_str());
            zones.entry(&record.zone).or_default().push(place);
        }
        for places in zones.values_mut() {
            places.sort_unstable();
        }
        let own_zone = zones.remove(self.zone.as_str()).unwrap_or_default();
        let missing = wanted.saturating_sub(own_zone.len());
        let per_other_zone = MIN_OTHER_ZONE_WORKERS.max(missing.div_ceil(zones.len().max(1)));
        let other_zones = zones
            .into_values()
            .flat_map(|places| places.into_iter().take(per_other_zone));
        let chosen = own_zone.into_iter().take(wanted).chain(other_zones);
        chosen.map(|(_, id)| id.to_owned()).collect()
    }
}

fn software_of(record: &WorkerRecord) -> Option<SoftwareVersion> {
    record.software.as_deref().map(SoftwareVersion::of)
}

/// Returns the position of a worker in its zone's order, derived from its ID.
fn place(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}
