//! The circuit breaker of a worker.

use std::time::Duration;

use elderworks_gateway_core::worker_health::{Standing, WorkerHealth};
use elderworks_types::{NodeId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn after(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

fn ejected() -> WorkerHealth {
    let mut health = WorkerHealth::default();
    assert!(!health.note_failure(START));
    assert!(health.note_failure(START));
    health
}

#[test]
fn an_ejection_is_followed_by_a_probation() {
    let health = ejected();
    let cases = [
        (0, Standing::Ejected),
        (299, Standing::Ejected),
        (300, Standing::OnProbation),
        (3_299, Standing::OnProbation),
        (3_300, Standing::Good),
    ];
    for (milliseconds, expected) in cases {
        assert_eq!(
            health.standing(after(milliseconds)),
            expected,
            "{milliseconds} ms"
        );
    }
}

#[test]
fn successes_end_a_probation() {
    let mut health = ejected();
    health.note_success();
    assert_eq!(health.standing(after(300)), Standing::OnProbation);
    health.note_success();
    assert_eq!(health.standing(after(300)), Standing::Good);
}

#[test]
fn a_failure_on_probation_ejects_for_longer() {
    let mut health = ejected();
    assert!(health.note_failure(after(300)));
    assert_eq!(health.standing(after(899)), Standing::Ejected);
    assert_eq!(health.standing(after(900)), Standing::OnProbation);
}

#[test]
fn after_a_report_one_failure_of_our_own_ejects() {
    let mut health = WorkerHealth::default();
    assert!(!health.note_ejection_report(START, NodeId::new("n2")));
    assert_eq!(
        health.standing(START),
        Standing::Good,
        "it may be cut off there alone"
    );
    assert!(health.note_failure(START));
}

#[test]
fn two_nodes_reports_eject_and_one_nodes_do_not() {
    let mut health = WorkerHealth::default();
    assert!(!health.note_ejection_report(START, NodeId::new("n2")));
    assert!(!health.note_ejection_report(after(10), NodeId::new("n2")));
    assert!(health.note_ejection_report(after(20), NodeId::new("n3")));
    assert_eq!(health.standing(after(20)), Standing::Ejected);
}

#[test]
fn an_old_report_confirms_nothing() {
    let mut health = WorkerHealth::default();
    health.note_ejection_report(START, NodeId::new("n2"));
    assert!(!health.note_ejection_report(after(2_000), NodeId::new("n3")));
}

#[test]
fn further_reports_do_not_prolong_an_ejection() {
    let mut health = ejected();
    for (number, milliseconds) in [(2, 250), (3, 260), (4, 270)] {
        let node = NodeId::new(format!("n{number}"));
        assert!(!health.note_ejection_report(after(milliseconds), node));
    }
    assert_eq!(health.standing(after(300)), Standing::OnProbation);
}
