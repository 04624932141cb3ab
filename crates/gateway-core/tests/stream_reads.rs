//! Tests how late the follower of a stream receives a change, on a simulated clock.

use std::time::Duration;

use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::stream_reads::{ReadTimeouts, StreamReadSchedule, UpdateDeadlines};

/// Milliseconds since the start of the test.
type Millis = u64;

/// Time from a request to its answer if data is available, in milliseconds.
const ROUND_TRIP: Millis = 10;

/// Fraction of the deadline within which a change must be received. The rest covers the propagation
/// of the record, processing, and clock differences.
const RECEIVE_FRACTION: f64 = 0.8;

/// A log that loses all requests and answers during an outage. An outage without length drops
/// existing connections, while new ones work.
#[derive(Clone, Copy, Debug)]
struct Log {
    outage_starts: Millis,
    outage_ends: Millis,
    /// When the change is appended that the follower must receive.
    change: Millis,
}

impl Log {
    /// Returns when a read that is sent at `sent` would be answered.
    fn answers(&self, sent: Millis, times: ReadTimeouts) -> Millis {
        let waited = self.change.clamp(sent, sent + millis(times.wait));
        waited + ROUND_TRIP
    }

    fn loses(&self, sent: Millis, answered: Millis) -> bool {
        sent < self.outage_ends.max(self.outage_starts + 1) && answered > self.outage_starts
    }
}

fn millis(time: Duration) -> Millis {
    u64::try_from(time.as_millis()).expect("a short duration")
}

/// Returns when a follower receives the change if its first read is sent at `first`.
fn received_at(stream: Stream, deadlines: &UpdateDeadlines, first: Millis, log: &Log) -> Millis {
    let mut reads = StreamReadSchedule::new(stream, deadlines);
    let mut sent = first;
    loop {
        let times = reads.next_read();
        let answered = log.answers(sent, times);
        let ended = if log.loses(sent, answered) {
            reads.note_failure();
            sent + millis(times.wait + times.answer)
        } else {
            reads.note_answer();
            if answered >= log.change + ROUND_TRIP {
                return answered;
            }
            answered
        };
        sent = ended + millis(reads.pause());
    }
}

#[test]
fn a_change_is_received_in_time_after_any_outage() {
    let seconds = Duration::from_secs_f64;
    for (stream, within) in [
        (Stream::Configuration, 2.0),
        (Stream::Configuration, 3.0),
        (Stream::Configuration, 14.0),
        (Stream::Workers, 2.0),
        (Stream::Workers, 3.0),
    ] {
        let deadlines = UpdateDeadlines {
            apply: seconds(within),
            drain: seconds(within),
        };
        let allowed = millis(deadlines.apply.mul_f64(RECEIVE_FRACTION));
        let outage_starts = 5_000;
        for length in [0, 50, 300, 1_000, 3_000, 6_000] {
            for pause in [0, 10, 500, 1_000] {
                let outage_ends = outage_starts + length;
                let log = Log {
                    outage_starts,
                    outage_ends,
                    change: outage_ends + pause,
                };
                for first in (0..=outage_starts).step_by(10) {
                    let took = received_at(stream, &deadlines, first, &log) - log.change;
                    assert!(
                        took <= allowed,
                        "{stream:?} within {within} s: {took} ms, first read at {first}, {log:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn a_change_is_received_immediately_while_the_log_answers() {
    let deadlines = UpdateDeadlines {
        apply: Duration::from_secs(2),
        drain: Duration::from_secs(2),
    };
    for change in (1_000..6_000).step_by(10) {
        let log = Log {
            outage_starts: 60_000,
            outage_ends: 60_000,
            change,
        };
        let received = received_at(Stream::Configuration, &deadlines, 0, &log);
        assert!(received <= change + 2 * ROUND_TRIP, "{received} {log:?}");
    }
}

#[test]
fn repeated_failures_extend_the_timeout_once() {
    let deadlines = UpdateDeadlines {
        apply: Duration::from_secs(2),
        drain: Duration::from_secs(2),
    };
    let mut reads = StreamReadSchedule::new(Stream::Configuration, &deadlines);
    assert!(!reads.next_read().wait.is_zero(), "it waits for updates");
    assert_eq!(reads.note_failure(), 1);
    let first = reads.next_read();
    assert!(first.wait.is_zero(), "it requests existing records");
    assert_eq!(reads.note_failure(), 2);
    let second = reads.next_read();
    assert!(second.answer > first.answer);
    reads.note_failure();
    assert_eq!(reads.next_read(), second, "the timeout grows no further");
    assert_eq!(reads.note_answer(), 3);
    assert!(
        !reads.next_read().wait.is_zero(),
        "it waits for updates again"
    );
}
