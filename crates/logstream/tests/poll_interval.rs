//! Changes of the poll interval of a stream.

use std::time::Duration;

use elderworks_logstream::{Effect, Event, LogStream, ReadMode, ReadRecords, StreamSettings};
use elderworks_protocol::record::Writer;
use elderworks_types::{Incarnation, NodeId, Offset, Sequence, Timestamp};

const SHORT: Duration = Duration::from_millis(500);
const LONG: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

/// Returns a stream that has completed a read at time 0 with the given poll interval.
fn caught_up_stream(interval: Duration) -> LogStream<u32> {
    let writer = Writer {
        node: NodeId::new("node-a"),
        incarnation: Incarnation(7),
    };
    let settings = StreamSettings {
        mode: ReadMode::Poll { interval },
        ..StreamSettings::default()
    };
    let mut stream = LogStream::new(writer, Sequence(1), Offset(0), at(0), settings);
    stream.handle(at(0), Event::Tick);
    stream.handle(at(0), empty_read());
    stream
}

fn empty_read() -> Event<u32> {
    Event::Read {
        from: Offset(0),
        result: Ok(ReadRecords {
            records: Vec::new(),
            end: Offset(0),
        }),
    }
}

#[test]
fn a_shorter_interval_applies_to_the_next_read_and_a_longer_one_to_later_reads() {
    // Interval during the last read, new interval, time of the change, and time of the next read; times
    // in milliseconds.
    let cases = [
        (LONG, SHORT, 1_000, 1_500),
        (LONG, SHORT, 4_800, 5_000),
        (LONG, LONG, 1_000, 5_000),
        (SHORT, LONG, 100, 500),
        (SHORT, SHORT, 100, 500),
    ];
    for (before, after, set_at, read_at) in cases {
        let mut stream = caught_up_stream(before);
        stream.set_poll_interval(at(set_at), after);
        let early = stream.handle(at(read_at - 1), Event::Tick);
        assert_eq!(early, [], "{before:?} to {after:?}");
        let due = stream.handle(at(read_at), Event::Tick);
        let read = Effect::Read {
            from: Offset(0),
            wait: Duration::ZERO,
        };
        assert_eq!(due, [read], "{before:?} to {after:?}");
    }
}

#[test]
fn a_log_without_due_reads_stays_reachable() {
    let mut stream = caught_up_stream(LONG);
    stream.set_poll_interval(at(4_900), SHORT);
    let effects = stream.handle(at(4_900), Event::Tick);
    assert!(!effects.contains(&Effect::Reachable(false)));
    let effects = stream.handle(at(5_000), Event::Tick);
    assert!(!effects.contains(&Effect::Reachable(false)));
    let unanswered = stream.handle(at(8_001), Event::Tick);
    assert_eq!(unanswered, [Effect::Reachable(false)]);
    let answered = stream.handle(at(8_100), empty_read());
    assert_eq!(answered, [Effect::Reachable(true)]);
}
