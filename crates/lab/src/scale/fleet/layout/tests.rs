//! Places of hollow nodes.

use super::{Layout, NODES_PER_CELL, ZONES};

#[test]
fn a_node_is_found_by_its_address() {
    let layout = Layout { nodes: 3_200 };
    for node in [0, 1, 255, 256, 3_199] {
        assert_eq!(layout.node_at(layout.address(node)), Some(node));
    }
    assert_eq!(layout.node_at(layout.address(3_200)), None);
}

#[test]
fn a_cell_lies_in_one_zone_and_has_a_name_of_its_own() {
    let layout = Layout { nodes: 3_200 };
    let mut names = std::collections::BTreeSet::new();
    for cell in 0..layout.cells() {
        let first = cell * NODES_PER_CELL;
        let last = first + NODES_PER_CELL - 1;
        assert_eq!(layout.zone(first), layout.zone(last));
        assert!(layout.zone(first) < ZONES);
        assert!(names.insert(layout.cell_name(first)));
    }
}

#[test]
fn distance_shows_in_the_delay() {
    let layout = Layout { nodes: 3_200 };
    let other_zone_same_region = 9 * NODES_PER_CELL;
    let other_region = NODES_PER_CELL;
    assert!(layout.delay(0, 1) < layout.delay(0, other_zone_same_region));
    assert!(layout.delay(0, other_zone_same_region) < layout.delay(0, other_region));
}
