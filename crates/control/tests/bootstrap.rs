//! Bootstrap from the latest snapshot must result in the same state as a full replay.

mod support;

use elderworks_control::bootstrap::WINDOW_RECORDS;
use elderworks_control::snapshot::SNAPSHOT_PART_BYTES;
use elderworks_control::{Bootstrap, BootstrapStep, Control, ControlBody, Effect, Event};
use elderworks_protocol::encode;
use elderworks_protocol::record::{Record, RecordBatch};
use elderworks_types::resource::Kind;
use elderworks_types::{Epoch, Offset, Sequence};
use support::{NOW, TestLog, budget, put, reader, writer};

/// Content of the stream at one offset.
enum Entry {
    Record(Record<ControlBody>),
    /// Bytes that cannot be decoded.
    Malformed,
}

/// A control stream in memory.
struct Stream {
    entries: Vec<Entry>,
    sequence: u64,
}

impl Stream {
    fn new() -> Self {
        let records = TestLog::with_nodes(&["a"]).records;
        Self {
            entries: records.into_iter().map(Entry::Record).collect(),
            sequence: 1,
        }
    }

    fn push(&mut self, body: ControlBody) {
        self.sequence += 1;
        self.entries.push(Entry::Record(Record {
            writer: writer("a", 0),
            sequence: Sequence(self.sequence),
            epoch: Epoch(0),
            body,
        }));
    }

    fn push_changes(&mut self, count: usize) {
        for number in 0..count {
            let name = format!("tenant-{}", number % 20);
            let limit = self.sequence + 1;
            self.push(put(budget(&name, &name, limit), None));
        }
    }

    /// Returns the records of a snapshot of the current state.
    fn snapshot(&self) -> Vec<ControlBody> {
        let mut control = reader("a", 0);
        self.replay(&mut control, 0);
        let effects = control.handle(NOW, Event::TakeSnapshot);
        let bodies = effects.into_iter().map(|effect| match effect {
            Effect::Append(body) => body,
            other => panic!("unexpected effect {other:?}"),
        });
        bodies.collect()
    }

    fn push_snapshot(&mut self) {
        let records = self.snapshot();
        assert!(!records.is_empty(), "a snapshot is due");
        for body in records {
            self.push(body);
        }
    }

    fn replay(&self, control: &mut Control, from: usize) {
        for (offset, entry) in self.entries.iter().enumerate().skip(from) {
            if let Entry::Record(record) = entry {
                let event = Event::RecordRead {
                    offset: Offset(offset as u64),
                    index: 0,
                    record: record.clone(),
                };
                control.handle(NOW, event);
            }
        }
    }

    fn page(&self, from: Offset, length: usize) -> Vec<(Offset, Vec<u8>)> {
        let entries = self.entries.iter().enumerate();
        let page = entries.skip(from.0 as usize).take(length);
        page.map(|(offset, entry)| {
            let bytes = match entry {
                Entry::Record(record) => encode(&RecordBatch {
                    records: vec![record.clone()],
                }),
                Entry::Malformed => vec![0xff; 9],
            };
            (Offset(offset as u64), bytes)
        })
        .collect()
    }

    /// Bootstraps a node. Returns its state, the offset at which replay starts and the number of
    /// records read.
    fn bootstrap(&self, page_length: usize) -> (Control, Offset, usize) {
        let mut bootstrap = Bootstrap::new(writer("b", 7));
        let mut from = bootstrap.first_read();
        let mut records_read = 0;
        loop {
            let page = self.page(from, page_length);
            records_read += page.len();
            let end = Offset(self.entries.len() as u64);
            match bootstrap.handle_read(&page, end) {
                BootstrapStep::Read { from: next } => from = next,
                BootstrapStep::Done { control, start } => return (*control, start, records_read),
            }
        }
    }
}

/// Returns all budgets.
fn resources(control: &Control) -> Vec<elderworks_types::resource::Resource> {
    control.list(Kind::Budget).cloned().collect()
}

struct Case {
    name: &'static str,
    build: fn(&mut Stream),
    /// Whether replay starts after the beginning of the stream.
    finds_snapshot: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "only the announcement",
        build: |_| {},
        finds_snapshot: false,
    },
    Case {
        name: "no snapshot",
        build: |stream| stream.push_changes(1_300),
        finds_snapshot: false,
    },
    Case {
        name: "snapshot at the end",
        build: |stream| {
            stream.push_changes(5_000);
            stream.push_snapshot();
        },
        finds_snapshot: true,
    },
    Case {
        name: "snapshot several windows back",
        build: |stream| {
            stream.push_changes(4_200);
            stream.push_snapshot();
            stream.push_changes(3 * WINDOW_RECORDS as usize + 11);
        },
        finds_snapshot: true,
    },
    Case {
        name: "changes between taking and writing the snapshot",
        build: |stream| {
            stream.push_changes(4_200);
            let snapshot = stream.snapshot();
            stream.push_changes(30);
            for body in snapshot {
                stream.push(body);
            }
            stream.push_changes(30);
        },
        finds_snapshot: true,
    },
    Case {
        name: "latest snapshot is incomplete",
        build: |stream| {
            stream.push_changes(4_200);
            stream.push_snapshot();
            stream.push_changes(4_200);
            push_part_of_snapshot(stream);
            stream.push_changes(40);
        },
        finds_snapshot: true,
    },
    Case {
        name: "latest snapshot cannot be decoded",
        build: |stream| {
            stream.push_changes(4_200);
            stream.push_snapshot();
            stream.push(ControlBody::Snapshot {
                covers: Offset(4_201),
                part: 0,
                parts: 1,
                bytes: vec![9, 9, 9],
            });
        },
        finds_snapshot: true,
    },
    Case {
        name: "malformed records",
        build: |stream| {
            stream.push_changes(4_200);
            stream.entries.push(Entry::Malformed);
            stream.push_snapshot();
            stream.push_changes(10);
            stream.entries.push(Entry::Malformed);
            stream.push_changes(10);
            stream.entries.push(Entry::Malformed);
        },
        finds_snapshot: true,
    },
];

