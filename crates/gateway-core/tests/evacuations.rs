//! Evacuation of zones: precedence of the operator's orders and their effect on placement.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::evacuations::{EvacuationOrder, Evacuations};
use elderworks_gateway_core::stream_versions::VersionRule;
use elderworks_gateway_core::workers::WorkerDirectory;
use elderworks_types::{Offset, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn order(offset: u64, is_on: bool) -> EvacuationOrder {
    EvacuationOrder {
        offset: Offset(offset),
        is_on,
    }
}

#[test]
fn the_latest_order_applies_in_any_order_of_arrival() {
    let orders = [
        order(4, true),
        order(7, false),
        order(9, true),
        order(12, false),
    ];
    for first in 0..orders.len() {
        let mut evacuations = Evacuations::default();
        let arrivals = orders[first..].iter().chain(&orders[..first]);
        for order in arrivals {
            evacuations.note("a", *order);
        }
        assert!(!evacuations.is_on("a"), "starting with order {first}");
    }
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.note("a", order(3, false)), "not evacuated");
    assert!(evacuations.note("a", order(9, true)));
    assert!(!evacuations.note("a", order(7, false)), "outdated");
    assert!(!evacuations.note("a", order(9, true)), "known");
    assert!(evacuations.is_on("a") && !evacuations.is_on("b"));
}

#[test]
fn a_complete_reading_ends_evacuations_that_are_not_listed() {
    let mut evacuations = Evacuations::default();
    evacuations.note("dropped", order(3, true));
    evacuations.note("kept", order(4, true));
    evacuations.note("newer", order(12, true));
    let lifted = evacuations.lift_unlisted(&BTreeSet::from(["kept"]), Offset(10));
    assert_eq!(lifted, ["dropped"]);
    let zones: Vec<&str> = evacuations.zones().collect();
    assert_eq!(zones, ["kept", "newer"], "a newer order still applies");
    assert!(!evacuations.note("dropped", order(3, true)), "outdated");
}

#[test]
fn the_number_of_zones_is_bounded() {
    let mut evacuations = Evacuations::default();
    for number in 0..10_000 {
        evacuations.note(&format!("zone-{number}"), order(number * 2, true));
        evacuations.note(&format!("zone-{number}"), order(number * 2 + 1, false));
    }
    assert!(evacuations.orders().count() <= 256);
    assert!(
        evacuations.note("a", order(30_000, true)),
        "a further zone is accepted"
    );
}

fn query<'a>(key: &'a str, tried: &'a [String]) -> PlacementQuery<'a> {
    PlacementQuery {
        service: "engines",
        key: Some(key),
        zone: "a",
        repeatable: true,
        tried,
        versions: VersionRule::Any,
        turn: None,
        seed: 1,
        is_connected: &|_| false,
    }
}

/// Returns the zones of the workers that 200 programs use.
fn chosen_zones(workers: &WorkerDirectory) -> BTreeSet<String> {
    let programs = (0..200).map(|number| format!("program-{number}"));
    let chosen = programs.filter_map(|program| {
        let worker = choose(workers, &query(&program, &[]), START)?;
        Some(worker.record.zone.clone())
    });
    chosen.collect()
}

#[test]
fn an_evacuated_zone_is_not_used_even_as_a_last_resort() {
    let mut workers = WorkerDirectory::default();
    for id in ["a1", "a2", "b1"] {
        workers.upsert(common::engine(id, &id[..1]), START);
    }
    workers.close_zones(["a"].into_iter(), START);
    assert_eq!(chosen_zones(&workers), BTreeSet::from(["b".to_owned()]));
    // Only workers of the closed zone are left, and one of them is missing.
    workers.mark_missing("b1", START);
    workers.forget_missing(START + Duration::from_secs(2));
    workers.mark_missing("a1", START);
    assert_eq!(chosen_zones(&workers), BTreeSet::new());
    workers.close_zones(std::iter::empty(), START);
    assert_eq!(chosen_zones(&workers), BTreeSet::from(["a".to_owned()]));
}

#[test]
fn retries_do_not_use_an_evacuated_zone() {
    let mut workers = WorkerDirectory::default();
    workers.upsert(common::engine("a1", "a"), START);
    workers.upsert(common::engine("b1", "b"), START);
    workers.close_zones(["a"].into_iter(), START);
    let tried = ["b1".to_owned()];
    let again = choose(&workers, &query("p", &tried), START);
    assert_eq!(again.map(|worker| worker.record.id.as_str()), Some("b1"));
}
