//! Who reads the log's streams in fleets of 11 to 3,200 nodes, on a clock of its own: how many read,
//! and how long a zone is without a reader that works.

use std::time::Duration;

use elderworks_gateway_core::feed::roles::{
    FEWEST_READERS, FeedTimes, FleetSize, MOST_PAIRS, Role, Roles, ranking, seems_small,
};
use elderworks_gateway_core::nodes::{NodeDirectory, NodeRecord};
use elderworks_gateway_core::policy::Policy;
use elderworks_types::{Incarnation, NodeId, Timestamp};

const DEADLINE: Duration = Duration::from_secs(5);

/// Pause between two decisions of a node.
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
        let wanted = size(nodes, zones, Some(workers)).readers_wanted(MOST_PAIRS);
        assert_eq!(wanted, usize::MAX, "{nodes}");
    }
    for (nodes, zones, workers) in [(300, 5, 3_000), (984, 5, 10_000), (3_200, 28, 10_000)] {
        let wanted = size(nodes, zones, Some(workers)).readers_wanted(MOST_PAIRS);
        assert!((FEWEST_READERS..=4).contains(&wanted), "{nodes}: {wanted}");
    }
}

/// Before the number of workers is known, a fleet is taken for what it seems from its nodes' entries.
#[test]
fn a_node_that_has_just_started_goes_by_the_entries() {
    assert!(seems_small(0, 12) && seems_small(295, 5));
    assert!(!seems_small(984, 1) && !seems_small(0, 700));
    let mut unknown = size(984, 5, None);
    assert_eq!(unknown.readers_wanted(MOST_PAIRS), FEWEST_READERS);
    unknown.seemed_small = true;
    assert_eq!(unknown.readers_wanted(MOST_PAIRS), usize::MAX);
    unknown.workers = Some(10_000);
    assert_eq!(
        unknown.readers_wanted(MOST_PAIRS),
        FEWEST_READERS,
        "it is not"
    );
}

#[test]
fn the_return_of_a_reader_after_a_time_without_any_is_told_once() {
    let ranking: Vec<NodeId> = (0..4).map(id).collect();
    let mut roles = Roles::new(FeedTimes::within(DEADLINE));
    assert!(
        !roles.detect_recovery(at(0), &ranking),
        "nobody was heard yet"
    );
    roles.record_heartbeat(at(100), &id(0), Duration::ZERO, true);
    assert!(
        !roles.detect_recovery(at(200), &ranking),
        "the first one is no return"
    );
    roles.record_heartbeat(at(300), &id(0), Duration::ZERO, false);
    assert!(!roles.detect_recovery(at(400), &ranking), "it cannot read");
    roles.record_heartbeat(at(500), &id(1), Duration::ZERO, true);
    assert!(roles.detect_recovery(at(600), &ranking));
    roles.record_heartbeat(at(700), &id(0), Duration::ZERO, false);
    assert!(
        !roles.detect_recovery(at(800), &ranking),
        "another one works still"
    );
    assert!(!roles.detect_recovery(at(9_000), &ranking), "silent");
    roles.record_heartbeat(at(9_100), &id(1), Duration::ZERO, true);
    assert!(roles.detect_recovery(at(9_200), &ranking));
}

#[test]
fn large_machines_read_first_and_those_listed_longest_among_them() {
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
    let mut leaving = record("a", 500);
    leaving.draining = true;
    nodes.upsert(NodeId::new("leaving"), Incarnation(3), leaving);
    let ranked = ranking(&nodes, "a", |node| node.as_str() == "gone");
    let names: Vec<&str> = ranked.iter().map(NodeId::as_str).collect();
    assert_eq!(names, ["large-old", "large-new", "small-old"]);
}

/// A zone whose nodes hear each other at once.
struct Zone {
    ranking: Vec<NodeId>,
    nodes: Vec<Roles>,
    lives: Vec<bool>,
    /// Whether the log answers a node.
    is_served: Vec<bool>,
}

impl Zone {
    fn new(count: usize) -> Self {
        let times = FeedTimes::within(DEADLINE);
        Self {
            ranking: (0..count).map(id).collect(),
            nodes: vec![Roles::new(times); count],
            lives: vec![true; count],
            is_served: vec![true; count],
        }
    }

    /// One step: all decide, and those who read say so.
    fn step(&mut self, now: Timestamp) {
        let mut words = Vec::new();
        for number in 0..self.nodes.len() {
            if !self.lives[number] {
                continue;
            }
            let own = self.ranking[number].clone();
            let role = self.nodes[number].decide(now, &self.ranking, &own, FEWEST_READERS);
            if role == Role::Reader {
                words.push((own, self.is_served[number]));
            }
        }
        for (node, reads) in words {
            for (number, roles) in self.nodes.iter_mut().enumerate() {
                if self.lives[number] && self.ranking[number] != node {
                    roles.record_heartbeat(now, &node, Duration::from_millis(50), reads);
                }
            }
        }
    }

    fn readers(&self) -> usize {
        let all = self.nodes.iter().zip(&self.lives);
        all.filter(|(roles, lives)| **lives && roles.role() == Role::Reader)
            .count()
    }

