//! Calls across lost connections, moved partitions, repeated requests and silent nodes.

use std::time::Duration;

use crate::bench::{
    Bench, FIRST_PARTITION, RUN, call_id, call_spec, chunk, completed, ended, node_a, node_b,
};
use elderworks_protocol::sidecar::{
    Delivered, NodeAddress, NodeMessage, SidecarMessage, SubmissionId, SubmissionTag,
};
use elderworks_sidecar_core::{CallerReply, Event};
use elderworks_types::{
    Attempt, CallNumber, FailureReason, NodeId, Outcome, Refusal, RefusalReason, TenantId,
    UnknownReason,
};

fn refused(reason: RefusalReason) -> Outcome {
    Outcome::Refused(Refusal {
        reason,
        retry_after: None,
    })
}

fn reason_of(outcome: &Outcome) -> Option<RefusalReason> {
    match outcome {
        Outcome::Refused(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn a_call_is_sent_to_its_owner_and_acknowledged_when_complete() {
    let mut bench = Bench::new();
    bench.event(Event::Tick);
    assert_eq!(bench.connects, [node_a(), node_b()]);
    bench.call(1, call_spec(true, None));
    bench.event(Event::Connected { address: node_a() });
    assert!(matches!(
        bench.sent[0].1,
        SidecarMessage::Locate { partition } if partition == FIRST_PARTITION
    ));
    bench.event(Event::Connected { address: node_b() });
    bench.report_owner(node_a(), node_b());
    assert_eq!(bench.submissions(), [node_b()]);
    bench.receive(node_b(), chunk(1, 0, "who"));
    bench.receive(node_b(), ended(completed("whole")));
    assert_eq!(bench.text(1), "whole");
    assert_eq!(bench.outcomes(1), [completed("whole")]);
    let last = bench.sent.last().expect("an acknowledgement");
    assert_eq!(
        *last,
        (node_b(), SidecarMessage::Acknowledge { call: call_id() })
    );
    assert_eq!(bench.core.open_requests(), 0);
}

#[test]
fn chunks_form_the_full_answer_despite_repetitions_gaps_and_restarts() {
    type Steps = &'static [(u32, u32, &'static str)];
    let cases: &[(&str, Steps)] = &[
        ("in order", &[(1, 0, "ab"), (1, 1, "cd"), (1, 2, "ef")]),
        (
            "repeated",
            &[(1, 0, "ab"), (1, 0, "ab"), (1, 1, "cd"), (1, 0, "ab")],
        ),
        ("with a gap", &[(1, 0, "ab"), (1, 2, "ef")]),
        (
            "continued by another attempt",
            &[(1, 0, "ab"), (2, 1, "cd"), (2, 2, "ef")],
        ),
        (
            "restarted with other chunk boundaries",
            &[(1, 0, "abc"), (2, 0, "ab"), (2, 1, "cd"), (2, 2, "ef")],
        ),
        (
            "restarted with a different text",
            &[(1, 0, "xyz"), (2, 0, "ab"), (2, 1, "cd")],
        ),
        (
            "late chunks of an older attempt",
            &[(2, 0, "ab"), (1, 0, "zz"), (1, 1, "yy")],
        ),
        (
            "restarted twice",
            &[(1, 0, "abcd"), (2, 0, "a"), (3, 0, "abcde")],
        ),
        ("no chunks before the end", &[]),
    ];
    for (name, steps) in cases {
        let mut bench = Bench::with_owner(node_a());
        bench.call(1, call_spec(true, None));
        for (attempt, index, text) in *steps {
            bench.receive(node_a(), chunk(*attempt, *index, text));
        }
        bench.receive(node_a(), ended(completed("abcdef")));
        assert_eq!(bench.text(1), "abcdef", "{name}");
        assert_eq!(bench.outcomes(1), [completed("abcdef")], "{name}");
    }
}

#[test]
fn an_answer_that_differs_from_its_chunks_is_announced_as_restarted() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(true, None));
    bench.receive(node_a(), chunk(1, 0, "other"));
    bench.receive(node_a(), ended(completed("answer")));
    assert!(bench.replies.contains(&(1, CallerReply::Restarted)));
}

#[test]
fn answers_of_other_calls_are_ignored() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(true, None));
    let mut crossed = ended(completed("not yours"));
    if let NodeMessage::CallEnded { call, .. } = &mut crossed {
        call.number = CallNumber(2);
    }
    bench.receive(node_a(), crossed);
    assert!(bench.replies.is_empty());
}

#[test]
fn a_call_is_resubmitted_if_its_answer_does_not_match_the_digest() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(true, None));
    let mut broken = ended(completed("abc"));
    if let NodeMessage::CallEnded { digest, .. } = &mut broken {
        *digest += 1;
    }
    bench.receive(node_a(), broken);
    assert!(bench.outcomes(1).is_empty());
    assert_eq!(bench.submissions(), [node_a(), node_a()]);
    bench.receive(node_a(), ended(completed("abc")));
    assert_eq!(bench.text(1), "abc");
}

