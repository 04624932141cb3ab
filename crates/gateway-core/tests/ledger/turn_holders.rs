//! Tests of what nodes are told of the end of a turn.

use std::time::Duration;

use elderworks_gateway_core::ledger::{EndReport, MAX_TURN_DURATION, ReportSchedule, TurnHolders};
use elderworks_types::NodeId;

fn node(name: &str) -> NodeId {
    NodeId::new(name)
}

fn report(name: &str, used: u64) -> EndReport {
    EndReport {
        node: node(name),
        used,
    }
}

/// A report that another node had confirmed in the granter's place left the tokens reserved.
#[test]
fn whoever_may_hold_tokens_learns_the_end_of_a_turn() {
    struct Case {
        name: &'static str,
        granter: Option<&'static str>,
        stored_by: Option<&'static str>,
        when_granted: &'static [(&'static str, u64)],
        at_end: &'static [(&'static str, u64)],
    }
    let cases = [
        Case {
            name: "no node has replied",
            granter: None,
            stored_by: None,
            when_granted: &[],
            at_end: &[("a", 0), ("b", 0)],
        },
        Case {
            name: "granted, not stored",
            granter: Some("b"),
            stored_by: None,
            when_granted: &[("a", 0)],
            at_end: &[("b", 7)],
        },
        Case {
            name: "stored by the granter",
            granter: Some("b"),
            stored_by: Some("b"),
            when_granted: &[("a", 0)],
            at_end: &[],
        },
        Case {
            name: "stored by another node, the granter didn't answer",
            granter: Some("b"),
            stored_by: Some("a"),
            when_granted: &[("a", 0)],
            at_end: &[("b", 7)],
        },
    ];
    for case in cases {
        let asked = || vec![node("a"), node("b")];
        let expected = |reports: &[(&str, u64)]| -> Vec<EndReport> {
            let reports = reports.iter();
            reports.map(|(name, used)| report(name, *used)).collect()
        };
        let mut holders = TurnHolders::default();
        if let Some(granter) = case.granter {
            let reports = holders.note_granted(node(granter), asked());
            assert_eq!(reports, expected(case.when_granted), "{}", case.name);
        }
        if let Some(stored_by) = case.stored_by {
            holders.note_stored(&node(stored_by));
        }
        let reports = holders.reports_at_end(asked(), 7);
        assert_eq!(reports, expected(case.at_end), "{}", case.name);
    }
}

/// A node that stands still or is cut off for many seconds holds the tokens until it is told.
#[test]
fn a_report_is_repeated_for_as_long_as_its_node_may_hold_tokens() {
    let mut schedule = ReportSchedule::default();
    let mut elapsed = Duration::ZERO;
    let mut longest = Duration::ZERO;
    while let Some(pause) = schedule.next_pause(elapsed) {
        longest = longest.max(pause);
        elapsed += pause;
    }
    assert!(elapsed >= MAX_TURN_DURATION, "{elapsed:?}");
    assert_eq!(longest, Duration::from_secs(1));
}
