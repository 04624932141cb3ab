//! Table tests of the durable records of quota use.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_gateway_core::quota::{
    AgedCount, Division, Fleet, QuotaRules, QuotaTracker, RecordGroup, TenantUse, UseRecord,
};
use elderworks_gateway_core::tenants::{Quota, TenantKey};
use elderworks_types::{NodeId, Timestamp};

const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 4.0,
};

/// 60 requests per window, with a tolerance of 10; 63 with the part of the tolerance that is used.
const QUOTA: Quota = Quota {
    per_second: 10.0,
    burst: 10.0,
};

const TENANT: TenantKey = TenantKey(7);

const GROUP: RecordGroup = RecordGroup(7);

const FOUR_NODES: Fleet = Fleet {
    nodes: 4,
    is_cut_off: false,
};

/// Returns a time long after the tracker's start.
fn at(ms: u64) -> Timestamp {
    Timestamp((60_000 + ms) * 1_000)
}

fn tracker(started: Timestamp) -> QuotaTracker {
    QuotaTracker::new(RULES, Division::Reported, 1, started)
}

fn report(tracker: &mut QuotaTracker, ms: u64, sent: u32) {
    let used = TenantUse { sent, asked: 0 };
    tracker.take_report(at(ms), NodeId::new("n1"), [(TENANT, used)]);
}

/// Returns the ages in milliseconds and counts of the record that is due.
fn due(tracker: &mut QuotaTracker, ms: u64) -> Option<Vec<(u128, u32)>> {
    tracker.report(at(ms), FOUR_NODES);
    let record = tracker.record_due(at(ms), GROUP, |_| Some(QUOTA))?;
    let counts = record.tenants.iter().flat_map(|(_, counts)| counts);
    Some(
        counts
            .map(|aged| (aged.age.as_millis(), aged.count))
            .collect(),
    )
}

fn record(counts: &[(u64, u32)]) -> UseRecord {
    let counts = counts.iter().map(|(age_ms, count)| AgedCount {
        age: Duration::from_millis(*age_ms),
        count: *count,
    });
    UseRecord {
        tenants: vec![(TENANT, counts.collect())],
    }
}

/// Returns how many of 100 simultaneous requests are admitted.
fn admitted(tracker: &mut QuotaTracker, ms: u64) -> usize {
    let admitted = (0..100).filter(|_| tracker.admit(at(ms), TENANT, QUOTA, FOUR_NODES).is_ok());
    admitted.count()
}

#[test]
fn groups_are_spread_over_nodes_and_one_node_records_each() {
    let nodes: Vec<NodeId> = (0..20)
        .map(|number| NodeId::new(format!("n{number}")))
        .collect();
    let recorders: BTreeSet<&NodeId> = RecordGroup::all()
        .filter_map(|group| group.recorder(&nodes))
        .collect();
    assert!(recorders.len() > 3, "{recorders:?}");
    assert_eq!(RecordGroup::of(TENANT), GROUP);
}

#[test]
fn use_is_recorded_each_second_and_after_growth() {
    let mut tracker = tracker(Timestamp(1));
    assert_eq!(due(&mut tracker, 0), Some(vec![]), "replaces older records");
    report(&mut tracker, 500, 2);
    assert_eq!(due(&mut tracker, 5_000), None, "low use is not recorded");
    report(&mut tracker, 5_600, 4);
    assert_eq!(due(&mut tracker, 5_700), Some(vec![(0, 4)]));
    report(&mut tracker, 6_000, 6);
    assert_eq!(due(&mut tracker, 6_000), None, "little more was used");
    report(&mut tracker, 6_200, 12);
    assert_eq!(due(&mut tracker, 6_300), Some(vec![(500, 4), (0, 8)]));
    report(&mut tracker, 6_400, 40);
    assert_eq!(due(&mut tracker, 6_400), None, "too soon");
    assert!(due(&mut tracker, 6_500).is_some());
    assert!(due(&mut tracker, 7_500).is_some());
    assert_eq!(due(&mut tracker, 12_600), Some(vec![]), "use has ended");
    assert_eq!(due(&mut tracker, 14_000), None);
    tracker.stop_recording(GROUP);
    assert_eq!(due(&mut tracker, 14_100), Some(vec![]));
}

/// Guards against an old record that stays in the log because the write that was to clear it failed.
#[test]
fn a_record_that_was_not_written_is_due_again() {
    let mut tracker = tracker(Timestamp(1));
    report(&mut tracker, 0, 30);
    assert!(due(&mut tracker, 0).is_some());
    assert_eq!(due(&mut tracker, 6_000), Some(vec![]), "use has ended");
    tracker.note_record_failed(GROUP);
    assert_eq!(
        due(&mut tracker, 6_500),
        None,
        "a refusing log is not asked at once"
    );
    assert_eq!(due(&mut tracker, 7_000), Some(vec![]));
    assert_eq!(due(&mut tracker, 9_000), None);
}

#[test]
fn a_new_process_does_not_record_before_it_has_heard_the_others() {
    let mut tracker = tracker(at(0));
    assert_eq!(due(&mut tracker, 900), None);
    assert_eq!(due(&mut tracker, 1_000), Some(vec![]));
}

#[test]
fn a_restarted_process_counts_its_part_of_what_was_recorded() {
    let mut restarted = tracker(at(0));
    assert!(restarted.needs_records(at(100)));
    // 20 requests in the last second before the record stand for 16 after it.
    restarted.take_record(at(100), GROUP, &record(&[(4_500, 8), (500, 20)]));
    assert!(!restarted.needs_records(at(100)));
    // A quarter of the 19 that remain of 63.
    let first = admitted(&mut restarted, 100);
    assert!((4..=5).contains(&first), "{first}");
    let guessing = admitted(&mut tracker(at(0)), 100);
    assert!(guessing <= 1, "{guessing}");
}

/// Guards against a process that restarts alone, takes an even part for what it had sent, and finds none of
/// the rest in the others' reports.
#[test]
fn what_was_recorded_counts_although_no_report_shows_it() {
    let mut restarted = tracker(at(0));
    restarted.take_record(at(100), GROUP, &record(&[(4_500, 60)]));
    for number in 1..4 {
        let node = NodeId::new(format!("n{number}"));
        restarted.take_report(at(150), node, [(TENANT, TenantUse::default())]);
    }
    let first = admitted(&mut restarted, 200);
    assert!(first <= 4, "{first}");
}

/// Guards against parts that add up to more than was recorded, because nodes that accept no callers take
/// one too.
#[test]
fn only_nodes_that_accept_callers_report_a_part_of_what_was_recorded() {
    let reported = |accepts_callers| {
        let mut restarted = tracker(at(0));
        restarted.take_record(at(100), GROUP, &record(&[(4_500, 40)]));
        restarted.note_accepts_callers(accepts_callers);
        let uses = restarted.report(at(100), FOUR_NODES);
        uses.iter().map(|(_, used)| used.sent).sum::<u32>()
    };
    assert_eq!(reported(true), 10);
    assert_eq!(reported(false), 0);
}

#[test]
fn a_record_of_another_group_tells_nothing() {
    let mut restarted = tracker(at(0));
    let other = RecordGroup(GROUP.0 - 1);
    restarted.take_record(at(100), other, &UseRecord::default());
    assert!(admitted(&mut restarted, 100) <= 1);
}

#[test]
fn a_machine_without_earlier_process_needs_no_records() {
    let mut tracker = tracker(at(0));
    tracker.note_new_machine();
    assert!(!tracker.needs_records(at(100)));
}