#[test]
fn after_a_lost_connection_the_new_owner_receives_the_delivered_progress() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(true, None));
    bench.receive(node_a(), chunk(3, 0, "ab"));
    bench.event(Event::Disconnected { address: node_a() });
    bench.advance(Duration::from_secs(1));
    bench.report_owner(node_b(), node_b());
    assert_eq!(bench.submissions(), [node_a(), node_b()]);
    let (_, last) = bench.sent.last().expect("the second submission");
    let expected = Delivered {
        attempt: Some(Attempt(3)),
        chunks: 1,
        text: "ab".to_owned(),
    };
    assert!(matches!(last, SidecarMessage::SubmitCall { delivered, .. } if *delivered == expected));
    bench.receive(node_b(), chunk(4, 1, "cd"));
    bench.receive(node_b(), ended(completed("abcd")));
    assert_eq!(bench.text(1), "abcd");
}

#[test]
fn a_call_follows_a_redirect_to_the_new_owner() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(false, None));
    bench.receive(
        node_a(),
        NodeMessage::NotOwner {
            run: RUN,
            number: Some(CallNumber(1)),
            owner: Some(NodeAddress {
                node: NodeId::new("b"),
                address: node_b(),
            }),
        },
    );
    bench.advance(Duration::from_secs(1));
    assert_eq!(bench.submissions(), [node_a(), node_b()]);
    // The first node rejected the call, so the second one's refusal proves that it was not run.
    bench.receive(node_b(), ended(refused(RefusalReason::Overloaded)));
    assert_eq!(bench.outcomes(1), [refused(RefusalReason::Overloaded)]);
}

#[test]
fn a_call_that_moved_after_it_was_accepted_is_not_refused() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(false, None));
    let call = call_id();
    bench.receive(node_a(), NodeMessage::CallMoved { call });
    bench.advance(Duration::from_secs(1));
    bench.report_owner(node_b(), node_b());
    assert_eq!(bench.submissions(), [node_a(), node_b()]);
    bench.receive(node_b(), ended(refused(RefusalReason::Overloaded)));
    assert!(bench.outcomes(1).is_empty());
}

#[test]
fn a_call_that_was_never_sent_is_refused() {
    for repeatable in [true, false] {
        let mut bench = Bench::new();
        bench.call(1, call_spec(repeatable, None));
        bench.advance(Duration::from_secs(31));
        let outcomes = bench.outcomes(1);
        assert_eq!(outcomes.len(), 1);
        assert_eq!(
            reason_of(&outcomes[0]),
            Some(RefusalReason::NoNodeReachable)
        );
        assert!(bench.submissions().is_empty());
    }
}

#[test]
fn a_call_that_a_lost_node_may_have_accepted_is_never_refused() {
    let reasons = [
        RefusalReason::Overloaded,
        RefusalReason::RunEnded,
        RefusalReason::RunNotFound,
        RefusalReason::NoNodeReachable,
    ];
    for repeatable in [true, false] {
        for reason in reasons {
            let mut bench = Bench::with_owner(node_a());
            let deadline = bench.now + Duration::from_secs(20);
            bench.call(1, call_spec(repeatable, Some(deadline)));
            bench.event(Event::Disconnected { address: node_a() });
            bench.advance(Duration::from_secs(1));
            bench.report_owner(node_b(), node_b());
            bench.receive(node_b(), ended(refused(reason)));
            bench.event(Event::Disconnected { address: node_b() });
            bench.advance(Duration::from_secs(60));
            let outcomes = bench.outcomes(1);
            assert_eq!(outcomes.len(), 1, "{reason:?}");
            match &outcomes[0] {
                Outcome::Unknown(UnknownReason::OwnerLost) => assert!(!repeatable),
                Outcome::Failed(failure) => {
                    assert!(repeatable);
                    assert_eq!(failure.reason, FailureReason::AttemptsExhausted);
                }
                other => panic!("{reason:?} ended as {other:?}"),
            }
        }
    }
}

/// Returns the tags of all submitted calls, in order.
fn submission_tags(bench: &Bench) -> Vec<SubmissionTag> {
    let sent = bench.sent.iter();
    sent.filter_map(|(_, message)| match message {
        SidecarMessage::SubmitCall { submission, .. } => Some(*submission),
        _ => None,
    })
    .collect()
}

/// Returns the end message of call 1 that bars a submission.
fn ended_barring(outcome: Outcome, submission: Option<SubmissionId>) -> NodeMessage {
    let mut message = ended(outcome);
    if let NodeMessage::CallEnded { barred, .. } = &mut message {
        *barred = submission;
    }
    message
}