    fn working(&self) -> usize {
        let all = self.nodes.iter().zip(&self.lives).zip(&self.is_served);
        all.filter(|((roles, lives), served)| **lives && **served && roles.role() == Role::Reader)
            .count()
    }

    /// Plays some seconds; the longest time without a reader that works, in ms, and the most readers
    /// at once.
    fn play(&mut self, from_ms: u64, for_ms: u64) -> (u64, usize) {
        let (mut dark, mut longest, mut most) = (0, 0, 0);
        for ms in (from_ms..from_ms + for_ms).step_by(STEP_MS as usize) {
            self.step(at(ms));
            dark = if self.working() == 0 {
                dark + STEP_MS
            } else {
                0
            };
            longest = longest.max(dark);
            most = most.max(self.readers());
        }
        (longest, most)
    }
}

#[test]
fn at_rest_the_first_two_read_whatever_the_size_of_the_zone() {
    for count in [4, 60, 200, 640] {
        let mut zone = Zone::new(count);
        zone.play(0, 3_000);
        let (dark, most) = zone.play(3_000, 10_000);
        assert_eq!((dark, most), (0, FEWEST_READERS), "{count} nodes");
        assert!(
            zone.nodes[2..]
                .iter()
                .all(|roles| roles.role() == Role::Listener)
        );
    }
}

/// Both readers are killed, with whatever stands behind them: the zone hears again of news in time for
/// what must be acted on within the deadline.
#[test]
fn lost_readers_are_replaced_within_half_of_the_deadline_and_by_few() {
    for count in [60, 200] {
        for lost in [2, 3, 5] {
            let mut zone = Zone::new(count);
            zone.play(0, 3_000);
            zone.lives[..lost].fill(false);
            let (dark, most) = zone.play(3_000, 10_000);
            assert!(dark <= 2_500, "{count} nodes, {lost} lost: {dark} ms");
            assert!(most <= 6, "{count} nodes, {lost} lost: {most} readers");
            // They come back to their places, and those who stepped in step down.
            zone.lives[..lost].fill(true);
            zone.play(13_000, 6_000);
            assert_eq!(zone.readers(), FEWEST_READERS, "{count} nodes, {lost} lost");
        }
    }
}

#[test]
fn readers_that_the_log_turns_away_are_passed_over() {
    for refused in [2, 4] {
        let mut zone = Zone::new(200);
        zone.play(0, 3_000);
        zone.is_served[..refused].fill(false);
        let (dark, most) = zone.play(3_000, 9_000);
        assert!(dark <= 2_500, "{refused} refused: {dark} ms");
        assert!(
            most <= 2 * refused + FEWEST_READERS,
            "{refused} refused: {most} readers"
        );
    }
}

/// The log is away for everybody: nobody learns anything by reading it more.
#[test]
fn an_outage_of_the_log_makes_no_storm_of_readers() {
    for count in [60, 200] {
        let mut zone = Zone::new(count);
        zone.play(0, 3_000);
        zone.is_served.fill(false);
        let (_, most) = zone.play(3_000, 9_000);
        assert!(most <= 16, "{count} nodes: {most} readers");
        zone.is_served.fill(true);
        zone.play(12_000, 6_000);
        assert_eq!(zone.readers(), FEWEST_READERS, "{count} nodes");
    }
}

/// More than half of a zone is killed at once, the readers among them, before anybody else has
/// noticed.
#[test]
fn the_loss_of_half_a_zone_leaves_readers_in_time() {
    for seed in 0..8_u64 {
        let mut zone = Zone::new(200);
        zone.play(0, 3_000);
        for number in 0..200 {
            let draw = (number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (seed << 40);
            zone.lives[number] = number > 1 && draw.wrapping_mul(0xD6E8_FEB8_6659_FD93) >> 63 == 0;
        }
        let (dark, _) = zone.play(3_000, 10_000);
        assert!(dark <= 4_000, "seed {seed}: {dark} ms");
    }
}

#[test]
fn a_node_that_hears_nobody_reads_by_itself() {
    let times = FeedTimes::within(DEADLINE);
    let ranking: Vec<NodeId> = (0..200).map(id).collect();
    let mut roles = Roles::new(times);
    let own = id(150);
    let mut since = None;
    for ms in (0..20_000).step_by(STEP_MS as usize) {
        if roles.decide(at(ms), &ranking, &own, FEWEST_READERS) == Role::Reader {
            since.get_or_insert(ms);
        }
    }
    assert!(
        since.is_some_and(|ms| (3_000..=12_000).contains(&ms)),
        "{since:?}"
    );
}

#[test]
fn an_old_word_and_old_news_count_no_more() {
    let times = FeedTimes::within(DEADLINE);
    let mut roles = Roles::new(times);
    let node = id(0);
    roles.record_heartbeat(at(0), &node, Duration::ZERO, true);
    assert!(roles.is_working(at(900), &node));
    assert!(!roles.is_working(at(1_000), &node), "silent");
    roles.record_heartbeat(at(1_000), &node, Duration::from_millis(3_900), true);
    assert!(roles.is_working(at(1_000), &node));
    assert!(!roles.is_working(at(1_200), &node), "its news is old");
    roles.record_heartbeat(at(1_300), &node, Duration::ZERO, false);
    assert!(!roles.is_working(at(1_300), &node), "its reads fail");
}
