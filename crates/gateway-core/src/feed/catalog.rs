//! Every worker there is, and which of them a zone uses (deterministic subsetting).
//!
//! A fleet whose workers have little to do must not spread it over all of them: each engine that a
//! prompt meets reads its shared parts anew, and each pair of node and worker needs a connection of
//! its own. So a zone uses as many workers of a service as its load asks for, three times over, and
//! never few; which ones follows from their ids alone, so that all nodes use the same and a change of
//! one moves no other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::workers::WorkerRecord;

/// Workers of a service up to which all are used: a decision among so many takes some ten
/// microseconds, and their entries fit into one page of the log's.
const MOST_UNSORTED: usize = 256;

/// Fewest workers of the own zone that are used of a larger service. A load that begins at once finds
/// room for what thirty-two run, until the number follows it within a few hundred milliseconds.
const FEWEST_USED: usize = 32;

/// Workers of each other zone that are used beside them, when all of the own zone fail or are full.
const SPARE_ELSEWHERE: usize = 4;

/// Slots in use for each request under way: a burst of twice the load and the loss of a third of the
/// workers at the same moment still queue nothing.
const SLOTS_FOR_EACH: f64 = 3.0;

/// Time in which a past load comes to ask for half as many workers: a lull of some seconds does not
/// make engines forget prompts.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Part of the workers in use that must be wanted no more before any is dropped: a load that swings a
/// little moves none.
const SHRINKING_SHARE: f64 = 0.2;

/// A change of the workers in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A worker is used, or its entry has changed.
    Use(WorkerRecord),
    /// A worker is not used any more, or is gone.
    Drop(String),
}

/// Every worker, and those that one zone uses.
#[derive(Clone, Debug)]
pub struct WorkerCatalog {
    zone: String,
    workers: BTreeMap<String, WorkerRecord>,
    in_use: BTreeSet<String>,
    loads: BTreeMap<String, Load>,
    /// How many workers of the own zone were sought when those in use were chosen.
    sought: BTreeMap<String, usize>,
    /// Workers in use whose entries have changed since they were told.
    news: BTreeSet<String>,
    /// Whether what is in use must be worked out anew.
    is_stale: bool,
}

/// What a service's load has asked for.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Workers wanted at `at`.
    wanted: f64,
    at: Timestamp,
}

