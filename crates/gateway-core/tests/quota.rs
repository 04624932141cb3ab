//! One node's decisions on tenants' quotas, as tables.

use std::time::Duration;

use elderworks_gateway_core::quota::{
    Division, Fleet, QuotaRules, QuotaTracker, TenantUse, Ticket,
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

const TENANT: TenantKey = TenantKey(7);

const ALONE: Fleet = Fleet {
    nodes: 1,
    is_cut_off: false,
};

const FOUR: Fleet = Fleet {
    nodes: 4,
    is_cut_off: false,
};

/// A moment well after the book's start.
fn at(ms: u64) -> Timestamp {
    Timestamp((60_000 + ms) * 1_000)
}

fn book(division: Division) -> QuotaTracker {
    QuotaTracker::new(RULES, division, 1, Timestamp(1))
}

fn uses(sent: u32, asked: u32) -> [(TenantKey, TenantUse); 1] {
    [(TENANT, TenantUse { sent, asked })]
}

/// How many of `count` requests at one moment are admitted.
fn admitted(book: &mut QuotaTracker, now: Timestamp, fleet: Fleet, count: u32) -> u32 {
    let admitted = (0..count).filter(|_| book.admit(now, TENANT, QUOTA, fleet).is_ok());
    u32::try_from(admitted.count()).expect("few")
}

fn is_about(count: u32, expected: u32) -> bool {
    // Parts of a request are rounded up or down.
    count.abs_diff(expected) <= 1
}

#[test]
fn one_node_holds_the_quota_alone() {
    let mut book = book(Division::Told);
    let first = admitted(&mut book, at(0), ALONE, 100);
    assert!(is_about(first, 60), "{first}");
    assert_eq!(admitted(&mut book, at(4_800), ALONE, 10), 0);
    let second = admitted(&mut book, at(5_200), ALONE, 100);
    assert!(is_about(second, 60), "{second}");
}

#[test]
fn refused_callers_are_told_when_to_come_back() {
    let mut book = book(Division::Told);
    admitted(&mut book, at(0), ALONE, 100);
    let over = book
        .admit(at(1), TENANT, QUOTA, ALONE)
        .expect_err("used up");
    // One of 60 fits each 83 ms.
    assert_eq!(over.retry_after, Duration::from_millis(200));
    let small = Quota {
        per_second: 0.1,
        burst: 0.0,
    };
    let other = TenantKey(8);
    let over = (0..5).find_map(|_| book.admit(at(1), other, small, ALONE).err());
    assert_eq!(over.expect("used up").retry_after, Duration::from_secs(2));
}

#[test]
fn what_others_have_told_counts() {
    // nodes' use, expected to be admitted of 100: its part of what is left
    let cases: [(&[(u32, u32)], u32); 4] = [
        (&[(0, 0), (0, 0), (0, 0)], 60),
        (&[(20, 0), (20, 0), (20, 0)], 0),
        (&[(10, 0), (10, 0), (10, 0)], 30),
        // Three others ask for as much as this node will have.
        (&[(10, 30), (0, 30), (0, 30)], 25),
    ];
    for (others, expected) in cases {
        let mut book = book(Division::Told);
        for (number, (sent, asked)) in others.iter().enumerate() {
            let node = NodeId::new(format!("n{number}"));
            book.take_report(at(0), node, uses(*sent, *asked));
        }
        let count = admitted(&mut book, at(10), FOUR, 100);
        assert!(count.abs_diff(expected) <= 3, "{others:?}: {count}");
    }
}

#[test]
fn nodes_that_tell_nothing_have_a_little_reserved() {
    let mut book = book(Division::Told);
    let count = admitted(&mut book, at(0), FOUR, 100);
    // A tenth of an even part for each of three.
    assert!(is_about(count, 60 - 4), "{count}");
}

#[test]
fn even_parts_need_nobody() {
    let mut book = book(Division::Even);
    book.take_report(at(0), NodeId::new("n1"), uses(60, 60));
    let count = admitted(&mut book, at(0), FOUR, 100);
    assert!(is_about(count, 15), "{count}");
}

#[test]
fn a_node_that_is_cut_off_takes_less_than_its_even_part() {
    let mut book = book(Division::Told);
    let fleet = Fleet {
        is_cut_off: true,
        ..FOUR
    };
    let count = admitted(&mut book, at(0), fleet, 100);
    assert!(is_about(count, 6), "{count}");
    // One that hears the others is not.
    for number in 0..3 {
        let node = NodeId::new(format!("n{number}"));
        book.take_report(at(10), node, uses(0, 0));
    }
    assert!(admitted(&mut book, at(20), fleet, 100) > 30);
}

#[test]
fn a_new_process_counts_what_it_cannot_know() {
    let started = at(0);
    let fresh = || QuotaTracker::new(RULES, Division::Told, 1, started);
    // ms since the start, expected to be admitted of 100
    for (after, expected) in [(0, 0), (2_500, 30), (5_000, 60)] {
        let now = started + Duration::from_millis(after);
        let count = admitted(&mut fresh(), now, ALONE, 100);
        assert!(is_about(count, expected), "{after} ms: {count}");
    }
    let mut book = fresh();
    let _ = book.admit(at(1), TENANT, QUOTA, FOUR);
    let told = book.report(at(1), FOUR);
    assert_eq!(told.len(), 1);
    assert!(is_about(told[0].1.sent, 15), "{told:?}");
    let mut book = fresh();
    book.note_new_machine();
    let count = admitted(&mut book, at(2_000), ALONE, 100);
    assert!(
        is_about(count, 60),
        "nothing was sent on from there: {count}"
    );
}

#[test]
fn what_was_not_sent_is_given_back() {
    let mut book = book(Division::Told);
    let tickets: Vec<Ticket> = (0..60)
        .filter_map(|_| book.admit(at(0), TENANT, QUOTA, ALONE).ok())
        .collect();
    assert_eq!(admitted(&mut book, at(0), ALONE, 10), 0);
    for ticket in &tickets[..20] {
        book.give_back(*ticket);
    }
    let count = admitted(&mut book, at(0), ALONE, 100);
    assert!(is_about(count, 20), "{count}");
}

#[test]
fn a_request_counts_when_it_is_sent_and_each_time() {
    let mut book = book(Division::Told);
    let ticket = book.admit(at(0), TENANT, QUOTA, ALONE).expect("room");
    book.note_send(at(1_000), ticket);
    book.note_resend(at(2_000), ticket);
    assert_eq!(book.used_by(TENANT), 2);
    book.report(at(5_500), ALONE);
    assert_eq!(book.used_by(TENANT), 2, "sent 4.5 s ago");
    book.report(at(6_500), ALONE);
    assert_eq!(book.used_by(TENANT), 1);
    book.report(at(8_000), ALONE);
    assert_eq!(book.used_by(TENANT), 0);
}

#[test]
fn a_lower_quota_holds_at_once() {
    let mut book = book(Division::Told);
    admitted(&mut book, at(0), ALONE, 30);
    let lower = Quota {
        per_second: 4.0,
        burst: 0.0,
    };
    assert!(book.admit(at(10), TENANT, lower, ALONE).is_err());
    assert!(book.admit(at(10), TENANT, QUOTA, ALONE).is_ok());
}

#[test]
fn little_use_is_not_told() {
    let mut book = book(Division::Told);
    assert!(book.report(at(0), FOUR).is_empty());
    admitted(&mut book, at(0), FOUR, 1);
    assert!(
        book.report(at(0), FOUR).is_empty(),
        "a fifteenth of its part"
    );
    admitted(&mut book, at(0), FOUR, 3);
    assert_eq!(book.report(at(0), FOUR).len(), 1);
}
