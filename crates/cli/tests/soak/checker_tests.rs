//! Tests of the checks: each check accepts correct observations and detects violations.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::callers::{Kind, RequestRecord, TURN_TOKENS};
use crate::checks::{Observations, violations};
use crate::deadly::ObservedDeadly;
use crate::fleet::EVENTS;
use crate::impatient::ImpatientProgram;
use crate::restarts::{DEADLINE, Exchange, Stalls, findings};
use crate::standin::caller::{Answer, STAMP_HEADER};
use crate::standin::worker::{Run, event};

pub fn answer(status: u16, body: &str, is_whole: bool) -> Answer {
    Answer {
        status,
        head: format!("{STAMP_HEADER}: s"),
        body: body.to_owned(),
        is_whole,
    }
}

pub fn stream(events: u32) -> String {
    (1..=events).map(event).collect()
}

pub fn record(kind: Kind, previous: Option<&str>, answer: Option<Answer>) -> RequestRecord {
    RequestRecord {
        kind,
        program: "p".to_owned(),
        input: "input ".to_owned(),
        previous: previous.map(str::to_owned),
        resumes: None,
        had: 0,
        versions: BTreeSet::from(["v1".to_owned()]),
        answer,
    }
}

pub fn run(id: &str, body: &str) -> Run {
    let started = Instant::now();
    Run {
        request_id: id.to_owned(),
        worker: "w".to_owned(),
        started,
        ended: Some(started),
        arrival: 1,
        path: "/x".to_owned(),
        body: body.to_owned(),
        deadline_ms: 1_000,
        last_event_id: None,
        software: "v1".to_owned(),
        headers: Vec::new(),
        was_cancelled: false,
        ended_worker: false,
    }
}

