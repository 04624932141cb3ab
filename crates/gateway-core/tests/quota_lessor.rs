//! The lessor of a tenant's quota, as tables.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_gateway_core::quota::{
    Division, Fleet, Order, OverQuota, QuotaRules, QuotaTracker, ReportTurns, StartedPrograms,
    TenantUse, lessor_of,
};
use elderworks_gateway_core::tenants::{Quota, TenantKey};
use elderworks_types::{NodeId, Timestamp};

const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overshoot: 0.0,
    slack: 0.0,
};

/// Holds 60 requests in a window.
const QUOTA: Quota = Quota {
    per_second: 10.0,
    burst: 10.0,
};

/// Holds 12.
const LOWER: Quota = Quota {
    per_second: 2.0,
    burst: 2.0,
};

const TENANT: TenantKey = TenantKey(7);

const FOUR: Fleet = Fleet {
    nodes: 4,
    is_cut_off: false,
};

/// A moment well after the book's start.
fn at(ms: u64) -> Timestamp {
    Timestamp((60_000 + ms) * 1_000)
}

fn lessor() -> QuotaTracker {
    QuotaTracker::new(RULES, Division::Told, 1, Timestamp(1)).with_program_priority(true)
}

fn node(number: usize) -> NodeId {
    NodeId::new(format!("n{number}"))
}

fn ask(book: &mut QuotaTracker, ms: u64, quota: Quota, order: Order) -> Result<(), OverQuota> {
    let to = node(1);
    let decided = book.grant(at(ms), TENANT, quota, FOUR, Some(&to), order);
    decided.expect("hears enough")
}

/// How many of `count` requests at one moment are granted.
fn granted(book: &mut QuotaTracker, ms: u64, quota: Quota, count: usize) -> usize {
    let answers = (0..count).map(|_| ask(book, ms, quota, Order::Continuation));
    answers.filter(Result::is_ok).count()
}

fn uses(sent: u32) -> [(TenantKey, TenantUse); 1] {
    [(TENANT, TenantUse { sent, asked: sent })]
}

#[test]
fn one_node_gets_all_that_others_leave() {
    let mut book = lessor();
    book.take_report(at(0), node(1), uses(0));
    book.take_report(at(0), node(2), uses(40));
    book.take_report(at(0), node(3), uses(5));
    assert_eq!(granted(&mut book, 10, QUOTA, 100), 15);
}

#[test]
fn grants_count_once_whether_told_or_not() {
    let mut book = lessor();
    let tell = |book: &mut QuotaTracker, ms, sent| {
        book.take_report(at(ms), node(1), uses(sent));
        book.take_report(at(ms), node(2), uses(0));
        book.take_report(at(ms), node(3), uses(0));
    };
    tell(&mut book, 0, 0);
    assert_eq!(granted(&mut book, 10, QUOTA, 25), 25);
    tell(&mut book, 200, 25);
    // The half that needs no question is left, and what was told is within it.
    assert_eq!(granted(&mut book, 210, QUOTA, 100), 30);
    tell(&mut book, 400, 55);
    assert_eq!(granted(&mut book, 410, QUOTA, 100), 5);
    // The report still holds what has left the window since.
    tell(&mut book, 4_900, 60);
    assert_eq!(granted(&mut book, 5_150, QUOTA, 100), 25);
}

#[test]
fn a_lowered_limit_counts_what_was_sent_before_and_a_raised_one_is_in_force_at_once() {
    let mut book = lessor();
    assert_eq!(granted(&mut book, 0, QUOTA, 20), 20);
    assert_eq!(granted(&mut book, 100, LOWER, 100), 0);
    book.take_report(at(200), node(1), uses(20));
    assert_eq!(granted(&mut book, 4_900, LOWER, 100), 0);
    // Half of it needs no question.
    assert_eq!(granted(&mut book, 4_950, QUOTA, 100), 30);
    book.take_report(at(9_000), node(1), uses(30));
    assert_eq!(granted(&mut book, 9_900, LOWER, 100), 0);
    book.take_report(at(10_200), node(1), uses(0));
    assert_eq!(granted(&mut book, 10_300, LOWER, 100), 6);
}

#[test]
fn while_more_is_asked_for_than_fits_programs_that_have_begun_go_first() {
    let mut book = lessor();
    let tell = |book: &mut QuotaTracker, ms, sent, asked| {
        let used = TenantUse { sent, asked };
        book.take_report(at(ms), node(2), [(TENANT, used)]);
    };
    // 12 a second are 60 in a window.
    tell(&mut book, 0, 50, 13);
    assert_eq!(
        ask(&mut book, 10, QUOTA, Order::NewProgram),
        Ok(()),
        "nothing was refused yet"
    );
    tell(&mut book, 100, 60, 13);
    let full = ask(&mut book, 110, QUOTA, Order::Continuation).expect_err("full");
    assert!(!full.is_held_back);
    tell(&mut book, 200, 50, 13);
    let held_back = ask(&mut book, 210, QUOTA, Order::NewProgram).expect_err("short");
    assert!(held_back.is_held_back);
    assert_eq!(ask(&mut book, 210, QUOTA, Order::Continuation), Ok(()));
    tell(&mut book, 400, 50, 12);
    assert_eq!(ask(&mut book, 410, QUOTA, Order::NewProgram), Ok(()));
}