#[test]
fn copies_of_a_submission_share_its_id_and_are_marked_as_resubmitted() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(true, None));
    bench.event(Event::Disconnected { address: node_a() });
    bench.advance(Duration::from_secs(1));
    bench.report_owner(node_b(), node_b());
    let copies = submission_tags(&bench);
    let id = copies[0].id;
    let expected = [false, true].map(|resubmitted| SubmissionTag { id, resubmitted });
    assert_eq!(copies, expected);
    let refusal = ended_barring(refused(RefusalReason::RunBudgetExhausted), Some(id));
    bench.receive(node_b(), refusal);
    bench.call(2, call_spec(true, None));
    let again = submission_tags(&bench)[2];
    assert!(!again.resubmitted);
    assert_ne!(again.id, id);
}

#[test]
fn a_refusal_that_bars_the_submission_ends_a_call_that_was_sent_before() {
    let other = SubmissionId {
        sidecar: 99,
        number: 99,
    };
    let cases = [
        ("bars this submission", true, false, true),
        ("bars another submission", false, false, false),
        ("follows a chunk of the answer", true, true, false),
    ];
    for (name, is_own, has_received_chunk, is_final) in cases {
        for repeatable in [true, false] {
            let mut bench = Bench::with_owner(node_a());
            bench.call(1, call_spec(repeatable, None));
            if has_received_chunk {
                bench.receive(node_a(), chunk(1, 0, "ab"));
            }
            bench.event(Event::Disconnected { address: node_a() });
            bench.advance(Duration::from_secs(1));
            bench.report_owner(node_b(), node_b());
            let own = submission_tags(&bench)[0].id;
            let submission = if is_own { own } else { other };
            let outcome = refused(RefusalReason::RunBudgetExhausted);
            bench.receive(node_b(), ended_barring(outcome.clone(), Some(submission)));
            let outcomes = bench.outcomes(1);
            assert_eq!(outcomes.len(), 1, "{name}");
            assert_eq!(outcomes[0] == outcome, is_final, "{name}");
        }
    }
}

#[test]
fn a_call_reports_that_the_previous_one_was_abandoned() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(false, None));
    bench.event(Event::Disconnected { address: node_a() });
    bench.advance(Duration::from_secs(1));
    bench.report_owner(node_b(), node_b());
    bench.receive(node_b(), ended(refused(RefusalReason::DeadlinePassed)));
    assert_eq!(bench.outcomes(1).len(), 1, "the call is abandoned");
    let mut second = call_spec(false, None);
    second.number = CallNumber(2);
    bench.call(2, second);
    let (_, last) = bench.sent.last().expect("the second call");
    assert!(matches!(
        last,
        SidecarMessage::SubmitCall {
            abandoned_before: 1,
            ..
        }
    ));
}

#[test]
fn a_late_refusal_of_a_former_owner_is_ignored() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(false, None));
    bench.advance(Duration::from_secs(6));
    bench.report_owner(node_b(), node_b());
    assert_eq!(bench.submissions(), [node_a(), node_b()]);
    bench.receive(node_a(), ended(refused(RefusalReason::Overloaded)));
    assert!(bench.outcomes(1).is_empty());
    bench.receive(node_b(), ended(completed("done")));
    assert_eq!(bench.outcomes(1), [completed("done")]);
}

#[test]
fn a_full_sidecar_refuses_calls_immediately() {
    let mut bench = Bench::with_settings(|settings| settings.max_open_calls = 1);
    bench.call(1, call_spec(true, None));
    let mut second = call_spec(true, None);
    second.number = CallNumber(2);
    bench.call(2, second);
    let outcomes = bench.outcomes(2);
    assert_eq!(reason_of(&outcomes[0]), Some(RefusalReason::Overloaded));
}

#[test]
fn a_repeated_request_shares_the_answer_and_a_different_one_is_refused() {
    let mut bench = Bench::with_owner(node_a());
    bench.call(1, call_spec(true, None));
    bench.receive(node_a(), chunk(1, 0, "ab"));
    bench.call(2, call_spec(true, Some(bench.now + Duration::from_secs(9))));
    bench.call(3, call_spec(false, None));
    bench.event(Event::Call {
        request: 4,
        tenant: TenantId::new("stranger"),
        run: RUN,
        spec: call_spec(true, None),
    });
    bench.event(Event::CallerDisconnected { request: 1 });
    bench.receive(node_a(), ended(completed("abc")));
    assert_eq!(bench.submissions().len(), 1);
    assert_eq!(bench.text(2), "abc");
    assert!(bench.outcomes(1).is_empty());
    assert_eq!(
        reason_of(&bench.outcomes(3)[0]),
        Some(RefusalReason::CallNumberReused)
    );
    assert_eq!(
        reason_of(&bench.outcomes(4)[0]),
        Some(RefusalReason::RunNotFound)
    );
    bench.call(5, call_spec(false, None));
    assert_eq!(
        reason_of(&bench.outcomes(5)[0]),
        Some(RefusalReason::CallNumberReused)
    );
}
