//! Table tests of the nodes offered to callers.

use std::net::SocketAddr;

use elderworks_gateway_core::nodes::{NodeDirectory, NodeRecord};
use elderworks_types::{Incarnation, NodeId};

/// Name, zone and capacity (in thousandths of a core) of a node.
type Node = (&'static str, &'static str, u32);

const LARGE: u32 = 500;
const SMALL: u32 = 120;

fn directory(nodes: &[Node]) -> NodeDirectory {
    let mut directory = NodeDirectory::default();
    for (number, (name, zone, millicores)) in nodes.iter().enumerate() {
        let record = NodeRecord {
            callers_address: address(number),
            peer_address: address(number),
            zone: (*zone).to_owned(),
            region: "r".to_owned(),
            millicores: *millicores,
            draining: false,
            boot: 0,
        };
        directory.upsert(NodeId::new(name), Incarnation(1), record);
    }
    directory
}

fn address(number: usize) -> SocketAddr {
    let port = u16::try_from(number + 1).expect("few nodes");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn offered(nodes: &[Node], zone: &str, serving: &dyn Fn(&str) -> bool) -> Vec<String> {
    directory(nodes)
        .offered(Some(zone), |node| serving(node.as_str()))
        .into_iter()
        .map(|(node, _)| node.as_str().to_owned())
        .collect()
}

#[test]
fn nodes_offered_to_callers() {
    struct Case {
        name: &'static str,
        nodes: &'static [Node],
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "nodes of the caller's zone",
            nodes: &[
                ("a1", "a", LARGE),
                ("a2", "a", LARGE),
                ("b1", "b", LARGE),
                ("b2", "b", LARGE),
            ],
            expected: &["a1", "a2"],
        },
        Case {
            name: "all zones if the caller's has a single node",
            nodes: &[("a1", "a", LARGE), ("b1", "b", LARGE), ("b2", "b", LARGE)],
            expected: &["a1", "b1", "b2"],
        },
        Case {
            name: "the large nodes of the zone if there are three",
            nodes: &[
                ("a1", "a", LARGE),
                ("a2", "a", LARGE),
                ("a3", "a", LARGE / 2),
                ("a4", "a", SMALL),
                ("b1", "b", LARGE),
            ],
            expected: &["a1", "a2", "a3"],
        },
        Case {
            name: "all of the zone if two of them are large",
            nodes: &[("a1", "a", LARGE), ("a2", "a", LARGE), ("a3", "a", SMALL)],
            expected: &["a1", "a2", "a3"],
        },
        Case {
            name: "all of the zone if no capacity is known",
            nodes: &[("a1", "a", 0), ("a2", "a", 0), ("a3", "a", 0)],
            expected: &["a1", "a2", "a3"],
        },
    ];
    for case in cases {
        let offered = offered(case.nodes, "a", &|_| true);
        assert_eq!(offered, case.expected, "{}", case.name);
    }
}

#[test]
fn small_nodes_are_offered_once_too_few_large_ones_remain() {
    let nodes = [
        ("a1", "a", LARGE),
        ("a2", "a", LARGE),
        ("a3", "a", LARGE),
        ("a4", "a", SMALL),
    ];
    assert_eq!(offered(&nodes, "a", &|_| true), ["a1", "a2", "a3"]);
    let without_one = |node: &str| node != "a2";
    assert_eq!(offered(&nodes, "a", &without_one), ["a1", "a3", "a4"]);
}
