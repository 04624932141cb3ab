//! Table tests of the queue of due requests.

use elderworks_sidecar_core::due_queue::DueQueue;
use elderworks_sidecar_core::request::RequestKey;
use elderworks_types::Timestamp;

/// A request, its previous due time and its new one.
type Move = (u64, Option<u64>, Option<u64>);

struct Case {
    name: &'static str,
    moves: &'static [Move],
    /// Times, each with the requests that are due.
    due: &'static [(u64, &'static [u64])],
}

const CASES: &[Case] = &[
    Case {
        name: "an empty queue has nothing due",
        moves: &[],
        due: &[(u64::MAX, &[])],
    },
    Case {
        name: "a request is due from its time onwards",
        moves: &[(1, None, Some(10))],
        due: &[(9, &[]), (10, &[1]), (11, &[1])],
    },
    Case {
        name: "due requests are sorted by key, not by time",
        moves: &[(2, None, Some(5)), (1, None, Some(7)), (3, None, Some(6))],
        due: &[(4, &[]), (5, &[2]), (6, &[2, 3]), (7, &[1, 2, 3])],
    },
    Case {
        name: "all requests with the same time are due",
        moves: &[(2, None, Some(5)), (1, None, Some(5))],
        due: &[(4, &[]), (5, &[1, 2])],
    },
    Case {
        name: "a later time replaces an earlier one",
        moves: &[(1, None, Some(5)), (1, Some(5), Some(8))],
        due: &[(5, &[]), (7, &[]), (8, &[1])],
    },
    Case {
        name: "an earlier time replaces a later one",
        moves: &[(1, None, Some(8)), (1, Some(8), Some(5))],
        due: &[(4, &[]), (5, &[1]), (8, &[1])],
    },
    Case {
        name: "rescheduling to the same time has no effect",
        moves: &[(1, None, Some(5)), (1, Some(5), Some(5))],
        due: &[(4, &[]), (5, &[1])],
    },
    Case {
        name: "removing a request keeps others with the same time",
        moves: &[(1, None, Some(5)), (2, None, Some(5)), (1, Some(5), None)],
        due: &[(5, &[2]), (u64::MAX, &[2])],
    },
    Case {
        name: "a removed request can be added again",
        moves: &[(1, None, Some(5)), (1, Some(5), None), (1, None, Some(6))],
        due: &[(5, &[]), (6, &[1])],
    },
];

#[test]
fn requests_are_due_by_time() {
    for case in CASES {
        let mut queue = DueQueue::default();
        for (request, from, to) in case.moves {
            let key = RequestKey::Other(*request);
            queue.reschedule(key, from.map(Timestamp), to.map(Timestamp));
        }
        for (now, expected) in case.due {
            let expected: Vec<RequestKey> =
                expected.iter().copied().map(RequestKey::Other).collect();
            let due = queue.due(Timestamp(*now));
            assert_eq!(due, expected, "{} at {now}", case.name);
        }
    }
}
