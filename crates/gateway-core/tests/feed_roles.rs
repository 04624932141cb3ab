//! Simulates the selection of readers in fleets of 11 to 3,200 nodes, in virtual time. Checks the
//! number of readers and how long a zone is without a working one.

use std::time::Duration;

use elderworks_gateway_core::feed::roles::{
    FeedTimes, FleetSize, MAX_NODE_WORKER_PAIRS, MIN_READERS, Role, Roles, ranking, seems_small,
};
use elderworks_gateway_core::nodes::{NodeDirectory, NodeRecord};
use elderworks_gateway_core::policy::Policy;
use elderworks_types::{Incarnation, NodeId, Timestamp};

const DEADLINE: Duration = Duration::from_secs(5);

/// Interval between two decisions of a node, in milliseconds.
const STEP_MS: u64 = 200;

fn at(ms: u64) -> Timestamp {
    Timestamp(1_000_000) + Duration::from_millis(ms)
}

fn id(number: usize) -> NodeId {
    NodeId::new(format!("node-{number:04}").as_str())
}

fn record(zone: &str, millicores: u32) -> NodeRecord {
    NodeRecord {
        callers_address: "127.0.0.1:1".parse().expect("an address"),
        peer_address: "127.0.0.1:2".parse().expect("an address"),
        zone: zone.to_owned(),
        region: "r".to_owned(),
        millicores,
        draining: false,
        boot: 0,
    }
}

fn size(nodes: usize, zones: usize, workers: Option<usize>) -> FleetSize {
    FleetSize {
        nodes,
        zones,
        workers,
        seemed_small: false,
    }
}

#[test]
fn small_fleets_all_read_and_large_ones_have_few_readers() {
    for (nodes, zones, workers) in [(11, 3, 15), (74, 4, 60), (295, 5, 140)] {
        let wanted = size(nodes, zones, Some(workers)).readers_wanted(MAX_NODE_WORKER_PAIRS);
        assert_eq!(wanted, usize::MAX, "{nodes}");
    }
    for (nodes, zones, workers) in [(300, 5, 3_000), (984, 5, 10_000), (3_200, 28, 10_000)] {
        let wanted = size(nodes, zones, Some(workers)).readers_wanted(MAX_NODE_WORKER_PAIRS);
        assert!((MIN_READERS..=4).contains(&wanted), "{nodes}: {wanted}");
    }
}

/// Until the number of workers is known, the fleet size is estimated from the nodes' entries.
#[test]
fn a_starting_node_estimates_the_fleet_size_from_entries() {
    assert!(seems_small(0, 12) && seems_small(295, 5));
    assert!(!seems_small(984, 1) && !seems_small(0, 700));
    let mut unknown = size(984, 5, None);
    assert_eq!(unknown.readers_wanted(MAX_NODE_WORKER_PAIRS), MIN_READERS);
    unknown.seemed_small = true;
    assert_eq!(unknown.readers_wanted(MAX_NODE_WORKER_PAIRS), usize::MAX);
    unknown.workers = Some(10_000);
    assert_eq!(
        unknown.readers_wanted(MAX_NODE_WORKER_PAIRS),
        MIN_READERS,
        "the fleet is large after all"
    );
}

#[test]
fn recovery_after_an_outage_is_reported_once() {
    let ranking: Vec<NodeId> = (0..4).map(id).collect();
    let mut roles = Roles::new(FeedTimes::within(DEADLINE));
    assert!(
        !roles.detect_recovery(at(0), &ranking),
        "no heartbeat was received yet"
    );
    roles.record_heartbeat(at(100), &id(0), Duration::ZERO, true);
    assert!(
        !roles.detect_recovery(at(200), &ranking),
        "the first reader is no recovery"
    );
    roles.record_heartbeat(at(300), &id(0), Duration::ZERO, false);
    assert!(!roles.detect_recovery(at(400), &ranking), "it cannot read");
    roles.record_heartbeat(at(500), &id(1), Duration::ZERO, true);
    assert!(roles.detect_recovery(at(600), &ranking));
    roles.record_heartbeat(at(700), &id(0), Duration::ZERO, false);
    assert!(
        !roles.detect_recovery(at(800), &ranking),
        "another reader still works"
    );
    assert!(!roles.detect_recovery(at(9_000), &ranking), "silent");
    roles.record_heartbeat(at(9_100), &id(1), Duration::ZERO, true);
    assert!(roles.detect_recovery(at(9_200), &ranking));
}