/// Appends the first of two parts of a snapshot.
fn push_part_of_snapshot(stream: &mut Stream) {
    let mut snapshot = stream.snapshot();
    let Some(ControlBody::Snapshot { parts, .. }) = snapshot.first_mut() else {
        panic!("a snapshot is due");
    };
    *parts = 2;
    stream.push(snapshot.remove(0));
}

#[test]
fn bootstrap_results_in_the_state_of_a_full_replay() {
    for case in CASES {
        let mut stream = Stream::new();
        (case.build)(&mut stream);
        let mut whole = reader("b", 7);
        stream.replay(&mut whole, 0);
        for page_length in [64, 500] {
            let (mut control, start, _) = stream.bootstrap(page_length);
            let name = case.name;
            assert_eq!(
                start > Offset(0),
                case.finds_snapshot,
                "{name}: from {start}"
            );
            stream.replay(&mut control, start.0 as usize);
            assert_eq!(control.encode_state(), whole.encode_state(), "{name}");
            assert_eq!(resources(&control), resources(&whole), "{name}");
            assert_eq!(control.next(), whole.next(), "{name}");
        }
    }
}

#[test]
fn large_state_is_written_in_parts() {
    let mut stream = Stream::new();
    for number in 0..4_200 {
        let name = format!("tenant-{number:05}-of-a-rather-long-name");
        stream.push(put(budget(&name, &name, 1), None));
    }
    let parts = stream.snapshot().len();
    assert!(parts > 2, "{parts} parts of {SNAPSHOT_PART_BYTES} bytes");
    stream.push_snapshot();
    stream.push_changes(5);

    let (mut control, start, _) = stream.bootstrap(100);
    stream.replay(&mut control, start.0 as usize);

    assert_eq!(control.list(Kind::Budget).count(), 4_205);
}

#[test]
fn search_reads_few_records_of_a_long_stream() {
    let mut stream = Stream::new();
    stream.push_changes(20_000);
    stream.push_snapshot();
    stream.push_changes(1_000);
    let (_, _, records_read) = stream.bootstrap(512);
    assert!(
        records_read < 4 * WINDOW_RECORDS as usize,
        "read {records_read} records"
    );
}

#[test]
fn snapshot_is_taken_once_when_due() {
    let mut stream = Stream::new();
    stream.push_changes(4_000);
    assert_eq!(stream.snapshot(), [], "too early");
    stream.push_changes(200);
    let mut control = reader("a", 0);
    stream.replay(&mut control, 0);
    assert!(!control.handle(NOW, Event::TakeSnapshot).is_empty());
    assert_eq!(
        control.handle(NOW, Event::TakeSnapshot),
        [],
        "a snapshot is being written"
    );
    stream.push_snapshot();
    assert_eq!(stream.snapshot(), [], "a snapshot was just written");
}

#[test]
fn node_that_has_not_started_takes_no_snapshot() {
    let mut stream = Stream::new();
    stream.push_changes(5_000);
    let mut control = reader("b", 7);
    stream.replay(&mut control, 0);
    assert_eq!(control.handle(NOW, Event::TakeSnapshot), []);
}

#[test]
fn changes_before_the_snapshot_are_not_retained() {
    let mut stream = Stream::new();
    stream.push_changes(5_000);
    stream.push_snapshot();
    stream.push_changes(3);
    let (mut control, start, _) = stream.bootstrap(100);
    stream.replay(&mut control, start.0 as usize);
    assert_eq!(control.changes_since(Offset(10)), None);
    let recent = control
        .changes_since(Offset(5_000))
        .expect("recent changes are retained");
    assert_eq!(recent.len(), 3);
}

#[test]
fn truncated_state_is_rejected() {
    let mut stream = Stream::new();
    stream.push_changes(10);
    let mut control = reader("a", 0);
    stream.replay(&mut control, 0);
    let state = control.encode_state();
    for length in 0..state.len() {
        let shortened = Control::from_state(writer("b", 7), &state[..length]);
        assert!(
            shortened.is_err(),
            "{length} of {} bytes are accepted",
            state.len()
        );
    }
}
