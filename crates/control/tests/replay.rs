//! Replay of the control stream: conflicts, replies and ignored records.

mod support;

use elderworks_control::{ControlError, Effect, Event};
use elderworks_types::resource::Kind;
use elderworks_types::{Credits, Offset};
use support::{NOW, TestLog, budget, configuration, delete, put, reader, tool_service};

/// Proposes a change, appends the resulting record and returns the effects of reading it.
fn propose(
    log: &mut TestLog,
    control: &mut elderworks_control::Control,
    sequence: u64,
    body: elderworks_control::ControlBody,
) -> Vec<Effect> {
    let effects = control.handle(NOW, Event::Propose { request: 7, body });
    let [Effect::Append(body)] = effects.as_slice() else {
        panic!("expected one append, found {effects:?}");
    };
    log.append("a", 0, sequence, body.clone());
    log.replay(control)
}

#[test]
fn accepted_change_is_confirmed_when_its_record_is_read() {
    let mut log = TestLog::with_nodes(&["a"]);
    let mut control = reader("a", 0);
    assert_eq!(log.replay(&mut control), []);
    assert!(control.has_started());

    let effects = propose(&mut log, &mut control, 2, put(budget("b", "t", 10), None));

    let [
        Effect::Changed(change),
        Effect::Reply { request: 7, result },
    ] = effects.as_slice()
    else {
        panic!("unexpected effects {effects:?}");
    };
    assert_eq!(result.as_ref(), Ok(change));
    assert_eq!(change.revision, Offset(1));
    assert_eq!(control.tenant_limit(&"t".into()), Some(Credits(10)));
}

#[test]
fn expected_revision_is_checked_in_log_order() {
    struct Case {
        name: &'static str,
        expected: Option<u64>,
        accepted: bool,
    }
    let cases = [
        Case {
            name: "unconditional",
            expected: None,
            accepted: true,
        },
        Case {
            name: "current",
            expected: Some(1),
            accepted: true,
        },
        Case {
            name: "must not exist",
            expected: Some(0),
            accepted: false,
        },
        Case {
            name: "stale",
            expected: Some(9),
            accepted: false,
        },
    ];
    for case in cases {
        let mut log = TestLog::with_nodes(&["a"]);
        let mut control = reader("a", 0);
        log.replay(&mut control);
        propose(
            &mut log,
            &mut control,
            2,
            put(budget("b", "t", 10), Some(0)),
        );
        let second = put(budget("b", "t", 20), case.expected);
        let effects = propose(&mut log, &mut control, 3, second);
        let Some(Effect::Reply { result, .. }) = effects.last() else {
            panic!("{}: no reply in {effects:?}", case.name);
        };
        match case.accepted {
            true => assert!(result.is_ok(), "{}: {result:?}", case.name),
            false => assert_eq!(
                *result,
                Err(ControlError::Conflict {
                    expected: Offset(case.expected.unwrap_or(0)),
                    found: Offset(1),
                }),
                "{}",
                case.name
            ),
        }
    }
}

#[test]
fn losing_proposal_gets_the_conflicting_revision() {
    let mut log = TestLog::with_nodes(&["a", "b"]);
    let mut control = reader("a", 0);
    log.replay(&mut control);
    log.append("b", 1, 2, put(budget("b", "t", 99), Some(0)));

    let effects = propose(
        &mut log,
        &mut control,
        2,
        put(budget("b", "t", 10), Some(0)),
    );

    let conflict = ControlError::Conflict {
        expected: Offset(0),
        found: Offset(2),
    };
    let last = effects.last();
    assert_eq!(
        last,
        Some(&Effect::Reply {
            request: 7,
            result: Err(conflict)
        })
    );
    assert_eq!(control.tenant_limit(&"t".into()), Some(Credits(99)));
}

#[test]
fn repeated_record_takes_effect_once() {
    let mut log = TestLog::with_nodes(&["a"]);
    let mut control = reader("a", 0);
    log.replay(&mut control);
    propose(&mut log, &mut control, 2, put(budget("b", "t", 10), None));
    propose(&mut log, &mut control, 3, delete(Kind::Budget, "b", None));

    log.append("a", 0, 2, put(budget("b", "t", 10), None));

    assert_eq!(log.replay(&mut control), []);
    assert_eq!(control.get(Kind::Budget, &"b".into()), None);
}

