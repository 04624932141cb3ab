//! Zones that get no work: which wish holds, and what placement makes of it.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::evacuations::{EvacuationOrder, Evacuations};
use elderworks_gateway_core::workers::WorkerDirectory;
use elderworks_types::{Offset, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn wish(offset: u64, is_on: bool) -> EvacuationOrder {
    EvacuationOrder {
        offset: Offset(offset),
        is_on,
    }
}

#[test]
fn the_latest_wish_holds_in_whatever_order_wishes_arrive() {
    let wishes = [
        wish(4, true),
        wish(7, false),
        wish(9, true),
        wish(12, false),
    ];
    for first in 0..wishes.len() {
        let mut evacuations = Evacuations::default();
        let arriving = wishes[first..].iter().chain(&wishes[..first]);
        for wish in arriving {
            evacuations.note("a", *wish);
        }
        assert!(!evacuations.is_on("a"), "from the {first}th on");
    }
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.note("a", wish(3, false)), "nothing was wanted");
    assert!(evacuations.note("a", wish(9, true)));
    assert!(!evacuations.note("a", wish(7, false)), "too late");
    assert!(!evacuations.note("a", wish(9, true)), "known");
    assert!(evacuations.is_on("a") && !evacuations.is_on("b"));
}

#[test]
fn a_reading_of_all_records_lifts_what_is_no_longer_listed() {
    let mut evacuations = Evacuations::default();
    evacuations.note("dropped", wish(3, true));
    evacuations.note("kept", wish(4, true));
    evacuations.note("newer", wish(12, true));
    let lifted = evacuations.lift_unlisted(&BTreeSet::from(["kept"]), Offset(10));
    assert_eq!(lifted, ["dropped"]);
    let zones: Vec<&str> = evacuations.zones().collect();
    assert_eq!(zones, ["kept", "newer"], "a wish behind the reading stands");
    assert!(!evacuations.note("dropped", wish(3, true)), "it is over");
}

#[test]
fn wishes_for_any_number_of_zones_take_bounded_memory() {
    let mut evacuations = Evacuations::default();
    for number in 0..10_000 {
        evacuations.note(&format!("zone-{number}"), wish(number * 2, true));
        evacuations.note(&format!("zone-{number}"), wish(number * 2 + 1, false));
    }
    assert!(evacuations.orders().count() <= 256);
    assert!(
        evacuations.note("a", wish(30_000, true)),
        "one more is taken"
    );
}

fn query<'a>(key: &'a str, tried: &'a [String]) -> PlacementQuery<'a> {
    PlacementQuery {
        service: "engines",
        key: Some(key),
        zone: "a",
        repeatable: true,
        tried,
        turn: None,
        seed: 1,
        is_connected: &|_| false,
    }
}

/// Zones of the workers that many programs meet.
fn zones_met(workers: &WorkerDirectory) -> BTreeSet<String> {
    let programs = (0..200).map(|number| format!("program-{number}"));
    let met = programs.filter_map(|program| {
        let worker = choose(workers, &query(&program, &[]), START)?;
        Some(worker.record.zone.clone())
    });
    met.collect()
}

#[test]
fn a_zone_that_is_emptied_gets_nothing_also_as_a_last_resort() {
    let mut workers = WorkerDirectory::default();
    for id in ["a1", "a2", "b1"] {
        workers.upsert(common::engine(id, &id[..1]), START);
    }
    workers.close_zones(["a"].into_iter(), START);
    assert_eq!(zones_met(&workers), BTreeSet::from(["b".to_owned()]));
    // All that is left is in the closed zone, or has just gone from the list there.
    workers.mark_missing("b1", START);
    workers.forget_missing(START + Duration::from_secs(2));
    workers.mark_missing("a1", START);
    assert_eq!(zones_met(&workers), BTreeSet::new());
    workers.close_zones(std::iter::empty(), START);
    assert_eq!(zones_met(&workers), BTreeSet::from(["a".to_owned()]));
}

#[test]
fn a_request_that_failed_elsewhere_does_not_go_to_a_zone_that_is_emptied() {
    let mut workers = WorkerDirectory::default();
    workers.upsert(common::engine("a1", "a"), START);
    workers.upsert(common::engine("b1", "b"), START);
    workers.close_zones(["a"].into_iter(), START);
    let tried = ["b1".to_owned()];
    let again = choose(&workers, &query("p", &tried), START);
    assert_eq!(again.map(|worker| worker.record.id.as_str()), Some("b1"));
}
