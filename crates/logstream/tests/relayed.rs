//! Batches relayed from one reader of a stream to another.

use elderworks_logstream::{Effect, Event, LogStream, ReadRecords, StreamSettings};
use elderworks_protocol::encode;
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_types::{Epoch, Incarnation, NodeId, Offset, Sequence, Timestamp};

fn writer() -> Writer {
    Writer {
        node: NodeId::new("node"),
        incarnation: Incarnation(1),
    }
}

fn stream() -> LogStream<u32> {
    let settings = StreamSettings {
        emit_batches: true,
        ..StreamSettings::default()
    };
    LogStream::new(writer(), Sequence(1), Offset(0), Timestamp(0), settings)
}

fn batch(body: u32) -> Vec<u8> {
    let record = Record {
        writer: writer(),
        sequence: Sequence(u64::from(body)),
        epoch: Epoch(0),
        body,
    };
    encode(&RecordBatch {
        records: vec![record],
    })
}

fn bodies(effects: &[Effect<u32>]) -> Vec<u32> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Deliver { record, .. } => Some(record.body),
            _ => None,
        })
        .collect()
}

fn batches(effects: Vec<Effect<u32>>) -> Vec<(Offset, Vec<u8>)> {
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Batch { offset, bytes } => Some((offset, bytes)),
            _ => None,
        })
        .collect()
}

#[test]
fn relayed_batches_are_delivered_once_and_in_order() {
    let mut reader = stream();
    let records = vec![
        (Offset(0), batch(1)),
        (Offset(1), vec![0xff]),
        (Offset(2), batch(2)),
    ];
    let read = Event::Read {
        from: Offset(0),
        result: Ok(ReadRecords {
            records: records.clone(),
            end: Offset(3),
        }),
    };
    let given = batches(reader.handle(Timestamp(0), read));
    assert_eq!(given, records, "bytes that are no batch are relayed too");

    let mut other = stream();
    // Relayed batches and the expected records.
    let cases = [
        (given[1..].to_vec(), Vec::new()),
        (given[..1].to_vec(), vec![1]),
        (given.clone(), vec![2]),
        (given, Vec::new()),
    ];
    for (records, expected) in cases {
        let effects = other.handle(Timestamp(0), Event::Relayed { records });
        assert_eq!(bodies(&effects), expected);
    }
    assert_eq!(other.next_offset(), Offset(3));
}
