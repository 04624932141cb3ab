//! Tests which of thousands of workers a zone uses, and the updates that listeners receive.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_gateway_core::feed::catalog::{Change, WorkerCatalog};
use elderworks_gateway_core::feed::published::PublishedWorkers;
use elderworks_gateway_core::workers::WorkerRecord;
use elderworks_types::{Offset, Timestamp};
use proptest::prelude::*;

const START: Timestamp = Timestamp(1_000_000);
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const ENGINES: usize = 8_714;

fn record(number: usize) -> WorkerRecord {
    WorkerRecord {
        slots: 6,
        born: 1,
        ..common::engine(&format!("engine-{number}"), ZONES[number % ZONES.len()])
    }
}

fn catalog(zone: &str, engines: usize) -> WorkerCatalog {
    let mut catalog = WorkerCatalog::new(zone);
    catalog.replace_all((0..engines).map(record).collect());
    catalog
}

fn in_use(catalog: &mut WorkerCatalog) -> BTreeMap<String, String> {
    catalog.changes(START, |_| false);
    let used = catalog.in_use();
    used.map(|record| (record.id.clone(), record.zone.clone()))
        .collect()
}

fn count_in(used: &BTreeMap<String, String>, zone: &str) -> usize {
    used.values().filter(|known| *known == zone).count()
}

#[test]
fn small_services_are_used_completely() {
    for engines in [1, 15, 122, 256] {
        assert_eq!(in_use(&mut catalog("a", engines)).len(), engines);
    }
}

/// Checks that the subset of an idle fleet is small, mostly in the own zone, and the same for all
/// readers of the zone.
#[test]
fn readers_of_an_idle_fleet_select_the_same_small_subset() {
    let used = in_use(&mut catalog("a", ENGINES));
    assert_eq!(count_in(&used, "a"), 32);
    for zone in &ZONES[1..] {
        assert_eq!(count_in(&used, zone), 4, "{zone}");
    }
    assert_eq!(in_use(&mut catalog("a", ENGINES)), used);
    // A fleet of twice the size does not use more workers.
    let twice = in_use(&mut catalog("a", 2 * ENGINES));
    assert_eq!(twice.len(), used.len());
}

/// Guards against queueing while the load rises quickly: with reports every 200 ms, the subset
/// always has at least three slots per running request.
#[test]
fn the_subset_grows_with_the_load_before_requests_queue() {
    let mut catalog = catalog("a", ENGINES);
    catalog.changes(START, |_| false);
    for step in 0..40_u32 {
        let now = START + Duration::from_millis(200) * step;
        let running = 60 * step.min(20);
        catalog.note_load(now, "engines", running, 6);
        catalog.changes(now, |_| false);
        let used = catalog.in_use().filter(|record| record.zone == "a").count();
        let slots = 6 * u32::try_from(used).expect("a small number");
        assert!(
            slots >= 3 * running,
            "step {step}: {used} workers for {running} requests"
        );
    }
    let busy = catalog.in_use().count();
    // The subset shrinks slowly, so that engines keep their cached prompts over a lull.
    let lull = START + Duration::from_secs(18);
    catalog.note_load(lull, "engines", 0, 6);
    catalog.changes(lull, |_| false);
    assert!(catalog.in_use().count() * 10 > busy * 8);
    let later = START + Duration::from_secs(3_600);
    catalog.note_load(later, "engines", 0, 6);
    catalog.changes(later, |_| false);
    assert_eq!(
        catalog.in_use().filter(|record| record.zone == "a").count(),
        32
    );
}

#[test]
fn replacing_a_worker_does_not_affect_others() {
    let mut catalog = catalog("a", ENGINES);
    let before = in_use(&mut catalog);
    let drained = before
        .iter()
        .find(|(_, zone)| *zone == "a")
        .expect("one")
        .0
        .clone();
    let number: usize = drained["engine-".len()..].parse().expect("a number");
    catalog.upsert(WorkerRecord {
        draining: true,
        ..record(number)
    });
    let changes = catalog.changes(START, |_| false);
    let uses: Vec<&WorkerRecord> = changes
        .iter()
        .filter_map(|change| match change {
            Change::Use(record) => Some(record),
            Change::Drop(_) => None,
        })
        .collect();
    assert_eq!(
        (changes.len(), uses.len()),
        (2, 2),
        "the drain and the replacement"
    );
    assert!(
        uses.iter()
            .any(|record| record.id == drained && record.draining)
    );
    catalog.remove(&drained);
    assert_eq!(
        catalog.changes(START, |_| false),
        [Change::Drop(drained.clone())]
    );
    let after: BTreeSet<String> = in_use(&mut catalog).into_keys().collect();
    let kept = before.keys().filter(|id| after.contains(*id)).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn unchanged_entries_cause_no_changes() {
    let mut catalog = catalog("a", ENGINES);
    catalog.changes(START, |_| false);
    for number in 0..ENGINES {
        catalog.upsert(record(number));
    }
    assert_eq!(catalog.changes(START, |_| false), []);
}

#[test]
fn a_closed_zone_is_replaced_by_workers_of_others() {
    let mut catalog = catalog("a", ENGINES);
    catalog.changes(START, |_| false);
    catalog.note_zones();
    catalog.changes(START, |zone| zone == "a");
    let used: Vec<&WorkerRecord> = catalog.in_use().collect();
    assert!(used.iter().all(|record| record.zone != "a"));
    assert!(used.len() >= 32);
    catalog.note_zones();
    catalog.changes(START, |_| false);
    assert_eq!(
        catalog.in_use().filter(|record| record.zone == "a").count(),
        32
    );
}

#[test]
fn entries_of_earlier_starts_are_ignored() {
    let mut catalog = catalog("a", 10);
    catalog.changes(START, |_| false);
    catalog.upsert(WorkerRecord {
        born: 5,
        ..record(3)
    });
    assert_eq!(catalog.changes(START, |_| false).len(), 1);
    catalog.upsert(WorkerRecord {
        born: 4,
        draining: true,
        ..record(3)
    });
    assert_eq!(catalog.changes(START, |_| false), []);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// A listener's state equals the reader's after any sequence of changes and updates.
    #[test]
    fn listeners_know_the_workers_in_use(
        steps in prop::collection::vec((0usize..300, 0u8..4, any::<bool>()), 1..150),
    ) {
        let mut catalog = catalog("a", 300);
        let mut published = PublishedWorkers::default();
        published.take(&catalog.changes(START, |_| false));
        let mut known: BTreeMap<String, WorkerRecord> = BTreeMap::new();
        let mut revision = None;
        for (number, operation, requests_update) in steps {
            match operation {
                0 => catalog.upsert(record(number)),
                1 => catalog.upsert(WorkerRecord { draining: true, ..record(number) }),
                2 => catalog.remove(&record(number).id),
                _ => published.clear(),
            }
            if operation == 3 {
                catalog.clear();
                catalog.replace_all((0..300).map(record).collect());
            }
            published.take(&catalog.changes(START, |_| false));
            if !requests_update {
                continue;
            }
            let update = published.since(revision, Offset(0));
            if update.is_whole {
                known.clear();
            }
            known.extend(update.used.into_iter().map(|record| (record.id.clone(), record)));
            for id in &update.dropped {
                known.remove(id);
            }
            revision = Some(update.revision);
            let used: BTreeMap<String, WorkerRecord> = catalog
                .in_use()
                .map(|record| (record.id.clone(), record.clone()))
                .collect();
            prop_assert_eq!(&known, &used);
        }
    }
}
