//! The circuit breaker of a worker.

use std::time::Duration;

use elderworks_gateway_core::worker_health::{HealthStatus, WorkerHealth};
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
fn an_ejection_is_followed_by_probation() {
    let health = ejected();
    let cases = [
        (0, HealthStatus::Ejected),
        (299, HealthStatus::Ejected),
        (300, HealthStatus::OnProbation),
        (3_299, HealthStatus::OnProbation),
        (3_300, HealthStatus::Healthy),
    ];
    for (milliseconds, expected) in cases {
        assert_eq!(
            health.status(after(milliseconds)),
            expected,
            "{milliseconds} ms"
        );
    }
}

#[test]
fn successes_end_probation() {
    let mut health = ejected();
    health.note_success();
    assert_eq!(health.status(after(300)), HealthStatus::OnProbation);
    health.note_success();
    assert_eq!(health.status(after(300)), HealthStatus::Healthy);
}

#[test]
fn a_failure_on_probation_ejects_for_longer() {
    let mut health = ejected();
    assert!(health.note_failure(after(300)));
    assert_eq!(health.status(after(899)), HealthStatus::Ejected);
    assert_eq!(health.status(after(900)), HealthStatus::OnProbation);
}

#[test]
fn after_a_report_one_local_failure_ejects() {
    let mut health = WorkerHealth::default();
    assert!(!health.note_ejection_report(START, NodeId::new("n2")));
    assert_eq!(
        health.status(START),
        HealthStatus::Healthy,
        "the worker may be unreachable from that node only"
    );
    assert!(health.note_failure(START));
}

#[test]
fn reports_of_two_nodes_eject_but_not_of_one() {
    let mut health = WorkerHealth::default();
    assert!(!health.note_ejection_report(START, NodeId::new("n2")));
    assert!(!health.note_ejection_report(after(10), NodeId::new("n2")));
    assert!(health.note_ejection_report(after(20), NodeId::new("n3")));
    assert_eq!(health.status(after(20)), HealthStatus::Ejected);
}

#[test]
fn expired_reports_do_not_count() {
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
    assert_eq!(health.status(after(300)), HealthStatus::OnProbation);
}
