//! To which request a worker's answer belongs, and when it proves that the request was not run.

use elderworks_gateway_core::answers::{
    AnswerHead, CarriedRequests, NamedRequest, Outcome, WaitingRequest,
};
use proptest::prelude::*;

use NamedRequest::{Id, Nothing, Unclear};
use Outcome::{Answered, NotRun, Unknown};

const OWN: &str = "r2";

/// Where a request waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// On a new connection, for the first answer.
    New,
    /// On a new connection, after an answer to another request.
    NewAfterSkip,
    /// On a connection that carried a request before.
    Kept,
}

const PLACES: [Place; 3] = [Place::New, Place::NewAfterSkip, Place::Kept];

fn waiting(id: Option<&str>, place: Place) -> WaitingRequest<'_> {
    WaitingRequest {
        id,
        carried: u32::from(place == Place::Kept),
        skipped: u32::from(place == Place::NewAfterSkip),
    }
}

/// The outcomes of an answer on a new connection, after a skipped answer, and on a kept connection.
fn outcomes(id: Option<&str>, answer: AnswerHead<'_>) -> [Option<Outcome>; 3] {
    PLACES.map(|place| answer.outcome(&waiting(id, place)))
}

struct Case {
    named: NamedRequest<'static>,
    status: u16,
    is_marked: bool,
    expected: [Option<Outcome>; 3],
}

const fn case(
    named: NamedRequest<'static>,
    status: u16,
    is_marked: bool,
    expected: [Option<Outcome>; 3],
) -> Case {
    Case {
        named,
        status,
        is_marked,
        expected,
    }
}

const ANYWHERE: [Option<Outcome>; 3] = [Some(NotRun); 3];
const ON_NEW_ONLY: [Option<Outcome>; 3] = [Some(NotRun), None, None];
const ANOTHERS: [Option<Outcome>; 3] = [None; 3];

const CASES: &[Case] = &[
    case(Id(OWN), 200, false, [Some(Answered); 3]),
    case(Id(OWN), 400, false, [Some(Answered); 3]),
    case(Id(OWN), 500, false, [Some(Answered); 3]),
    case(Id(OWN), 504, false, [Some(Answered); 3]),
    case(Id(OWN), 400, true, ANYWHERE),
    case(Id(OWN), 421, true, ANYWHERE),
    case(Id(OWN), 421, false, ANYWHERE),
    case(Id(OWN), 429, true, ANYWHERE),
    case(Id(OWN), 503, true, ANYWHERE),
    case(Id(OWN), 402, false, [Some(Unknown); 3]),
    case(Id(OWN), 408, false, [Some(Unknown); 3]),
    case(Id(OWN), 429, false, [Some(Unknown); 3]),
    case(Id(OWN), 503, false, [Some(Unknown); 3]),
    case(Id(OWN), 200, true, [Some(Unknown); 3]),
    case(Id(OWN), 402, true, [Some(Unknown); 3]),
    case(Id(OWN), 408, true, [Some(Unknown); 3]),
    case(Id(OWN), 500, true, [Some(Unknown); 3]),
    case(Id(OWN), 504, true, [Some(Unknown); 3]),
    case(Nothing, 400, true, ON_NEW_ONLY),
    case(Nothing, 421, true, ON_NEW_ONLY),
    case(Nothing, 421, false, ON_NEW_ONLY),
    case(Nothing, 429, true, ON_NEW_ONLY),
    case(Nothing, 503, true, ON_NEW_ONLY),
    case(Nothing, 200, false, ANOTHERS),
    case(Nothing, 200, true, ANOTHERS),
    case(Nothing, 503, false, ANOTHERS),
    case(Nothing, 504, true, ANOTHERS),
    case(Id("r1"), 503, true, ANOTHERS),
    case(Id("r1"), 421, false, ANOTHERS),
    case(Id(""), 503, true, ANOTHERS),
    case(Id(""), 421, false, ANOTHERS),
    case(Unclear, 200, false, ANOTHERS),
    case(Unclear, 503, true, ANOTHERS),
    case(Unclear, 421, false, ANOTHERS),
];

