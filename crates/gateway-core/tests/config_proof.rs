//! Table tests of the freshness of a node's configuration.

use std::time::Duration;

use elderworks_gateway_core::config_proof::{
    ConfigProof, PeerProof, ProofRequestTimer, denial_lease_of, lease_of, proof_interval,
    proof_request_age,
};
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::stream_reads::{StreamReadSchedule, UpdateDeadlines};
use elderworks_types::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn leases_leave_a_margin() {
    assert_eq!(lease_of(ms(5_000)), ms(4_500));
    assert_eq!(denial_lease_of(ms(3_000)), ms(2_500));
}

#[test]
fn the_newest_proof_counts() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    assert_eq!(proof.age(at(10_000)), None);
    proof.note_read(at(8_000));
    proof.note_read(at(6_000));
    assert_eq!(proof.age(at(10_000)), Some(ms(2_000)));
    assert!(proof.holds(at(10_000), ms(2_001)));
    assert!(!proof.holds(at(10_000), ms(2_000)));
}

#[test]
fn a_new_configuration_needs_its_own_proof() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_read(at(8_000));
    proof.replace(3);
    assert_eq!(proof.age(at(9_000)), Some(ms(1_000)));
    proof.replace(4);
    assert_eq!(proof.age(at(9_000)), None);
}

#[test]
fn proofs_of_other_nodes() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_read(at(1_000));
    assert_eq!(
        proof.record_peer_proof(2, at(9_000), ms(0)),
        PeerProof::Older
    );
    assert_eq!(
        proof.record_peer_proof(4, at(9_000), ms(0)),
        PeerProof::Newer
    );
    assert_eq!(proof.age(at(9_000)), Some(ms(8_000)));
    assert_eq!(
        proof.record_peer_proof(3, at(9_000), ms(500)),
        PeerProof::Counts
    );
    assert_eq!(proof.age(at(9_000)), Some(ms(500)));
}

#[test]
fn a_proof_of_a_newer_version_counts_once_it_is_active() {
    struct Case {
        name: &'static str,
        proofs: &'static [(u64, u64)],
        active: u64,
        age: Option<u64>,
    }
    let case = |name, proofs, active, age| Case {
        name,
        proofs,
        active,
        age,
    };
    let cases = [
        case(
            "the proof is for the active version",
            &[(4, 500)],
            4,
            Some(700),
        ),
        case("a later version is active", &[(4, 500)], 5, None),
        case("an earlier version is active", &[(5, 500)], 4, None),
        case(
            "the newest proof counts",
            &[(4, 500), (4, 100), (4, 300)],
            4,
            Some(300),
        ),
        case(
            "the latest version counts",
            &[(5, 500), (4, 100)],
            5,
            Some(700),
        ),
    ];
    for case in cases {
        let mut proof = ConfigProof::default();
        proof.replace(3);
        proof.note_read(at(1_000));
        for (version, age) in case.proofs {
            assert_eq!(
                proof.record_peer_proof(*version, at(9_000), ms(*age)),
                PeerProof::Newer
            );
        }
        assert_eq!(proof.age(at(9_200)), Some(ms(8_200)), "{}", case.name);
        proof.replace(case.active);
        assert_eq!(proof.age(at(9_200)), case.age.map(ms), "{}", case.name);
    }
}

#[test]
fn a_proof_may_be_older_than_the_process() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.record_peer_proof(3, at(1_000), ms(4_000));
    assert_eq!(proof.age(at(1_200)), Some(ms(4_200)));
}

#[test]
fn reads_prove_nothing_while_a_newer_configuration_is_unreadable() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_read(at(1_000));
    proof.note_unreadable();
    proof.note_read(at(9_000));
    assert_eq!(proof.age(at(9_000)), Some(ms(8_000)));
    proof.replace(4);
    proof.note_read(at(9_000));
    assert_eq!(proof.age(at(9_000)), Some(ms(0)));
}

/// Guards against listeners whose proofs are too old to refuse unknown routes. A request is
/// answered within 0.2 s, or 0.4 s if two requests are lost.
#[test]
fn proofs_of_listeners_are_valid_for_refusing_unknown_routes() {
    for apply in [3_000, 5_000, 14_000] {
        let asked_at = proof_request_age(None, ms(apply), false);
        let answered = asked_at + ms(400);
        assert!(answered < denial_lease_of(ms(apply)), "{apply}");
        assert!(
            asked_at > proof_interval(1),
            "a request yields a newer proof"
        );
        assert!(asked_at <= proof_request_age(None, ms(apply), true));
    }
}

#[test]
fn proofs_are_requested_once_the_own_proof_is_old() {
    let lease = proof_request_age(Some(ms(4_500)), ms(3_000), true);
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_read(at(10_000));
    let mut request_timer = ProofRequestTimer::default();
    assert!(!request_timer.is_due(&proof, at(10_900), lease));
    assert!(request_timer.is_due(&proof, at(11_000), lease));
    assert!(
        !request_timer.is_due(&proof, at(11_100), lease),
        "at most one round per interval"
    );
    assert!(request_timer.is_due(&proof, at(11_200), lease));
    proof.record_peer_proof(3, at(11_200), ms(0));
    assert!(!request_timer.is_due(&proof, at(12_000), lease));
}

/// Guards against both late and unnecessary requests: a node whose reads fail requests proofs in
/// time, and a node with an idle stream, whose proof is up to two long-polling waits old, requests
/// none.
#[test]
fn without_keys_proofs_are_requested_only_when_reads_fail() {
    for apply in [2_000, 3_000, 5_000] {
        let age = proof_request_age(None, ms(apply), true);
        let reads = StreamReadSchedule::new(
            Stream::Configuration,
            &UpdateDeadlines {
                apply: ms(apply),
                drain: ms(apply),
            },
        );
        assert!(age > reads.next_read().wait * 2, "{apply}");
        let mut proof = ConfigProof::default();
        assert!(ProofRequestTimer::default().is_due(&proof, at(90_000), age));
        proof.replace(3);
        proof.note_read(at(10_000));
        let late = 10_000 + apply * 7 / 10;
        assert!(!ProofRequestTimer::default().is_due(&proof, at(late - 1), age));
        assert!(ProofRequestTimer::default().is_due(&proof, at(late), age));
    }
}

#[test]
fn the_proof_interval_grows_with_the_number_of_nodes() {
    assert_eq!(proof_interval(1), ms(800));
    assert_eq!(proof_interval(60), ms(9_000));
    assert_eq!(proof_interval(3_200), ms(20_000));
}
