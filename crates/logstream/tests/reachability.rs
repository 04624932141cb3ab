//! When a stream considers the log unreachable, and how it appends records in the meantime.

use std::time::Duration;

use elderworks_logstream::{
    Effect, Event, LogStream, NoAnswer, ReadMode, ReadRecords, StreamSettings,
};
use elderworks_protocol::record::{RecordBatch, Writer};
use elderworks_protocol::{decode, encode};
use elderworks_types::{Epoch, Incarnation, NodeId, Offset, Sequence, Timestamp};

const POLL_INTERVAL: Duration = Duration::from_secs(10);

fn stream() -> LogStream<u32> {
    let writer = Writer {
        node: NodeId::new("node-a"),
        incarnation: Incarnation(7),
    };
    let settings = StreamSettings {
        mode: ReadMode::Poll {
            interval: POLL_INTERVAL,
        },
        ..StreamSettings::default()
    };
    LogStream::new(writer, Sequence(1), Offset(0), Timestamp(0), settings)
}

fn at(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

fn propose(body: u32) -> Event<u32> {
    Event::Propose {
        epoch: Epoch(3),
        body,
    }
}

fn append_of(effects: &[Effect<u32>]) -> Option<(u64, Vec<u8>)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Append { token, bytes } => Some((*token, bytes.clone())),
        _ => None,
    })
}

#[test]
fn an_idle_stream_stays_reachable_between_polls() {
    let mut stream = stream();
    let empty = Event::Read {
        from: Offset(0),
        result: Ok(ReadRecords {
            records: Vec::new(),
            end: Offset(0),
        }),
    };
    stream.handle(at(0), empty);
    assert!(
        !stream
            .handle(at(9), Event::Tick)
            .contains(&Effect::Reachable(false))
    );
    assert!(
        !stream
            .handle(at(9), propose(1))
            .contains(&Effect::Reachable(false))
    );
}

#[test]
fn the_log_is_unreachable_while_an_append_remains_unconfirmed() {
    let mut stream = stream();
    let (token, first) = append_of(&stream.handle(at(0), propose(1))).expect("append is sent");
    stream.handle(
        at(0),
        Event::Appended {
            token,
            result: Err(NoAnswer),
        },
    );
    let effects = stream.handle(at(4), Event::Tick);
    assert!(effects.contains(&Effect::Reachable(false)));
    let (token, again) = append_of(&effects).expect("append is retried");
    assert_eq!(first, again, "a retry repeats the same bytes");
    let effects = stream.handle(
        at(5),
        Event::Appended {
            token,
            result: Ok(Offset(0)),
        },
    );
    assert!(effects.contains(&Effect::Reachable(true)));
    assert_eq!(stream.outstanding(), 0);
}

/// Guards against a late event loop that is taken for a silent log.
#[test]
fn a_pause_of_the_process_does_not_count_as_silence() {
    for fails in [false, true] {
        let mut stream = stream();
        append_of(&stream.handle(at(0), propose(1))).expect("append is sent");
        stream.note_pause(at(10));
        assert!(
            !stream
                .handle(at(11), Event::Tick)
                .contains(&Effect::Reachable(false))
        );
        let later = if fails {
            let failed = Event::Read {
                from: Offset(0),
                result: Err(NoAnswer),
            };
            stream.handle(at(12), failed)
        } else {
            stream.handle(at(14), Event::Tick)
        };
        assert!(later.contains(&Effect::Reachable(false)), "{fails}");
        // A pause does not make it reachable again; only a reply does.
        stream.note_pause(at(20));
        assert!(
            !stream
                .handle(at(20), Event::Tick)
                .contains(&Effect::Reachable(true))
        );
    }
}

/// Guards against a stream that is rarely read and accepts records during a known outage.
#[test]
fn a_suspected_outage_is_confirmed_by_one_failed_read() {
    for answers in [false, true] {
        let mut stream = stream();
        let read = |end| Event::Read {
            from: Offset(0),
            result: end,
        };
        let empty = ReadRecords {
            records: Vec::new(),
            end: Offset(0),
        };
        stream.handle(at(0), Event::Tick);
        stream.handle(at(0), read(Ok(empty.clone())));
        stream.suspect_outage(at(4));
        assert!(stream.is_outage_suspected());
        let effects = stream.handle(at(4), Event::Tick);
        let is_read = |effect: &Effect<u32>| matches!(effect, Effect::Read { .. });
        assert!(effects.iter().any(is_read), "{effects:?}");
        let result = if answers { Ok(empty) } else { Err(NoAnswer) };
        let effects = stream.handle(at(4), read(result));
        assert_eq!(effects.contains(&Effect::Reachable(false)), !answers);
        assert_eq!(stream.reachable(), answers);
        assert!(!stream.is_outage_suspected());
    }
}

#[test]
fn waiting_records_share_one_append() {
    let mut stream = stream();
    let (token, _) = append_of(&stream.handle(at(0), propose(1))).expect("append is sent");
    for body in 2..=50 {
        assert_eq!(append_of(&stream.handle(at(0), propose(body))), None);
    }
    let effects = stream.handle(
        at(0),
        Event::Appended {
            token,
            result: Ok(Offset(0)),
        },
    );
    let (_, bytes) = append_of(&effects).expect("the group is sent");
    let batch: RecordBatch<u32> = decode(&bytes).expect("own batch decodes");
    assert_eq!(batch.records.len(), 49);
}

#[test]
fn bytes_that_are_no_batch_are_skipped() {
    let mut stream = stream();
    stream.handle(at(0), Event::Tick);
    let batch = encode(&RecordBatch::<u32> {
        records: Vec::new(),
    });
    let records = vec![
        (Offset(0), vec![0xff; 9]),
        (Offset(1), Vec::new()),
        (Offset(2), batch),
    ];
    let effects = stream.handle(
        at(1),
        Event::Read {
            from: Offset(0),
            result: Ok(ReadRecords {
                records,
                end: Offset(3),
            }),
        },
    );
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::Deliver { .. }))
    );
    assert_eq!(stream.next_offset(), Offset(3));
}
