//! Table tests of one node's quota decisions.

use std::time::Duration;

use elderworks_gateway_core::quota::{
    AgedCount, Division, Fleet, HistoryRounds, QuotaRules, QuotaTracker, TenantUse, Ticket,
    UseHistory,
};
use elderworks_gateway_core::tenants::{Quota, TenantKey};
use elderworks_types::{NodeId, Timestamp};

const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overshoot: 0.0,
    slack: 0.0,
};

/// Allows 60 requests per window.
const QUOTA: Quota = Quota {
    per_second: 10.0,
    burst: 10.0,
};

const TENANT: TenantKey = TenantKey(7);

const SINGLE_NODE: Fleet = Fleet {
    nodes: 1,
    is_cut_off: false,
};

const FOUR_NODES: Fleet = Fleet {
    nodes: 4,
    is_cut_off: false,
};

/// Returns a time long after the tracker's start.
fn at(ms: u64) -> Timestamp {
    Timestamp((60_000 + ms) * 1_000)
}

fn tracker(division: Division) -> QuotaTracker {
    QuotaTracker::new(RULES, division, 1, Timestamp(1))
}

fn uses(sent: u32, asked: u32) -> [(TenantKey, TenantUse); 1] {
    [(TENANT, TenantUse { sent, asked })]
}

/// Returns how many of `count` simultaneous requests are admitted.
fn admitted(tracker: &mut QuotaTracker, now: Timestamp, fleet: Fleet, count: u32) -> u32 {
    let admitted = (0..count).filter(|_| tracker.admit(now, TENANT, QUOTA, fleet).is_ok());
    u32::try_from(admitted.count()).expect("few")
}

fn is_about(count: u32, expected: u32) -> bool {
    // Fractional shares are rounded up or down.
    count.abs_diff(expected) <= 1
}

#[test]
fn a_single_node_enforces_the_whole_quota() {
    let mut tracker = tracker(Division::Reported);
    let first = admitted(&mut tracker, at(0), SINGLE_NODE, 100);
    assert!(is_about(first, 60), "{first}");
    assert_eq!(admitted(&mut tracker, at(4_800), SINGLE_NODE, 10), 0);
    let second = admitted(&mut tracker, at(5_200), SINGLE_NODE, 100);
    assert!(is_about(second, 60), "{second}");
}

#[test]
fn refusals_contain_a_retry_delay() {
    let mut tracker = tracker(Division::Reported);
    admitted(&mut tracker, at(0), SINGLE_NODE, 100);
    let over = tracker
        .admit(at(1), TENANT, QUOTA, SINGLE_NODE)
        .expect_err("used up");
    // One of 60 requests fits every 83 ms, which is below the minimum delay.
    assert_eq!(over.retry_after, Duration::from_millis(200));
    let small = Quota {
        per_second: 0.1,
        burst: 0.0,
    };
    let other = TenantKey(8);
    let over = (0..5).find_map(|_| tracker.admit(at(1), other, small, SINGLE_NODE).err());
    assert_eq!(over.expect("used up").retry_after, Duration::from_secs(2));
}

#[test]
fn reports_of_other_nodes_count() {
    // (sent, asked) of each other node; requests admitted out of 100
    let cases: [(&[(u32, u32)], u32); 4] = [
        (&[(0, 0), (0, 0), (0, 0)], 60),
        (&[(20, 0), (20, 0), (20, 0)], 0),
        (&[(10, 0), (10, 0), (10, 0)], 30),
        // Each of the three others reports 30 requests of demand.
        (&[(10, 30), (0, 30), (0, 30)], 25),
    ];
    for (others, expected) in cases {
        let mut tracker = tracker(Division::Reported);
        for (number, (sent, asked)) in others.iter().enumerate() {
            let node = NodeId::new(format!("n{number}"));
            tracker.take_report(at(0), node, uses(*sent, *asked));
        }
        let count = admitted(&mut tracker, at(10), FOUR_NODES, 100);
        assert!(count.abs_diff(expected) <= 3, "{others:?}: {count}");
    }
}

#[test]
fn a_reserve_is_kept_for_nodes_that_do_not_report() {
    let mut tracker = tracker(Division::Reported);
    let count = admitted(&mut tracker, at(0), FOUR_NODES, 100);
    // A tenth of an even share is reserved for each of the three others.
    assert!(is_about(count, 60 - 4), "{count}");
}

#[test]
fn even_division_ignores_reports() {
    let mut tracker = tracker(Division::Even);
    tracker.take_report(at(0), NodeId::new("n1"), uses(60, 60));
    let count = admitted(&mut tracker, at(0), FOUR_NODES, 100);
    assert!(is_about(count, 15), "{count}");
}