impl WorkerCatalog {
    /// Knows no worker yet.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            workers: BTreeMap::new(),
            in_use: BTreeSet::new(),
            loads: BTreeMap::new(),
            sought: BTreeMap::new(),
            news: BTreeSet::new(),
            is_stale: false,
        }
    }

    /// Knows no worker any more.
    pub fn clear(&mut self) {
        *self = Self::new(&self.zone);
    }

    /// How many workers there are.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Takes a worker's entry; one of an earlier start of it than the known one changes nothing.
    pub fn upsert(&mut self, record: WorkerRecord) {
        let known = self.workers.get(&record.id);
        if known.is_some_and(|known| known.born > record.born) {
            return;
        }
        let is_same = known.is_some_and(|known| *known == record);
        let is_move = known.is_none_or(|known| {
            known.draining != record.draining
                || known.zone != record.zone
                || known.service != record.service
        });
        if !is_same && self.in_use.contains(&record.id) {
            self.news.insert(record.id.clone());
        }
        self.is_stale |= is_move;
        self.workers.insert(record.id.clone(), record);
    }

    /// A worker's entry is gone, or names no worker any more.
    pub fn remove(&mut self, id: &str) {
        self.is_stale |= self.workers.remove(id).is_some();
    }

    /// Takes every entry there is in place of what was known.
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

    /// Takes how many requests run at the workers in use of a service, each of which has so many
    /// slots.
    pub fn note_load(&mut self, now: Timestamp, service: &str, running: u32, slots: u32) {
        let asked = f64::from(running) * SLOTS_FOR_EACH / f64::from(slots.max(1));
        let load = Load {
            wanted: asked.max(self.load_left(service, now)),
            at: now,
        };
        self.loads.insert(service.to_owned(), load);
        let wanted = self.wanted(service, now);
        let sought = self.sought.get(service).copied().unwrap_or(FEWEST_USED);
        let is_less = (wanted as f64) < sought as f64 * (1.0 - SHRINKING_SHARE);
        self.is_stale |= wanted > sought || is_less;
    }

    fn load_left(&self, service: &str, now: Timestamp) -> f64 {
        self.loads.get(service).map_or(0.0, |load| {
            let age = now.since(load.at).as_secs_f64();
            load.wanted * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
        })
    }

    /// How many workers of the own zone are to be used.
    fn wanted(&self, service: &str, now: Timestamp) -> usize {
        let wanted = self.load_left(service, now).ceil() as usize;
        wanted.max(FEWEST_USED)
    }

    /// Tells what has changed of the workers in use, given the zones that get no work.
    pub fn changes(&mut self, now: Timestamp, is_closed: impl Fn(&str) -> bool) -> Vec<Change> {
        let mut used = std::mem::take(&mut self.news);
        let mut dropped = Vec::new();
        if std::mem::take(&mut self.is_stale) {
            let in_use = self.choose(now, is_closed);
            let services = self.loads.keys();
            let sought = services.map(|service| (service.clone(), self.wanted(service, now)));
            self.sought = sought.collect();
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

    /// Zones that get no work have changed.
    pub fn note_zones(&mut self) {
        self.is_stale = true;
    }

    /// The workers in use, each with its entry.
    pub fn in_use(&self) -> impl Iterator<Item = &WorkerRecord> {
        self.in_use.iter().filter_map(|id| self.workers.get(id))
    }

    fn choose(&self, now: Timestamp, is_closed: impl Fn(&str) -> bool) -> BTreeSet<String> {
        let mut services: BTreeMap<&str, Vec<&WorkerRecord>> = BTreeMap::new();
        for record in self.workers.values() {
            services.entry(&record.service).or_default().push(record);
        }
        let mut in_use = BTreeSet::new();
        for (service, records) in services {
            if records.len() <= MOST_UNSORTED {
                in_use.extend(records.into_iter().map(|record| record.id.clone()));
                continue;
            }
            // Those that leave stay in use while they are listed: who knows them must hear that
            // they leave.
            let leaving = records.iter().filter(|record| record.draining);
            let leaving = leaving.filter(|record| self.in_use.contains(&record.id));
            in_use.extend(leaving.map(|record| record.id.clone()));
            let open = |record: &&&WorkerRecord| !record.draining && !is_closed(&record.zone);
            let open: Vec<&WorkerRecord> = records.iter().filter(open).copied().collect();
            let wanted = self.wanted(service, now);
            in_use.extend(self.choose_of_service(&open, wanted));
        }
        in_use
    }

    /// The first of the own zone and some of every other one; more of those where the own zone has
    /// too few.
    fn choose_of_service(&self, open: &[&WorkerRecord], wanted: usize) -> Vec<String> {
        let mut zones: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
        for record in open {
            let place = (place(&record.id), record.id.as_str());
            zones.entry(&record.zone).or_default().push(place);
        }
        for places in zones.values_mut() {
            places.sort_unstable();
        }
        let near = zones.remove(self.zone.as_str()).unwrap_or_default();
        let missing = wanted.saturating_sub(near.len());
        let elsewhere = SPARE_ELSEWHERE.max(missing.div_ceil(zones.len().max(1)));
        let far = zones
            .into_values()
            .flat_map(|places| places.into_iter().take(elsewhere));
        let chosen = near.into_iter().take(wanted).chain(far);
        chosen.map(|(_, id)| id.to_owned()).collect()
    }
}

/// Place of a worker in its zone's order.
fn place(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}
