//! The queue of due requests.

use elderworks_sidecar_core::due_queue::DueQueue;
use elderworks_sidecar_core::request::RequestKey;
use elderworks_types::Timestamp;

/// A request moved from one due time to another.
type Move = (u64, Option<u64>, Option<u64>);

struct Case {
    name: &'static str,
    moves: &'static [Move],
    /// Times, each with the requests due then.
    due: &'static [(u64, &'static [u64])],
}

const CASES: &[Case] = &[
    Case {
        name: "an empty queue has nothing due",
        moves: &[],
        due: &[(u64::MAX, &[])],
    },
    Case {
        name: "a request is due from its time on, until it is moved",
        moves: &[(1, None, Some(10))],
        due: &[(9, &[]), (10, &[1]), (11, &[1])],
    },
    Case {
        name: "due requests come in order of their keys, not of their times",
        moves: &[(2, None, Some(5)), (1, None, Some(7)), (3, None, Some(6))],
        due: &[(4, &[]), (5, &[2]), (6, &[2, 3]), (7, &[1, 2, 3])],
    },
    Case {
        name: "requests of the same time are all due",
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
        name: "moving to the same time changes nothing",
        moves: &[(1, None, Some(5)), (1, Some(5), Some(5))],
        due: &[(4, &[]), (5, &[1])],
    },
    Case {
        name: "a request that left is never due, others of its time stay",
        moves: &[(1, None, Some(5)), (2, None, Some(5)), (1, Some(5), None)],
        due: &[(5, &[2]), (u64::MAX, &[2])],
    },
    Case {
        name: "a request that left may come back",
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