#[test]
fn the_ranking_prefers_large_then_longest_listed_nodes() {
    let mut nodes = NodeDirectory::new(&Policy::default());
    let listed = [
        ("small-old", 120, 1),
        ("large-new", 500, 9),
        ("large-old", 500, 4),
    ];
    for (name, millicores, offset) in listed {
        nodes.upsert(
            NodeId::new(name),
            Incarnation(offset),
            record("a", millicores),
        );
    }
    nodes.upsert(NodeId::new("elsewhere"), Incarnation(0), record("b", 500));
    nodes.upsert(NodeId::new("gone"), Incarnation(2), record("a", 500));
    let mut draining = record("a", 500);
    draining.draining = true;
    nodes.upsert(NodeId::new("leaving"), Incarnation(3), draining);
    let ranked = ranking(&nodes, "a", |node| node.as_str() == "gone");
    let names: Vec<&str> = ranked.iter().map(NodeId::as_str).collect();
    assert_eq!(names, ["large-old", "large-new", "small-old"]);
}

/// A zone whose nodes receive heartbeats without delay.
struct Zone {
    ranking: Vec<NodeId>,
    nodes: Vec<Roles>,
    /// Whether each node is running.
    is_alive: Vec<bool>,
    /// Whether the log answers each node.
    log_answers: Vec<bool>,
}

impl Zone {
    fn new(count: usize) -> Self {
        let times = FeedTimes::within(DEADLINE);
        Self {
            ranking: (0..count).map(id).collect(),
            nodes: vec![Roles::new(times); count],
            is_alive: vec![true; count],
            log_answers: vec![true; count],
        }
    }

    /// Simulates one step: all nodes decide, then the readers send heartbeats.
    fn step(&mut self, now: Timestamp) {
        let mut heartbeats = Vec::new();
        for number in 0..self.nodes.len() {
            if !self.is_alive[number] {
                continue;
            }
            let own = self.ranking[number].clone();
            let role = self.nodes[number].decide(now, &self.ranking, &own, MIN_READERS);
            if role == Role::Reader {
                heartbeats.push((own, self.log_answers[number]));
            }
        }
        for (node, reads) in heartbeats {
            for (number, roles) in self.nodes.iter_mut().enumerate() {
                if self.is_alive[number] && self.ranking[number] != node {
                    roles.record_heartbeat(now, &node, Duration::from_millis(50), reads);
                }
            }
        }
    }

    fn readers(&self) -> usize {
        let all = self.nodes.iter().zip(&self.is_alive);
        all.filter(|(roles, is_alive)| **is_alive && roles.role() == Role::Reader)
            .count()
    }

    fn working(&self) -> usize {
        let all = self.nodes.iter().zip(&self.is_alive).zip(&self.log_answers);
        all.filter(|((roles, is_alive), answered)| {
            **is_alive && **answered && roles.role() == Role::Reader
        })
        .count()
    }

    /// Simulates `for_ms` milliseconds. Returns the longest time without a working reader in
    /// milliseconds, and the maximum number of simultaneous readers.
    fn simulate(&mut self, from_ms: u64, for_ms: u64) -> (u64, usize) {
        let (mut gap_ms, mut max_gap_ms, mut max_readers) = (0, 0, 0);
        for ms in (from_ms..from_ms + for_ms).step_by(STEP_MS as usize) {
            self.step(at(ms));
            gap_ms = if self.working() == 0 {
                gap_ms + STEP_MS
            } else {
                0
            };
            max_gap_ms = max_gap_ms.max(gap_ms);
            max_readers = max_readers.max(self.readers());
        }
        (max_gap_ms, max_readers)
    }
}

#[test]
fn two_nodes_read_in_zones_of_any_size() {
    for count in [4, 60, 200, 640] {
        let mut zone = Zone::new(count);
        zone.simulate(0, 3_000);
        let (gap_ms, max_readers) = zone.simulate(3_000, 10_000);
        assert_eq!((gap_ms, max_readers), (0, MIN_READERS), "{count} nodes");
        assert!(
            zone.nodes[2..]
                .iter()
                .all(|roles| roles.role() == Role::Listener)
        );
    }
}

