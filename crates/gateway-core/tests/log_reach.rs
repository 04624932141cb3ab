//! When a node acts for a partition that is not its own.

use elderworks_gateway_core::log_reachability::LogReachability;

/// What a call to the log has come to.
#[derive(Clone, Copy)]
enum Call {
    Answered,
    Failed,
}

#[test]
fn a_node_that_the_log_does_not_answer_leaves_partitions_to_their_candidates() {
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
        case("nothing is known yet", &[], false, true),
        case(
            "a single failure may be chance",
            &[Answered, Failed],
            false,
            true,
        ),
        case("two in a row", &[Answered, Failed, Failed], false, false),
        case(
            "a candidate tries on",
            &[Failed, Failed, Failed],
            true,
            true,
        ),
        case("back again", &[Failed, Failed, Answered], false, true),
        case("not in a row", &[Failed, Answered, Failed], false, true),
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
