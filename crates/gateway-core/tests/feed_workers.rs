//! Which of thousands of workers a zone uses, and what listeners hear of them.

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
fn small_services_are_used_whole() {
    for engines in [1, 15, 122, 256] {
        assert_eq!(in_use(&mut catalog("a", engines)).len(), engines);
    }
}

/// An idle fleet uses some of its own zone and few elsewhere; two readers of a zone the same ones.
#[test]
fn a_zone_of_an_idle_fleet_uses_few_workers_and_all_readers_the_same() {
    let used = in_use(&mut catalog("a", ENGINES));
    assert_eq!(count_in(&used, "a"), 32);
    for zone in &ZONES[1..] {
        assert_eq!(count_in(&used, zone), 4, "{zone}");
    }
    assert_eq!(in_use(&mut catalog("a", ENGINES)), used);
    // At twice the size no more are used.
    let twice = in_use(&mut catalog("a", 2 * ENGINES));
    assert_eq!(twice.len(), used.len());
}

/// A load that begins at once, as told every 200 ms: the zone never uses less than twice what runs.
#[test]
fn the_workers_in_use_grow_with_the_load_before_it_queues() {
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
    // It shrinks slowly: a lull of some seconds makes no engine forget what it has read.
    let lull = START + Duration::from_secs(18);
    catalog.note_load(lull, "engines", 0, 6);
    catalog.changes(lull, |_| false);
    assert!(catalog.in_use().count() * 10 > busy * 8);
    let night = START + Duration::from_secs(3_600);
    catalog.note_load(night, "engines", 0, 6);
    catalog.changes(night, |_| false);
    assert_eq!(
        catalog.in_use().filter(|record| record.zone == "a").count(),
        32
    );
}

#[test]
fn a_worker_that_leaves_or_goes_is_replaced_and_no_other_one_moves() {
    let mut catalog = catalog("a", ENGINES);
    let before = in_use(&mut catalog);
    let leaving = before
        .iter()
        .find(|(_, zone)| *zone == "a")
        .expect("one")
        .0
        .clone();
    let number: usize = leaving["engine-".len()..].parse().expect("a number");
    catalog.upsert(WorkerRecord {
        draining: true,
        ..record(number)
    });
    let changes = catalog.changes(START, |_| false);
    let told: Vec<&WorkerRecord> = changes
        .iter()
        .filter_map(|change| match change {
            Change::Use(record) => Some(record),
            Change::Drop(_) => None,
        })
        .collect();
    assert_eq!(
        (changes.len(), told.len()),
        (2, 2),
        "its leaving and its replacement"
    );
    assert!(
        told.iter()
            .any(|record| record.id == leaving && record.draining)
    );
    catalog.remove(&leaving);
    assert_eq!(
        catalog.changes(START, |_| false),
        [Change::Drop(leaving.clone())]
    );
    let after: BTreeSet<String> = in_use(&mut catalog).into_keys().collect();
    let kept = before.keys().filter(|id| after.contains(*id)).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn heartbeats_that_say_nothing_new_are_no_news() {
    let mut catalog = catalog("a", ENGINES);
    catalog.changes(START, |_| false);
    for number in 0..ENGINES {
        catalog.upsert(record(number));
    }
    assert_eq!(catalog.changes(START, |_| false), []);
}

#[test]
fn a_zone_that_gets_no_work_or_has_too_few_workers_uses_those_of_others() {
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
fn an_entry_of_an_earlier_start_changes_nothing() {
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

    /// Whatever changes and whenever it asks, a listener knows what the reader uses.
    #[test]
    fn listeners_know_what_the_reader_uses(
        steps in prop::collection::vec((0usize..300, 0u8..4, any::<bool>()), 1..150),
    ) {
        let mut catalog = catalog("a", 300);
        let mut published = PublishedWorkers::default();
        published.take(&catalog.changes(START, |_| false));
        let mut known: BTreeMap<String, WorkerRecord> = BTreeMap::new();
        let mut revision = None;
        for (number, what, asks) in steps {
            match what {
                0 => catalog.upsert(record(number)),
                1 => catalog.upsert(WorkerRecord { draining: true, ..record(number) }),
                2 => catalog.remove(&record(number).id),
                _ => published.clear(),
            }
            if what == 3 {
                catalog.clear();
                catalog.replace_all((0..300).map(record).collect());
            }
            published.take(&catalog.changes(START, |_| false));
            if !asks {
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