#[test]
fn an_isolated_node_uses_less_than_an_even_share() {
    let mut tracker = tracker(Division::Reported);
    let fleet = Fleet {
        is_cut_off: true,
        ..FOUR_NODES
    };
    let count = admitted(&mut tracker, at(0), fleet, 100);
    assert!(is_about(count, 6), "{count}");
    // A node that receives reports is not isolated.
    for number in 0..3 {
        let node = NodeId::new(format!("n{number}"));
        tracker.take_report(at(10), node, uses(0, 0));
    }
    assert!(admitted(&mut tracker, at(20), fleet, 100) > 30);
}

#[test]
fn a_new_process_assumes_usage_before_its_start() {
    let started = at(0);
    let new_tracker = || QuotaTracker::new(RULES, Division::Reported, 1, started);
    // milliseconds since the start, requests admitted out of 100
    for (after, expected) in [(0, 0), (2_500, 30), (5_000, 60)] {
        let now = started + Duration::from_millis(after);
        let count = admitted(&mut new_tracker(), now, SINGLE_NODE, 100);
        assert!(is_about(count, expected), "{after} ms: {count}");
    }
    let mut tracker = new_tracker();
    let _ = tracker.admit(at(1), TENANT, QUOTA, FOUR_NODES);
    let reported = tracker.report(at(1), FOUR_NODES);
    assert_eq!(reported.len(), 1);
    assert!(is_about(reported[0].1.sent, 15), "{reported:?}");
    let mut tracker = new_tracker();
    tracker.note_new_machine();
    let count = admitted(&mut tracker, at(2_000), SINGLE_NODE, 100);
    assert!(
        is_about(count, 60),
        "no earlier process forwarded requests: {count}"
    );
}

#[test]
fn requests_that_were_not_sent_are_given_back() {
    let mut tracker = tracker(Division::Reported);
    let tickets: Vec<Ticket> = (0..60)
        .filter_map(|_| tracker.admit(at(0), TENANT, QUOTA, SINGLE_NODE).ok())
        .collect();
    assert_eq!(admitted(&mut tracker, at(0), SINGLE_NODE, 10), 0);
    for ticket in &tickets[..20] {
        tracker.give_back(*ticket);
    }
    let count = admitted(&mut tracker, at(0), SINGLE_NODE, 100);
    assert!(is_about(count, 20), "{count}");
}

#[test]
fn every_send_counts_from_its_own_time() {
    let mut tracker = tracker(Division::Reported);
    let ticket = tracker
        .admit(at(0), TENANT, QUOTA, SINGLE_NODE)
        .expect("room");
    tracker.note_send(at(1_000), ticket);
    tracker.note_resend(at(2_000), ticket);
    assert_eq!(tracker.used_by(TENANT), 2);
    tracker.report(at(5_500), SINGLE_NODE);
    assert_eq!(tracker.used_by(TENANT), 2, "sent 4.5 s ago");
    tracker.report(at(6_500), SINGLE_NODE);
    assert_eq!(tracker.used_by(TENANT), 1);
    tracker.report(at(8_000), SINGLE_NODE);
    assert_eq!(tracker.used_by(TENANT), 0);
}

#[test]
fn a_lower_quota_takes_effect_immediately() {
    let mut tracker = tracker(Division::Reported);
    admitted(&mut tracker, at(0), SINGLE_NODE, 30);
    let lower = Quota {
        per_second: 4.0,
        burst: 0.0,
    };
    assert!(tracker.admit(at(10), TENANT, lower, SINGLE_NODE).is_err());
    assert!(tracker.admit(at(10), TENANT, QUOTA, SINGLE_NODE).is_ok());
}

#[test]
fn low_usage_is_not_reported() {
    let mut tracker = tracker(Division::Reported);
    assert!(tracker.report(at(0), FOUR_NODES).is_empty());
    admitted(&mut tracker, at(0), FOUR_NODES, 1);
    assert!(
        tracker.report(at(0), FOUR_NODES).is_empty(),
        "a fifteenth of its share"
    );
    admitted(&mut tracker, at(0), FOUR_NODES, 3);
    assert_eq!(tracker.report(at(0), FOUR_NODES).len(), 1);
}

/// Guards against nodes that join a small fleet and use a quota together before the others know of them.
#[test]
fn a_node_that_has_just_joined_reports_all_use() {
    let mut joined = restarted(0);
    joined.note_new_machine();
    joined.take_report(at(900), NodeId::new("n1"), uses(10, 10));
    assert_eq!(admitted(&mut joined, at(1_000), SINGLE_NODE, 1), 1);
    assert_eq!(joined.report(at(1_000), SINGLE_NODE), uses(1, 1));
    // Six requests are a tenth of an even share.
    assert_eq!(joined.report(at(3_000), SINGLE_NODE), []);
}