#[test]
fn answers_to_a_request_with_an_id() {
    for case in CASES {
        let answer = AnswerHead {
            named: case.named,
            status: case.status,
            is_marked: case.is_marked,
        };
        assert_eq!(outcomes(Some(OWN), answer), case.expected, "{answer:?}");
    }
}

#[test]
fn answers_to_a_request_without_an_id() {
    let answer = |named, status, is_marked| AnswerHead {
        named,
        status,
        is_marked,
    };
    for named in [Nothing, Unclear] {
        let answered = outcomes(None, answer(named, 200, false));
        assert_eq!(answered, [Some(Answered); 3], "{named:?}");
        for refusal in [answer(named, 503, true), answer(named, 421, false)] {
            let expected = [Some(NotRun), Some(Unknown), Some(Unknown)];
            assert_eq!(outcomes(None, refusal), expected, "{refusal:?}");
        }
    }
    assert_eq!(outcomes(None, answer(Id("r1"), 200, false)), ANOTHERS);
    assert_eq!(outcomes(None, answer(Id("r1"), 503, true)), ANOTHERS);
}

#[test]
fn the_request_that_several_ids_name() {
    let cases: [(&[Option<&str>], NamedRequest<'_>); 7] = [
        (&[], Nothing),
        (&[Some("r2")], Id("r2")),
        (&[Some("r2"), Some("r2")], Id("r2")),
        (&[Some("r2"), Some("r1")], Unclear),
        (&[Some("r1"), Some("r2"), Some("r1")], Unclear),
        (&[None], Unclear),
        (&[Some("r2"), None], Unclear),
    ];
    for (ids, expected) in cases {
        assert_eq!(NamedRequest::of(ids.iter().copied()), expected, "{ids:?}");
    }
}

#[test]
fn a_refused_request_is_not_carried_again() {
    let mut carried = CarriedRequests::default();
    assert!(carried.may_carry(Some("r1")));
    carried.note_sent();
    carried.note_refused("r1");
    assert!(!carried.may_carry(Some("r1")));
    assert!(carried.may_carry(Some("r2")));
}

#[test]
fn a_request_without_an_id_is_carried_only_by_a_new_connection() {
    let mut carried = CarriedRequests::default();
    for id in [None, Some("")] {
        assert!(carried.may_carry(id));
    }
    carried.note_sent();
    for id in [None, Some("")] {
        assert!(!carried.may_carry(id));
    }
}

#[test]
fn a_connection_with_many_refusals_is_not_used_further() {
    let mut carried = CarriedRequests::default();
    let mut refused = 0;
    while carried.is_reusable() {
        carried.note_refused(&format!("r{refused}"));
        refused += 1;
        assert!(refused <= 1_000, "the memory is bounded");
    }
    assert!(refused > 10, "a full worker's connections are kept");
}

proptest! {
    /// An answer proves that a request was not run only if it names the request or nothing else can be
    /// answered, and only with a status that says so.
    #[test]
    fn no_refusal_without_proof(
        ids in proptest::collection::vec(proptest::option::of("r[12]|"), 0..3),
        own in proptest::option::of("r[12]"),
        status in 100_u16..600,
        is_marked: bool,
        carried in 0_u32..3,
        skipped in 0_u32..3,
    ) {
        let named = NamedRequest::of(ids.iter().map(|id| id.as_deref()));
        let answer = AnswerHead { named, status, is_marked };
        let waiting = WaitingRequest { id: own.as_deref(), carried, skipped };
        if answer.outcome(&waiting) == Some(NotRun) {
            let is_named = !ids.is_empty() && ids.iter().all(|id| id.is_some() && *id == own);
            let is_only = carried == 0 && skipped == 0;
            prop_assert!(is_named || is_only);
            prop_assert!(is_marked || status == 421);
            prop_assert!([400, 421, 429, 503].contains(&status));
            let names_another = ids.iter().flatten().any(|id| Some(id) != own.as_ref());
            prop_assert!(!names_another || own.is_none() && ids.len() > 1);
        }
    }
}