#[test]
fn refused_callers_come_back_one_after_the_other() {
    let mut book = lessor();
    book.take_report(at(0), node(2), uses(60));
    let mut pauses = Vec::new();
    for _ in 0..12 {
        let over = ask(&mut book, 10, QUOTA, Order::Continuation).expect_err("full");
        pauses.push(over.retry_after);
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    // The twelfth of 60 in 5 s.
    assert_eq!(pauses.last(), Some(&Duration::from_secs(1)));
}

#[test]
fn a_node_that_does_not_know_what_was_sent_decides_nothing() {
    let order = Order::Continuation;
    let mut started = QuotaTracker::new(RULES, Division::Told, 1, at(0));
    assert_eq!(
        started.grant(at(4_000), TENANT, QUOTA, FOUR, None, order),
        None
    );
    assert_eq!(
        started.grant(at(5_100), TENANT, QUOTA, FOUR, None, order),
        Some(Ok(()))
    );
    let mut new = QuotaTracker::new(RULES, Division::Told, 1, at(0));
    new.note_new_machine();
    assert_eq!(new.grant(at(500), TENANT, QUOTA, FOUR, None, order), None);
    assert_eq!(
        new.grant(at(1_100), TENANT, QUOTA, FOUR, None, order),
        Some(Ok(()))
    );
    let cut_off = Fleet {
        is_cut_off: true,
        ..FOUR
    };
    assert_eq!(
        lessor().grant(at(0), TENANT, QUOTA, cut_off, None, order),
        None
    );
}

#[test]
fn a_node_that_suddenly_sees_less_than_half_of_the_others_grants_nothing_for_a_window() {
    let mut book = lessor();
    assert_eq!(granted(&mut book, 0, QUOTA, 1), 1);
    let alone = Fleet {
        nodes: 1,
        is_cut_off: false,
    };
    let mut decided = |ms| book.grant(at(ms), TENANT, QUOTA, alone, None, Order::Continuation);
    assert_eq!(decided(1_500), None);
    assert_eq!(decided(5_500), Some(Ok(())));
}

/// A node that is cut off from everybody soon believes itself alone.
#[test]
fn a_node_that_is_cut_off_keeps_to_its_part_of_all_nodes_that_there_were() {
    let mut book = lessor();
    book.report(at(0), FOUR);
    let cut_off = Fleet {
        nodes: 1,
        is_cut_off: true,
    };
    let admitted = (0..100).filter(|_| book.admit(at(9_000), TENANT, QUOTA, cut_off).is_ok());
    // Two fifths of a quarter of 60.
    assert!((5..=7).contains(&admitted.count()));
}

#[test]
fn tenants_are_spread_over_nodes_and_stay_when_others_go() {
    let nodes: BTreeSet<NodeId> = (0..74).map(node).collect();
    let mut moved = 0;
    let mut lessors = BTreeSet::new();
    let gone = node(3);
    for tenant in (0..790).map(TenantKey) {
        let before = lessor_of(tenant, &nodes).expect("some");
        let after = lessor_of(tenant, nodes.iter().filter(|one| **one != gone)).expect("some");
        lessors.insert(before);
        assert!(after == before || *before == gone);
        moved += usize::from(after != before);
    }
    assert_eq!(lessors.len(), 74);
    assert!(moved < 30, "{moved}");
}

/// Reports of each node in one second, and the most reports between two to the same node.
#[test]
fn reports_reach_every_node_in_turns() {
    for (nodes, told, longest) in [(11, 10, 1), (74, 64, 2), (295, 64, 5), (984, 64, 16)] {
        let mut turns = ReportTurns::default();
        let others: Vec<usize> = (1..nodes).collect();
        let mut last = vec![0; nodes];
        let mut worst = 0;
        for report in 1..=400 {
            let told_now = turns.take(others.clone());
            assert_eq!(told_now.len(), told, "{nodes} nodes");
            for other in told_now {
                worst = worst.max(report - last[other]);
                last[other] = report;
            }
        }
        assert_eq!(worst, longest, "{nodes} nodes");
        assert!(last[1..].iter().all(|at| 400 - at < longest));
    }
}

#[test]
fn programs_are_remembered_for_a_while() {
    let mut begun = StartedPrograms::default();
    begun.note(at(0), "p");
    assert!(begun.contains("p") && !begun.contains("q"));
    begun.note(at(31_000), "q");
    assert!(begun.contains("p"), "half a minute at least");
    begun.note(at(62_000), "r");
    assert!(!begun.contains("p"));
}
