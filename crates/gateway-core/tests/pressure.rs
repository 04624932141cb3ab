//! What is refused, paused and ended as memory runs out.

use std::time::Duration;

use elderworks_gateway_core::pressure::{
    MAX_STALL, MemoryThresholds, Pressure, StallStep, StreamLoad, after_stall, should_read_answer,
    should_read_stream, stream_to_abort,
};

const MIB: usize = 1024 * 1024;

/// The smallest machines have 48 MB.
fn small() -> MemoryThresholds {
    MemoryThresholds::of(48 * MIB)
}

#[test]
fn bodies_are_refused_first_then_streams_and_nothing_that_runs_before_the_last_mark() {
    struct Row {
        held_mib: usize,
        pressure: Pressure,
        takes_body: bool,
        takes_stream: bool,
        should_read_stream: bool,
        should_read_answer: bool,
    }
    let row = |held_mib, pressure, takes_body, takes_stream, reads| Row {
        held_mib,
        pressure,
        takes_body,
        takes_stream,
        should_read_stream: reads,
        should_read_answer: reads,
    };
    let rows = [
        row(0, Pressure::Calm, true, true, true),
        row(11, Pressure::Calm, true, true, true),
        row(12, Pressure::NoNewBodies, false, true, true),
        row(15, Pressure::NoNewBodies, false, true, true),
        row(16, Pressure::NoNewStreams, false, false, true),
        row(19, Pressure::NoNewStreams, false, false, true),
        row(20, Pressure::Full, false, false, false),
        row(40, Pressure::Full, false, false, false),
    ];
    let marks = small();
    for row in rows {
        let held = row.held_mib * MIB;
        let at = row.held_mib;
        let pressure = marks.pressure(held);
        assert_eq!(pressure, row.pressure, "{at} MiB");
        assert_eq!(marks.takes_body(0, held, 1), row.takes_body, "{at} MiB");
        assert_eq!(marks.takes_stream(held), row.takes_stream, "{at} MiB");
        let reads = should_read_stream(1, 64 * 1024, pressure);
        assert_eq!(reads, row.should_read_stream, "{at} MiB");
        assert_eq!(
            should_read_answer(MIB, pressure),
            row.should_read_answer,
            "{at} MiB"
        );
        assert!(
            should_read_stream(0, 0, pressure),
            "a caller that reads is served"
        );
        assert!(should_read_answer(1_000, pressure), "small answers end");
    }
}

#[test]
fn marks_follow_the_machine_and_lie_in_order() {
    for mib in [1, 48, 88, 256, 512, 64 * 1024] {
        let marks = MemoryThresholds::of(mib * MIB);
        assert!(marks.bodies < marks.no_new_bodies, "{mib} MiB");
        assert!(marks.no_new_bodies < marks.no_new_streams, "{mib} MiB");
        assert!(marks.no_new_streams < marks.full, "{mib} MiB");
        assert!(2 * marks.full < mib * MIB, "{mib} MiB");
    }
    assert_eq!(MemoryThresholds::of(64 * 1024 * MIB).bodies, 64 * MIB);
}

#[test]
fn bodies_keep_to_their_own_share_also_while_nothing_else_is_held() {
    let marks = small();
    assert!(marks.takes_body(marks.bodies - 10, marks.bodies - 10, 10));
    assert!(!marks.takes_body(marks.bodies - 10, marks.bodies - 10, 11));
}

#[test]
fn a_stream_is_read_ahead_as_far_as_its_buffer_goes() {
    let rows = [
        (0, 0, true),
        (1, 0, false),
        (0, 100, true),
        (99, 100, true),
        (100, 100, false),
    ];
    for (unsent, buffer, reads) in rows {
        let found = should_read_stream(unsent, buffer, Pressure::Calm);
        assert_eq!(found, reads, "{unsent} of {buffer}");
    }
}

#[test]
fn a_stall_ends_the_wait_of_the_worker() {
    let soon = MAX_STALL - Duration::from_millis(1);
    let rows = [
        (soon, true, StallStep::Wait),
        (soon, false, StallStep::Wait),
        (MAX_STALL, true, StallStep::ReleaseWorker),
        (MAX_STALL, false, StallStep::GiveUp),
    ];
    for (stalled, is_resumable, step) in rows {
        assert_eq!(after_stall(stalled, is_resumable), step, "{stalled:?}");
    }
}

#[test]
fn the_stream_that_holds_most_for_a_caller_that_reads_nothing_is_ended() {
    let load = |id, unsent, stalled| StreamLoad {
        id,
        unsent,
        stalled: Duration::from_millis(stalled),
    };
    let reading = load(1, 9_000, 100);
    let small = load(2, 2_000, 5_000);
    let large = load(3, 3_000, 600);
    let empty = load(4, 0, 9_000);
    assert_eq!(stream_to_abort([reading, small, large, empty]), Some(3));
    assert_eq!(stream_to_abort([reading, small]), Some(2));
    assert_eq!(
        stream_to_abort([reading, empty]),
        None,
        "nobody is to blame"
    );
    assert_eq!(stream_to_abort([]), None);
}
