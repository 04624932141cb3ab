//! Detection of departed nodes.

use elderworks_gateway_core::departures::{DEPARTED_AFTER, Departures};
use elderworks_types::{Incarnation, NodeId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn absent(incarnation: u64) -> Vec<(NodeId, Incarnation)> {
    vec![(NodeId::new("n"), Incarnation(incarnation))]
}

#[test]
fn a_node_that_is_absent_for_long_has_departed() {
    let mut departures = Departures::default();
    assert!(departures.update(START, absent(1)).is_empty());
    let almost = START + DEPARTED_AFTER / 2;
    assert!(departures.update(almost, absent(1)).is_empty());
    let departed = departures.update(START + DEPARTED_AFTER, absent(1));
    assert_eq!(departed, [NodeId::new("n")]);
}

#[test]
fn a_node_that_was_present_in_between_has_not_departed() {
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
fn a_new_incarnation_restarts_the_absence() {
    let mut departures = Departures::default();
    departures.update(START, absent(1));
    assert!(
        departures
            .update(START + DEPARTED_AFTER, absent(2))
            .is_empty()
    );
}
