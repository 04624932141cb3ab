//! Keeps the workers known to placement in line with this node's own catalog or with a reader's updates.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use elderworks_gateway_core::feed::catalog::Change;
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::worker_ends::investigation::Fate;
use elderworks_gateway_core::workers::{UpsertOutcome, WorkerRecord};
use elderworks_protocol::feed::WorkersUpdate;
use elderworks_types::Offset;

use crate::clock::millis;
use crate::gateway::Gateway;
use crate::peers;

/// Applies changes of the catalog to placement and to the workers published to listeners. `offset` is
/// that of the last record in the catalog.
pub(crate) fn apply(gateway: &Rc<Gateway>, offset: Offset) {
    let feed = &gateway.feed;
    if !feed.reads() || !feed.is_loaded.get() {
        return;
    }
    feed.workers_offset.set(offset);
    let changes = {
        let evacuations = gateway.evacuations.borrow();
        let mut catalog = feed.catalog.borrow_mut();
        catalog.changes(gateway.now(), |zone| evacuations.is_on(zone))
    };
    feed.published.borrow_mut().take(&changes);
    observe_versions(gateway);
    for change in changes {
        match change {
            Change::Use(record) => upsert(gateway, record, offset),
            Change::Drop(id) => drop_worker(gateway, &id, offset),
        }
    }
}

/// Records which software versions the known workers have.
pub(crate) fn observe_versions(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let feed = &gateway.feed;
    let has_further = {
        let mut workers = gateway.workers.borrow_mut();
        if feed.reads() && feed.is_loaded.get() {
            let catalog = feed.catalog.borrow();
            workers.versions_mut().observe(now, catalog.versions())
        } else {
            let counts = workers.version_counts();
            workers.versions_mut().observe_some(now, &counts)
        }
    };
    if has_further {
        log::info!(lifetime_ms = millis(Some(gateway.stream_lifetime())); "a service has workers of a further software version");
        peers::report_all(gateway);
    }
}

/// Applies a reader's update.
pub(super) fn apply_update(gateway: &Rc<Gateway>, update: WorkersUpdate) {
    if update.is_whole {
        let ids = update.used.iter().map(|record| record.id.clone());
        keep_only(gateway, &ids.collect());
    }
    let offset = update.offset;
    for record in update.used {
        upsert(gateway, record, offset);
    }
    for id in update.dropped {
        drop_worker(gateway, &id, offset);
    }
    observe_versions(gateway);
    upkeep(gateway);
}

/// Restores the workers known to placement from this node's own catalog, after updates of other readers
/// were applied.
pub(super) fn restore(gateway: &Rc<Gateway>) {
    let feed = &gateway.feed;
    if !feed.is_loaded.get() {
        return;
    }
    let offset = feed.workers_offset.get();
    let used: Vec<WorkerRecord> = feed.catalog.borrow().in_use().cloned().collect();
    keep_only(
        gateway,
        &used.iter().map(|record| record.id.clone()).collect(),
    );
    for record in used {
        upsert(gateway, record, offset);
    }
}

/// Marks all workers as missing except those in `ids`.
pub(super) fn keep_only(gateway: &Gateway, ids: &BTreeSet<String>) {
    let now = gateway.now();
    let missing = gateway.workers.borrow_mut().mark_all_missing_but(ids, now);
    for worker in missing {
        log::info!(worker = worker.as_str(); "worker is no longer listed or no longer in use");
    }
}

fn upsert(gateway: &Rc<Gateway>, record: WorkerRecord, offset: Offset) {
    let id = record.id.clone();
    let (service, draining) = (record.service.clone(), record.draining);
    let software = record.software.clone().unwrap_or_default();
    let cold_ms = millis(Some(record.cold_left));
    let now = gateway.now();
    let taken = gateway.workers.borrow_mut().upsert(record, now);
    if taken == UpsertOutcome::Restarted {
        gateway.pool.discard_connections(&id);
        note_restart(gateway, &id);
    }
    if taken == UpsertOutcome::Changed {
        let key = WorkerKey::of(&id);
        gateway.requests.ends.borrow_mut().note_back(key);
    }
    if matches!(taken, UpsertOutcome::Changed | UpsertOutcome::Restarted) {
        log::info!(
            worker = id.as_str(), service = service.as_str(), software = software.as_str(), draining = draining,
            cold_ms = cold_ms, has_restarted = taken == UpsertOutcome::Restarted, offset = offset.0;
            "worker changed"
        );
    }
}

/// Records that a worker's process has ended and another one of its id has started.
fn note_restart(gateway: &Rc<Gateway>, id: &str) {
    let key = WorkerKey::of(id);
    let may_have_ended = gateway.requests.ends.borrow().may_have_ended(key);
    if may_have_ended {
        peers::settle(gateway, id, Fate::Restarted);
    }
}

fn drop_worker(gateway: &Gateway, id: &str, offset: Offset) {
    let now = gateway.now();
    if gateway.workers.borrow_mut().mark_missing(id, now) {
        log::info!(worker = id, offset = offset.0; "worker was removed or is no longer in use");
    }
}

/// Forgets workers that have been missing for long, and closes expired connections.
pub(crate) fn upkeep(gateway: &Gateway) {
    let now = gateway.now();
    let forgotten = gateway.workers.borrow_mut().forget_missing(now);
    for worker in forgotten {
        gateway.pool.discard_connections(&worker);
    }
    gateway.pool.close_expired();
    gateway.update_serving_nodes();
    let count = i64::try_from(gateway.workers.borrow().len()).unwrap_or(i64::MAX);
    gateway.metrics.workers.set(count);
}

/// Adapts the number of workers in use to the load of the zone, if this node is a reader.
pub(super) fn adapt_to_load(gateway: &Rc<Gateway>) {
    let feed = &gateway.feed;
    if !feed.reads() {
        return;
    }
    let now = gateway.now();
    let zone = gateway.settings.zone.as_str();
    let mut loads: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    {
        let workers = gateway.workers.borrow();
        for worker in workers.iter().filter(|worker| worker.record.zone == zone) {
            let (running, slots) = loads.entry(worker.record.service.clone()).or_default();
            *running += workers.load(worker);
            *slots = (*slots).max(worker.record.slots);
        }
    }
    {
        let mut catalog = feed.catalog.borrow_mut();
        for (service, (running, slots)) in &loads {
            catalog.note_load(now, service, *running, *slots);
        }
    }
    apply(gateway, feed.workers_offset.get());
}
