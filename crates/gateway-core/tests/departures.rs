//! Nodes that are gone for good.

use elderworks_gateway_core::departures::{DEPARTED_AFTER, Departures};
use elderworks_types::{Incarnation, NodeId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn absent(incarnation: u64) -> Vec<(NodeId, Incarnation)> {
    vec![(NodeId::new("n"), Incarnation(incarnation))]
}

#[test]
fn a_node_absent_for_long_has_departed() {
    let mut departures = Departures::default();
    assert!(departures.update(START, absent(1)).is_empty());
    let almost = START + DEPARTED_AFTER / 2;
    assert!(departures.update(almost, absent(1)).is_empty());
    let departed = departures.update(START + DEPARTED_AFTER, absent(1));
    assert_eq!(departed, [NodeId::new("n")]);
}

#[test]
fn a_node_that_was_back_meanwhile_has_not() {
    let mut departures = Departures::default();
    departures.update(START, absent(1));
    departures.update(START + DEPARTED_AFTER / 2, Vec::new());
    assert!(
        departures
            .update(START + DEPARTED_AFTER, absent(1))
            .is_empty()
    );
}

#[test]
fn a_new_entry_begins_a_new_absence() {
    let mut departures = Departures::default();
    departures.update(START, absent(1));
    assert!(
        departures
            .update(START + DEPARTED_AFTER, absent(2))
            .is_empty()
    );
}
