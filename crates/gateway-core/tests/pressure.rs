//! Tests of load shedding under memory pressure.

use std::time::Duration;

use elderworks_gateway_core::pressure::{
    MAX_STALL, MemoryThresholds, Pressure, StallStep, StreamLoad, after_stall, should_read_answer,
    should_read_stream, stream_to_abort,
};

const MIB: usize = 1024 * 1024;

/// Returns the thresholds of the smallest machines, which have 48 MiB.
fn small() -> MemoryThresholds {
    MemoryThresholds::of(48 * MIB)
}

#[test]
fn bodies_are_refused_before_streams_and_running_streams_are_paused_last() {
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
        row(0, Pressure::Normal, true, true, true),
        row(11, Pressure::Normal, true, true, true),
        row(12, Pressure::NoNewBodies, false, true, true),
        row(15, Pressure::NoNewBodies, false, true, true),
        row(16, Pressure::NoNewStreams, false, false, true),
        row(19, Pressure::NoNewStreams, false, false, true),
        row(20, Pressure::Full, false, false, false),
        row(40, Pressure::Full, false, false, false),
    ];
    let thresholds = small();
    for row in rows {
        let held = row.held_mib * MIB;
        let at = row.held_mib;
        let pressure = thresholds.pressure(held);
        assert_eq!(pressure, row.pressure, "{at} MiB");
        assert_eq!(
            thresholds.takes_body(0, held, 1),
            row.takes_body,
            "{at} MiB"
        );
        assert_eq!(thresholds.takes_stream(held), row.takes_stream, "{at} MiB");
        let reads = should_read_stream(1, 64 * 1024, pressure);
        assert_eq!(reads, row.should_read_stream, "{at} MiB");
        assert_eq!(
            should_read_answer(MIB, pressure),
            row.should_read_answer,
            "{at} MiB"
        );
        assert!(
            should_read_stream(0, 0, pressure),
            "a caller that reads is always served"
        );
        assert!(
            should_read_answer(1_000, pressure),
            "small responses complete"
        );
    }
}

#[test]
fn thresholds_scale_with_memory_and_are_ordered() {
    for mib in [1, 48, 88, 256, 512, 64 * 1024] {
        let thresholds = MemoryThresholds::of(mib * MIB);
        assert!(thresholds.bodies < thresholds.no_new_bodies, "{mib} MiB");
        assert!(
            thresholds.no_new_bodies < thresholds.no_new_streams,
            "{mib} MiB"
        );
        assert!(thresholds.no_new_streams < thresholds.full, "{mib} MiB");
        assert!(2 * thresholds.full < mib * MIB, "{mib} MiB");
    }
    assert_eq!(MemoryThresholds::of(64 * 1024 * MIB).bodies, 64 * MIB);
}

#[test]
fn bodies_stay_within_their_own_limit() {
    let thresholds = small();
    assert!(thresholds.takes_body(thresholds.bodies - 10, thresholds.bodies - 10, 10));
    assert!(!thresholds.takes_body(thresholds.bodies - 10, thresholds.bodies - 10, 11));
}

#[test]
fn streams_are_read_ahead_up_to_the_buffer_size() {
    let rows = [
        (0, 0, true),
        (1, 0, false),
        (0, 100, true),
        (99, 100, true),
        (100, 100, false),
    ];
    for (unsent, buffer, reads) in rows {
        let actual = should_read_stream(unsent, buffer, Pressure::Normal);
        assert_eq!(actual, reads, "{unsent} of {buffer}");
    }
}

#[test]
fn a_stall_releases_the_worker() {
    let below_limit = MAX_STALL - Duration::from_millis(1);
    let rows = [
        (below_limit, true, StallStep::Wait),
        (below_limit, false, StallStep::Wait),
        (MAX_STALL, true, StallStep::ReleaseWorker),
        (MAX_STALL, false, StallStep::GiveUp),
    ];
    for (stalled, is_resumable, step) in rows {
        assert_eq!(after_stall(stalled, is_resumable), step, "{stalled:?}");
    }
}

#[test]
fn the_largest_stream_of_a_stalled_caller_is_aborted() {
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
        "no stream has a stalled caller"
    );
    assert_eq!(stream_to_abort([]), None);
}