struct Case {
    name: &'static str,
    requests: Vec<(&'static str, RequestRecord)>,
    runs: Vec<Run>,
    is_violation: bool,
}

/// The budget covers exactly one complete turn, so a second one exceeds it.
#[test]
fn exceeding_a_budget_by_any_amount_is_a_violation() {
    for (turns, is_exceeded) in [(1, false), (2, true), (3, true)] {
        let complete = || Some(answer(200, &stream(EVENTS), true));
        let requests =
            (0..turns).map(|number| (format!("{number}"), record(Kind::Turn, None, complete())));
        let observations = Observations {
            requests: requests.collect(),
            budgets: BTreeMap::from([("p".to_owned(), TURN_TOKENS)]),
            runs: Vec::new(),
            deadly: Vec::new(),
            impatient: Vec::new(),
            lost: BTreeMap::new(),
            stalls: Vec::new(),
        };
        let found = violations(&observations);
        assert_eq!(!found.is_empty(), is_exceeded, "{turns} turns: {found:?}");
    }
}

fn cases() -> Vec<Case> {
    let complete = || Some(answer(200, &stream(EVENTS), true));
    let refused = || Some(answer(503, "", true));
    vec![
        Case {
            name: "a complete turn",
            requests: vec![("a", record(Kind::TurnOnce, None, complete()))],
            runs: vec![run("a", "input ")],
            is_violation: false,
        },
        Case {
            name: "a stream with a missing event",
            requests: vec![(
                "a",
                record(Kind::Turn, None, Some(answer(200, &event(2), false))),
            )],
            runs: vec![run("a", "input ")],
            is_violation: true,
        },
        Case {
            name: "a partial stream that ends as complete",
            requests: vec![(
                "a",
                record(Kind::Turn, None, Some(answer(200, &stream(2), true))),
            )],
            runs: vec![run("a", "input ")],
            is_violation: true,
        },
        Case {
            name: "an answer to another request",
            requests: vec![(
                "a",
                record(Kind::SafeCall, None, Some(answer(200, "w other", true))),
            )],
            runs: vec![run("a", "input ")],
            is_violation: true,
        },
        Case {
            name: "a call that must run at most once and ran twice",
            requests: vec![("a", record(Kind::CallOnce, None, None))],
            runs: vec![run("a", "input "), run("a", "input ")],
            is_violation: true,
        },
        Case {
            name: "a call that may be repeated and ran twice",
            requests: vec![("a", record(Kind::SafeCall, None, None))],
            runs: vec![run("a", "input "), run("a", "input ")],
            is_violation: false,
        },
        Case {
            name: "a refusal of an at-most-once call that ran",
            requests: vec![("a", record(Kind::CallOnce, None, refused()))],
            runs: vec![run("a", "input ")],
            is_violation: true,
        },
        Case {
            name: "a refusal of a repeatable call that ran",
            requests: vec![("a", record(Kind::SafeCall, None, refused()))],
            runs: vec![run("a", "input ")],
            is_violation: true,
        },
        Case {
            name: "an error that leaves open whether the call ran",
            requests: vec![(
                "a",
                record(Kind::SafeCall, None, Some(answer(502, "", true))),
            )],
            runs: vec![run("a", "input ")],
            is_violation: false,
        },
        Case {
            name: "a refusal of a call that did not run",
            requests: vec![("a", record(Kind::CallOnce, None, refused()))],
            runs: Vec::new(),
            is_violation: false,
        },
        Case {
            name: "a stored turn that is reported as missing",
            requests: vec![
                ("a", record(Kind::StoredTurn, None, complete())),
                (
                    "b",
                    record(Kind::StoredTurn, Some("a"), Some(answer(404, "", true))),
                ),
            ],
            runs: vec![run("a", "input ")],
            is_violation: true,
        },
        Case {
            name: "a turn that ran without its conversation",
            requests: vec![
                ("a", record(Kind::StoredTurn, None, complete())),
                ("b", record(Kind::StoredTurn, Some("a"), None)),
            ],
            runs: vec![run("a", "input "), run("b", "input ")],
            is_violation: true,
        },
        Case {
            name: "a run without a request",
            requests: Vec::new(),
            runs: vec![run("a", "input ")],
            is_violation: true,
        },
        Case {
            name: "a budget that is exceeded",
            requests: vec![
                ("a", record(Kind::Turn, None, complete())),
                (
                    "b",
                    record(Kind::Turn, None, Some(answer(200, &stream(1), false))),
                ),
            ],
            runs: vec![run("a", "input "), run("b", "input ")],
            is_violation: true,
        },
    ]
}

#[test]
fn each_violation_is_detected() {
    for case in cases() {
        let requests = case.requests.into_iter();
        let observations = Observations {
            requests: requests
                .map(|(id, record)| (id.to_owned(), record))
                .collect(),
            budgets: BTreeMap::from([("p".to_owned(), TURN_TOKENS)]),
            runs: case.runs,
            deadly: Vec::new(),
            impatient: Vec::new(),
            lost: BTreeMap::new(),
            stalls: Vec::new(),
        };
        let found = violations(&observations);
        assert_eq!(
            !found.is_empty(),
            case.is_violation,
            "{}: {found:?}",
            case.name
        );
    }
}

/// An attempt that takes up a stream after `had` events and brings the rest from this version.
fn resumption(had: u32, version: &str) -> RequestRecord {
    let rest = (had + 1..=EVENTS).map(event).collect::<String>();
    RequestRecord {
        resumes: Some("a".to_owned()),
        had,
        versions: BTreeSet::from([version.to_owned()]),
        ..record(Kind::Turn, None, Some(answer(200, &rest, true)))
    }
}

#[test]
fn a_stream_with_events_of_two_versions_is_a_violation() {
    for (had, version, is_violation) in [(2, "v1", false), (2, "v2", true), (3, "v1", true)] {
        let began = record(Kind::Turn, None, Some(answer(200, &stream(2), false)));
        let mut resumed = resumption(had, version);
        if had == 3 {
            // The caller had two events: one is missing.
            resumed.had = 2;
        }
        let observations = Observations {
            requests: BTreeMap::from([("a".to_owned(), began), ("b".to_owned(), resumed)]),
            budgets: BTreeMap::from([("p".to_owned(), TURN_TOKENS)]),
            runs: Vec::new(),
            deadly: Vec::new(),
            impatient: Vec::new(),
            lost: BTreeMap::new(),
            stalls: Vec::new(),
        };
        let found = violations(&observations);
        assert_eq!(
            !found.is_empty(),
            is_violation,
            "{had} {version}: {found:?}"
        );
    }
}

/// Observations of a request with one try for each worker that ended, the last of which is answered.
fn deadly(ended: usize, is_known: bool, last: Option<Answer>) -> Observations {
    let ids: Vec<String> = (0..=ended).map(|number| format!("d{number}")).collect();
    let mut requests: BTreeMap<String, RequestRecord> = ids
        .iter()
        .map(|id| (id.clone(), record(Kind::SafeCall, None, None)))
        .collect();
    requests.insert(format!("d{ended}"), record(Kind::SafeCall, None, last));
    let runs = ids.iter().take(ended).map(|id| Run {
        ended_worker: true,
        ..run(id, "input ")
    });
    Observations {
        requests,
        budgets: BTreeMap::from([("p".to_owned(), TURN_TOKENS)]),
        runs: runs.collect(),
        deadly: vec![ObservedDeadly { ids, is_known }],
        impatient: Vec::new(),
        lost: BTreeMap::new(),
        stalls: Vec::new(),
    }
}

#[test]
fn a_fourth_end_under_a_request_is_a_violation_if_a_node_can_have_known() {
    for (ended, is_known, is_violation) in [
        (3, true, false),
        (4, true, true),
        (4, false, false),
        (0, true, false),
    ] {
        let found = violations(&deadly(ended, is_known, None));
        assert_eq!(!found.is_empty(), is_violation, "{ended}: {found:?}");
    }
}

#[test]
fn giving_up_a_request_after_fewer_ends_is_a_violation() {
    let body = "workers ended while they ran the request; it is sent to no other";
    for (ended, is_violation) in [(0, true), (2, true), (3, false)] {
        let found = violations(&deadly(ended, true, Some(answer(502, body, true))));
        assert_eq!(!found.is_empty(), is_violation, "{ended}: {found:?}");
    }
    let other = answer(502, "no worker gave a valid answer", true);
    assert!(violations(&deadly(0, true, Some(other))).is_empty());
}

#[test]
fn refusing_a_program_for_its_budget_before_any_turn_has_run_is_a_violation() {
    for (has_run, is_refused, is_violation) in [
        (false, true, true),
        (true, true, false),
        (false, false, false),
    ] {
        let program = ImpatientProgram {
            ids: vec!["given-up".to_owned(), "last".to_owned()],
            is_refused,
            started: Instant::now(),
            ended: Instant::now(),
        };
        let attempt = || record(Kind::TurnOnce, None, None);
        let requests = program.ids.iter().map(|id| (id.clone(), attempt()));
        let observations = Observations {
            requests: requests.collect(),
            budgets: BTreeMap::from([("p".to_owned(), TURN_TOKENS)]),
            runs: match has_run {
                true => vec![run("given-up", "input ")],
                false => Vec::new(),
            },
            deadly: Vec::new(),
            impatient: vec![program],
            lost: BTreeMap::new(),
            stalls: Vec::new(),
        };
        let found = violations(&observations);
        assert_eq!(!found.is_empty(), is_violation, "{found:?}");
    }
}

/// Returns an exchange that ended after `took` milliseconds, with this status and completeness.
fn exchange(id: &str, took: u64, answer: Option<(u16, bool)>) -> Exchange {
    let answer = answer.map(|(status, is_whole)| Answer {
        status,
        head: String::new(),
        body: String::new(),
        is_whole,
    });
    Exchange {
        id: id.to_owned(),
        kind: Kind::StoredTurn,
        previous: Some("before".to_owned()),
        node: SocketAddr::from(([127, 0, 0, 1], 1)),
        sent: Instant::now(),
        took: Duration::from_millis(took),
        deadline: DEADLINE,
        answer,
    }
}

#[test]
fn requests_that_were_accepted_and_not_answered_are_lost() {
    let exchanges = [
        exchange("whole", 300, Some((200, true))),
        exchange("refused", 3, Some((503, true))),
        exchange("run-and-cut", 100, Some((200, false))),
        exchange("run-and-closed", 20, None),
        exchange("read-and-closed", 300, None),
        exchange("closed-before-it-was-read", 20, None),
        exchange("cut-at-the-deadline", 1_201, Some((200, false))),
        exchange("missing", 3, Some((404, true))),
    ];
    let ran = [
        "whole",
        "run-and-cut",
        "run-and-closed",
        "cut-at-the-deadline",
    ];
    let ran = ran.map(str::to_owned).into();
    let found = findings(&exchanges, &ran, &Stalls::default(), Instant::now());
    let ids = |found: &[String]| -> Vec<String> {
        let ids = found.iter().filter_map(|text| text.split(' ').next());
        ids.map(str::to_owned).collect()
    };
    let lost = ["run-and-cut", "run-and-closed", "read-and-closed"];
    assert_eq!(ids(&found.lost), lost);
    assert_eq!(ids(&found.late), ["cut-at-the-deadline"]);
    assert_eq!(ids(&found.missing), ["missing"]);
}