#[test]
fn duplicate_record_does_not_confirm_the_next_equal_change() {
    let mut log = TestLog::with_nodes(&["a"]);
    let mut control = reader("a", 0);
    log.replay(&mut control);
    let body = put(budget("b", "t", 10), Some(0));
    propose(&mut log, &mut control, 2, body.clone());
    let effects = control.handle(
        NOW,
        Event::Propose {
            request: 8,
            body: body.clone(),
        },
    );
    assert_eq!(effects.len(), 1);

    log.append("a", 0, 2, body.clone());
    assert_eq!(
        log.replay(&mut control),
        [],
        "a late duplicate of the first gets no reply"
    );

    log.append("a", 0, 3, body);
    let effects = log.replay(&mut control);
    assert!(
        matches!(
            effects.as_slice(),
            [Effect::Reply {
                request: 8,
                result: Err(ControlError::Conflict { .. })
            }]
        ),
        "{effects:?}"
    );
}

#[test]
fn record_of_an_unregistered_writer_is_ignored() {
    let mut log = TestLog::with_nodes(&["a"]);
    let mut control = reader("a", 0);
    log.append("stranger", 4, 1, put(budget("b", "t", 10), None));
    log.replay(&mut control);
    assert_eq!(control.get(Kind::Budget, &"b".into()), None);
}

#[test]
fn unchanged_put_keeps_its_revision() {
    let mut log = TestLog::with_nodes(&["a"]);
    let mut control = reader("a", 0);
    log.replay(&mut control);
    propose(
        &mut log,
        &mut control,
        2,
        put(tool_service("s", "tool"), None),
    );

    let effects = propose(
        &mut log,
        &mut control,
        3,
        put(tool_service("s", "tool"), None),
    );

    let [
        Effect::Reply {
            result: Ok(change), ..
        },
    ] = effects.as_slice()
    else {
        panic!("unexpected effects {effects:?}");
    };
    assert_eq!(change.revision, Offset(1));
    assert_eq!(control.revision(), Offset(2));
}

#[test]
fn queued_proposals_are_rejected_when_the_log_is_unreachable() {
    let mut log = TestLog::with_nodes(&["a"]);
    let mut control = reader("a", 0);
    let early = control.handle(
        NOW,
        Event::Propose {
            request: 1,
            body: put(budget("b", "t", 1), None),
        },
    );
    let unavailable = |request| Effect::Reply {
        request,
        result: Err(ControlError::Unavailable),
    };
    assert_eq!(early, [unavailable(1)], "before the node has registered");
    log.replay(&mut control);
    let in_flight = put(budget("b", "t", 2), None);
    control.handle(
        NOW,
        Event::Propose {
            request: 2,
            body: in_flight.clone(),
        },
    );
    let waiting = put(budget("b", "t", 3), None);
    control.handle(
        NOW,
        Event::Propose {
            request: 3,
            body: waiting.clone(),
        },
    );

    let down = control.handle(NOW, Event::LogReachable(false));
    assert_eq!(
        down,
        [unavailable(3)],
        "the proposal in flight may have been appended"
    );
    let late = control.handle(
        NOW,
        Event::Propose {
            request: 4,
            body: waiting,
        },
    );
    assert_eq!(late, [unavailable(4)]);

    log.append("a", 0, 2, in_flight);
    let effects = log.replay(&mut control);
    assert!(
        matches!(
            effects.last(),
            Some(Effect::Reply {
                request: 2,
                result: Ok(_)
            })
        ),
        "{effects:?}"
    );
}

#[test]
fn configuration_applies_and_reverts_to_the_default() {
    let mut log = TestLog::with_nodes(&["a"]);
    let mut control = reader("a", 0);
    log.replay(&mut control);
    let values = [("call.modelTimeout", "45s"), ("call.maxAttempts", "2")];
    propose(
        &mut log,
        &mut control,
        2,
        put(configuration("c", &values), None),
    );
    assert_eq!(control.settings().model_call_timeout.as_secs(), 45);
    assert_eq!(control.settings().max_attempts, 2);

    propose(
        &mut log,
        &mut control,
        3,
        delete(Kind::Configuration, "c", Some(1)),
    );
    assert_eq!(control.settings(), &elderworks_control::Settings::default());
}
