//! Each checker is shown a promise that is broken, and one that is kept.

use std::collections::BTreeMap;

use crate::callers::{Kind, Seen, TURN_TOKENS};
use crate::checks::{Evidence, broken_promises};
use crate::fleet::EVENTS;
use crate::standin::caller::{Answer, STAMP_HEADER};
use crate::standin::worker::{Run, event};

fn answer(status: u16, body: &str, is_whole: bool) -> Answer {
    Answer {
        status,
        head: format!("{STAMP_HEADER}: s"),
        body: body.to_owned(),
        is_whole,
    }
}

fn stream(events: u32) -> String {
    (1..=events).map(event).collect()
}

fn seen(kind: Kind, previous: Option<&str>, answer: Option<Answer>) -> Seen {
    Seen {
        kind,
        program: "p".to_owned(),
        input: "input ".to_owned(),
        previous: previous.map(str::to_owned),
        answer,
    }
}

fn run(id: &str, body: &str) -> Run {
    Run {
        request_id: id.to_owned(),
        path: "/x".to_owned(),
        body: body.to_owned(),
        deadline_ms: 1_000,
        last_event_id: None,
        headers: Vec::new(),
        was_cancelled: false,
    }
}

struct Case {
    name: &'static str,
    requests: Vec<(&'static str, Seen)>,
    runs: Vec<Run>,
    broken: bool,
}

/// Turns that were answered whole are spent: one of a budget of one, and not a token more.
#[test]
fn any_budget_that_is_passed_breaks_a_promise() {
    for (turns, is_passed) in [(1, false), (2, true), (3, true)] {
        let whole = || Some(answer(200, &stream(EVENTS), true));
        let requests =
            (0..turns).map(|number| (format!("{number}"), seen(Kind::Turn, None, whole())));
        let evidence = Evidence {
            requests: requests.collect(),
            budgets: BTreeMap::from([("p".to_owned(), TURN_TOKENS)]),
            runs: Vec::new(),
        };
        let broken = broken_promises(&evidence);
        assert_eq!(!broken.is_empty(), is_passed, "{turns} turns: {broken:?}");
    }
}

fn cases() -> Vec<Case> {
    let whole = || Some(answer(200, &stream(EVENTS), true));
    let refused = || Some(answer(503, "", true));
    vec![
        Case {
            name: "a whole turn",
            requests: vec![("a", seen(Kind::TurnOnce, None, whole()))],
            runs: vec![run("a", "input ")],
            broken: false,
        },
        Case {
            name: "a stream that misses an event",
            requests: vec![(
                "a",
                seen(Kind::Turn, None, Some(answer(200, &event(2), false))),
            )],
            runs: vec![run("a", "input ")],
            broken: true,
        },
        Case {
            name: "a part of a stream that ends as whole",
            requests: vec![(
                "a",
                seen(Kind::Turn, None, Some(answer(200, &stream(2), true))),
            )],
            runs: vec![run("a", "input ")],
            broken: true,
        },
        Case {
            name: "an answer to another request",
            requests: vec![(
                "a",
                seen(Kind::SafeCall, None, Some(answer(200, "w other", true))),
            )],
            runs: vec![run("a", "input ")],
            broken: true,
        },
        Case {
            name: "a call that must run once and ran twice",
            requests: vec![("a", seen(Kind::CallOnce, None, None))],
            runs: vec![run("a", "input "), run("a", "input ")],
            broken: true,
        },
        Case {
            name: "a call that may be repeated and ran twice",
            requests: vec![("a", seen(Kind::SafeCall, None, None))],
            runs: vec![run("a", "input "), run("a", "input ")],
            broken: false,
        },
        Case {
            name: "a refusal of what has run",
            requests: vec![("a", seen(Kind::CallOnce, None, refused()))],
            runs: vec![run("a", "input ")],
            broken: true,
        },
        Case {
            name: "a refusal of what may be repeated and has run",
            requests: vec![("a", seen(Kind::SafeCall, None, refused()))],
            runs: vec![run("a", "input ")],
            broken: true,
        },
        Case {
            name: "an answer that leaves open whether it has run",
            requests: vec![("a", seen(Kind::SafeCall, None, Some(answer(502, "", true))))],
            runs: vec![run("a", "input ")],
            broken: false,
        },
        Case {
            name: "a refusal of what has not run",
            requests: vec![("a", seen(Kind::CallOnce, None, refused()))],
            runs: Vec::new(),
            broken: false,
        },
        Case {
            name: "a denial of a kept turn",
            requests: vec![
                ("a", seen(Kind::KeptTurn, None, whole())),
                (
                    "b",
                    seen(Kind::KeptTurn, Some("a"), Some(answer(404, "", true))),
                ),
            ],
            runs: vec![run("a", "input ")],
            broken: true,
        },
        Case {
            name: "a turn without its conversation",
            requests: vec![
                ("a", seen(Kind::KeptTurn, None, whole())),
                ("b", seen(Kind::KeptTurn, Some("a"), None)),
            ],
            runs: vec![run("a", "input "), run("b", "input ")],
            broken: true,
        },
        Case {
            name: "a run of what nobody sent",
            requests: Vec::new(),
            runs: vec![run("a", "input ")],
            broken: true,
        },
        Case {
            name: "a budget that is passed",
            requests: vec![
                ("a", seen(Kind::Turn, None, whole())),
                (
                    "b",
                    seen(Kind::Turn, None, Some(answer(200, &stream(1), false))),
                ),
            ],
            runs: vec![run("a", "input "), run("b", "input ")],
            broken: true,
        },
    ]
}

#[test]
fn every_checker_can_fail() {
    for case in cases() {
        let requests = case.requests.into_iter();
        let evidence = Evidence {
            requests: requests.map(|(id, seen)| (id.to_owned(), seen)).collect(),
            budgets: BTreeMap::from([("p".to_owned(), TURN_TOKENS)]),
            runs: case.runs,
        };
        let broken = broken_promises(&evidence);
        assert_eq!(!broken.is_empty(), case.broken, "{}: {broken:?}", case.name);
    }
}