/// Returns a tracker that started at `started_ms` and may have a predecessor.
fn restarted(started_ms: u64) -> QuotaTracker {
    QuotaTracker::new(RULES, Division::Reported, 1, at(started_ms))
}

fn requests_in(history: &UseHistory) -> Vec<(u128, u32)> {
    let [(tenant, sent)] = &history.tenants[..] else {
        return Vec::new();
    };
    assert_eq!(*tenant, TENANT);
    let aged = sent.iter().map(|aged| (aged.age.as_millis(), aged.count));
    aged.collect()
}

#[test]
fn reports_show_when_an_ended_process_forwarded_requests() {
    let mut other = tracker(Division::Reported);
    let node = NodeId::new("n1");
    // Five requests at 0 s and four at 2 s; the first ones leave the window after 5 s.
    other.take_report(at(0), node.clone(), uses(5, 5));
    other.take_report(at(1_000), node.clone(), uses(5, 0));
    other.take_report(at(2_000), node.clone(), uses(9, 4));
    other.take_report(at(2_200), node.clone(), uses(9, 0));
    let uptime = Duration::from_millis(500);
    let history = other.history_of(at(3_000), &node, uptime).expect("known");
    assert_eq!(requests_in(&history), [(2_750, 5), (750, 4)]);
    assert!(
        history.report_age <= Duration::from_millis(800),
        "{history:?}"
    );
    let history = other.history_of(at(5_500), &node, uptime).expect("known");
    assert_eq!(requests_in(&history), [(3_250, 4)]);
}

#[test]
fn only_processes_that_heard_the_earlier_one_know_its_history() {
    let node = NodeId::new("n1");
    let ask = |other: &QuotaTracker, uptime_ms| {
        other.history_of(at(3_000), &node, Duration::from_millis(uptime_ms))
    };
    let mut other = tracker(Division::Reported);
    assert_eq!(ask(&other, 500), None, "it has heard nothing");
    // The current process has reported, the earlier one has not.
    other.take_report(at(2_800), node.clone(), uses(5, 5));
    assert_eq!(ask(&other, 500), None);
    assert!(ask(&other, 100).is_some());
    let mut also_restarted = restarted(2_600);
    also_restarted.take_report(at(2_800), node.clone(), uses(5, 5));
    assert_eq!(ask(&also_restarted, 500), None);
}

#[test]
fn a_restarted_process_counts_what_it_is_told_in_place_of_a_guess() {
    let told = |report_age_ms, sent: &[(u64, u32)]| UseHistory {
        report_age: Duration::from_millis(report_age_ms),
        tenants: vec![(
            TENANT,
            sent.iter()
                .map(|(age_ms, count)| AgedCount {
                    age: Duration::from_millis(*age_ms),
                    count: *count,
                })
                .collect(),
        )],
    };
    let mut tracker = restarted(0);
    assert!(tracker.needs_history(at(100)));
    // Nobody heard the earlier process for two seconds before this one started.
    tracker.take_history(at(100), &told(2_100, &[(2_000, 1)]));
    assert!(tracker.needs_history(at(100)));
    // Of two answers, the one with more requests counts.
    tracker.take_history(at(100), &told(800, &[(4_000, 10), (1_000, 30)]));
    tracker.take_history(at(100), &told(1_000, &[(4_000, 10), (1_000, 20)]));
    assert!(!tracker.needs_history(at(100)));
    // It reports them also for tenants of which it has received nothing.
    assert_eq!(tracker.report(at(100), SINGLE_NODE), uses(40, 0));
    let first = admitted(&mut tracker, at(100), SINGLE_NODE, 100);
    assert!(is_about(first, 20), "{first}");
    let second = admitted(&mut tracker, at(1_400), SINGLE_NODE, 100);
    assert!(
        is_about(second, 0),
        "counts until the next report: {second}"
    );
    tracker.report(at(1_400), SINGLE_NODE);
    let second = admitted(&mut tracker, at(1_400), SINGLE_NODE, 100);
    assert!(is_about(second, 10), "{second}");
}

#[test]
fn questions_for_a_history_come_in_a_few_rounds() {
    let mut rounds = HistoryRounds::default();
    let mut asked = Vec::new();
    for ms in (0..2_000).step_by(50) {
        if rounds.is_due(at(ms)) {
            rounds.note_asked(at(ms));
            asked.push(ms);
        }
    }
    assert_eq!(asked, [0, 150, 300, 450, 600, 750]);
}