/// Guards against a zone missing its deadline after the loss of both readers and the nodes ranked
/// next.
#[test]
fn lost_readers_are_replaced_within_half_of_the_deadline_and_by_few() {
    for count in [60, 200] {
        for lost in [2, 3, 5] {
            let mut zone = Zone::new(count);
            zone.simulate(0, 3_000);
            zone.is_alive[..lost].fill(false);
            let (gap_ms, max_readers) = zone.simulate(3_000, 10_000);
            assert!(gap_ms <= 2_500, "{count} nodes, {lost} lost: {gap_ms} ms");
            assert!(
                max_readers <= 6,
                "{count} nodes, {lost} lost: {max_readers} readers"
            );
            // The lost nodes return to their ranks, and the nodes that took over step down.
            zone.is_alive[..lost].fill(true);
            zone.simulate(13_000, 6_000);
            assert_eq!(zone.readers(), MIN_READERS, "{count} nodes, {lost} lost");
        }
    }
}

#[test]
fn readers_whose_reads_fail_are_replaced() {
    for refused in [2, 4] {
        let mut zone = Zone::new(200);
        zone.simulate(0, 3_000);
        zone.log_answers[..refused].fill(false);
        let (gap_ms, max_readers) = zone.simulate(3_000, 9_000);
        assert!(gap_ms <= 2_500, "{refused} refused: {gap_ms} ms");
        assert!(
            max_readers <= 2 * refused + MIN_READERS,
            "{refused} refused: {max_readers} readers"
        );
    }
}

/// Guards against every node reading the log while it is unavailable, which would add load without
/// any benefit.
#[test]
fn an_outage_of_the_log_causes_few_additional_readers() {
    for count in [60, 200] {
        let mut zone = Zone::new(count);
        zone.simulate(0, 3_000);
        zone.log_answers.fill(false);
        let (_, max_readers) = zone.simulate(3_000, 9_000);
        assert!(max_readers <= 16, "{count} nodes: {max_readers} readers");
        zone.log_answers.fill(true);
        zone.simulate(12_000, 6_000);
        assert_eq!(zone.readers(), MIN_READERS, "{count} nodes");
    }
}

/// Guards against slow failover when about half of a zone crashes at once, including both readers,
/// and the ranking still lists the crashed nodes.
#[test]
fn readers_are_replaced_in_time_after_the_loss_of_half_a_zone() {
    for seed in 0..8_u64 {
        let mut zone = Zone::new(200);
        zone.simulate(0, 3_000);
        for number in 0..200 {
            let draw = (number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (seed << 40);
            zone.is_alive[number] =
                number > 1 && draw.wrapping_mul(0xD6E8_FEB8_6659_FD93) >> 63 == 0;
        }
        let (gap_ms, _) = zone.simulate(3_000, 10_000);
        assert!(gap_ms <= 4_000, "seed {seed}: {gap_ms} ms");
    }
}

#[test]
fn a_node_without_heartbeats_starts_to_read() {
    let times = FeedTimes::within(DEADLINE);
    let ranking: Vec<NodeId> = (0..200).map(id).collect();
    let mut roles = Roles::new(times);
    let own = id(150);
    let mut since = None;
    for ms in (0..20_000).step_by(STEP_MS as usize) {
        if roles.decide(at(ms), &ranking, &own, MIN_READERS) == Role::Reader {
            since.get_or_insert(ms);
        }
    }
    assert!(
        since.is_some_and(|ms| (3_000..=12_000).contains(&ms)),
        "{since:?}"
    );
}

#[test]
fn old_heartbeats_and_old_reads_do_not_count() {
    let times = FeedTimes::within(DEADLINE);
    let mut roles = Roles::new(times);
    let node = id(0);
    roles.record_heartbeat(at(0), &node, Duration::ZERO, true);
    assert!(roles.is_working(at(900), &node));
    assert!(!roles.is_working(at(1_000), &node), "silent");
    roles.record_heartbeat(at(1_000), &node, Duration::from_millis(3_900), true);
    assert!(roles.is_working(at(1_000), &node));
    assert!(
        !roles.is_working(at(1_200), &node),
        "its last read is too old"
    );
    roles.record_heartbeat(at(1_300), &node, Duration::ZERO, false);
    assert!(!roles.is_working(at(1_300), &node), "its reads fail");
}
