//! How late a follower of a stream learns of a change, on a clock of its own.

use std::time::Duration;

use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::stream_reads::{ReadTimeouts, StreamReadSchedule, UpdateDeadlines};

/// Milliseconds since the test's begin.
type Millis = u64;

/// Time from a request to its answer, when there is something to answer.
const ROUND_TRIP: Millis = 10;

/// Part of the time within which a change must be acted on that may pass until it is learned: the
/// rest is for the way of the record, the processor, and clocks that run apart.
const LEARNING_SHARE: f64 = 0.8;

/// The log: it answers nothing that was asked or would be answered in its silence. A silence
/// without length is that of connections that are forgotten while new ones work.
#[derive(Clone, Copy, Debug)]
struct Log {
    silence_begins: Millis,
    silence_ends: Millis,
    /// When it takes the change that the follower is to learn.
    change: Millis,
}

impl Log {
    /// When a read that is sent at `sent` would be answered.
    fn answers(&self, sent: Millis, times: ReadTimeouts) -> Millis {
        let waited = self.change.clamp(sent, sent + millis(times.wait));
        waited + ROUND_TRIP
    }

    fn loses(&self, sent: Millis, answered: Millis) -> bool {
        sent < self.silence_ends.max(self.silence_begins + 1) && answered > self.silence_begins
    }
}

fn millis(time: Duration) -> Millis {
    u64::try_from(time.as_millis()).expect("a short time")
}

/// When a follower whose first read is sent at `first` learns of the change.
fn learned_at(stream: Stream, deadlines: &UpdateDeadlines, first: Millis, log: &Log) -> Millis {
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
fn a_change_is_learned_in_time_after_any_silence() {
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
        let allowed = millis(deadlines.apply.mul_f64(LEARNING_SHARE));
        let silence_begins = 5_000;
        for length in [0, 50, 300, 1_000, 3_000, 6_000] {
            for pause in [0, 10, 500, 1_000] {
                let silence_ends = silence_begins + length;
                let log = Log {
                    silence_begins,
                    silence_ends,
                    change: silence_ends + pause,
                };
                for first in (0..=silence_begins).step_by(10) {
                    let took = learned_at(stream, &deadlines, first, &log) - log.change;
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
fn a_change_is_learned_at_once_while_the_log_answers() {
    let deadlines = UpdateDeadlines {
        apply: Duration::from_secs(2),
        drain: Duration::from_secs(2),
    };
    for change in (1_000..6_000).step_by(10) {
        let log = Log {
            silence_begins: 60_000,
            silence_ends: 60_000,
            change,
        };
        let learned = learned_at(Stream::Configuration, &deadlines, 0, &log);
        assert!(learned <= change + 2 * ROUND_TRIP, "{learned} {log:?}");
    }
}

#[test]
fn a_log_that_answers_late_is_given_more_time_once_it_has_failed_again() {
    let deadlines = UpdateDeadlines {
        apply: Duration::from_secs(2),
        drain: Duration::from_secs(2),
    };
    let mut reads = StreamReadSchedule::new(Stream::Configuration, &deadlines);
    assert!(!reads.next_read().wait.is_zero(), "it waits for news");
    assert_eq!(reads.note_failure(), 1);
    let first = reads.next_read();
    assert!(first.wait.is_zero(), "it asks for what there is");
    assert_eq!(reads.note_failure(), 2);
    let second = reads.next_read();
    assert!(second.answer > first.answer);
    reads.note_failure();
    assert_eq!(reads.next_read(), second, "but no longer than that");
    assert_eq!(reads.note_answer(), 3);
    assert!(!reads.next_read().wait.is_zero(), "it waits for news again");
}
