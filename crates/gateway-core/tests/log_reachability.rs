//! Tests when a node that is not a candidate serves a partition.

use elderworks_gateway_core::log_reachability::LogReachability;

/// Result of a call to the log.
#[derive(Clone, Copy)]
enum Call {
    Answered,
    Failed,
}

#[test]
fn a_node_that_cannot_reach_the_log_leaves_partitions_to_their_candidates() {
    use Call::{Answered, Failed};
    struct Case {
        name: &'static str,
        calls: &'static [Call],
        is_candidate: bool,
        may_act: bool,
    }
    let case = |name, calls, is_candidate, may_act| Case {
        name,
        calls,
        is_candidate,
        may_act,
    };
    let cases = [
        case("no calls yet", &[], false, true),
        case("a single failure", &[Answered, Failed], false, true),
        case(
            "two consecutive failures",
            &[Answered, Failed, Failed],
            false,
            false,
        ),
        case(
            "a candidate keeps trying",
            &[Failed, Failed, Failed],
            true,
            true,
        ),
        case("reachable again", &[Failed, Failed, Answered], false, true),
        case(
            "failures that are not consecutive",
            &[Failed, Answered, Failed],
            false,
            true,
        ),
    ];
    for case in cases {
        let mut reach = LogReachability::default();
        for call in case.calls {
            match call {
                Answered => reach.note_answer(),
                Failed => reach.note_failure(),
            }
        }
        assert_eq!(
            reach.may_serve(case.is_candidate),
            case.may_act,
            "{}",
            case.name
        );
    }
}
