//! Measures the cost of loading the control state on a new node, depending on the length of the log.
//!
//! `bootstrap_cost generate FILE RECORDS` writes a control stream to a file. In a separate process,
//! `bootstrap_cost measure FILE replay|bootstrap` loads the state from that file, either by a full
//! replay or from the latest snapshot, and prints the time, the records read and the peak memory.

use std::fs::File;
use std::io::{BufReader, BufWriter, Read, Seek, SeekFrom, Write};
use std::time::Instant;

use elderworks_control::{Bootstrap, BootstrapStep, Control, ControlBody, Effect, Event};
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_protocol::{decode, encode};
use elderworks_types::resource::{BudgetSpec, Kind, Metadata, Resource, Spec};
use elderworks_types::{Credits, Epoch, Incarnation, NodeId, Offset, Sequence, Timestamp};

/// Number of distinct resources, which are changed in turn.
const RESOURCES: u64 = 1_000;

/// Maximum number of records per read, similar to the limit of a log service.
const PAGE_RECORDS: u64 = 256;

const NOW: Timestamp = Timestamp(0);

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["generate", file, records] => generate(file, records.parse()?),
        ["measure", file, "replay"] => measure(file, false),
        ["measure", file, "bootstrap"] => measure(file, true),
        _ => Err("usage: generate FILE RECORDS, or measure FILE replay|bootstrap".into()),
    }
}

fn writer(node: &str) -> Writer {
    Writer {
        node: NodeId::new(node),
        incarnation: Incarnation(1),
    }
}

fn change(number: u64) -> ControlBody {
    let name = format!("tenant-{:04}", number % RESOURCES);
    let spec = BudgetSpec {
        tenant: name.as_str().into(),
        limit: Credits(number + 1),
    };
    ControlBody::Put {
        resource: Resource {
            metadata: Metadata {
                name: name.as_str().into(),
                revision: Offset(0),
            },
            spec: Spec::Budget(spec),
        },
        expected: None,
    }
}

/// Writes a control stream to a file, with snapshots whenever they are due.
fn generate(path: &str, records: u64) -> Result<(), Failure> {
    let mut output = BufWriter::new(File::create(path)?);
    let mut control = Control::new(writer("a"));
    let mut offset = 0;
    let mut pending = vec![ControlBody::NodeStarted {
        node: NodeId::new("a"),
        nonce: 1,
    }];
    while offset < records {
        let body = pending.pop().unwrap_or_else(|| change(offset));
        let record = Record {
            writer: writer("a"),
            sequence: Sequence(offset + 1),
            epoch: Epoch(0),
            body,
        };
        let bytes = encode(&RecordBatch {
            records: vec![record.clone()],
        });
        output.write_all(&u32::try_from(bytes.len())?.to_le_bytes())?;
        output.write_all(&bytes)?;
        read(&mut control, offset, record);
        offset += 1;
        if pending.is_empty() {
            pending = snapshot(&mut control);
            pending.reverse();
        }
    }
    output.flush()?;
    Ok(())
}

fn snapshot(control: &mut Control) -> Vec<ControlBody> {
    let effects = control.handle(NOW, Event::TakeSnapshot);
    let bodies = effects.into_iter().filter_map(|effect| match effect {
        Effect::Append(body) => Some(body),
        _ => None,
    });
    bodies.collect()
}

fn read(control: &mut Control, offset: u64, record: Record<ControlBody>) {
    let event = Event::RecordRead {
        offset: Offset(offset),
        index: 0,
        record,
    };
    control.handle(NOW, event);
}

/// A control stream in a file.
struct Stream {
    file: BufReader<File>,
    /// Position in the file of each record, in bytes.
    positions: Vec<u64>,
    records_read: u64,
}

impl Stream {
    fn open(path: &str) -> Result<Self, Failure> {
        let mut file = BufReader::new(File::open(path)?);
        let mut positions = Vec::new();
        let mut length = [0; 4];
        while file.read_exact(&mut length).is_ok() {
            positions.push(file.stream_position()? - 4);
            file.seek_relative(i64::from(u32::from_le_bytes(length)))?;
        }
        Ok(Self {
            file,
            positions,
            records_read: 0,
        })
    }

    fn end(&self) -> Offset {
        Offset(self.positions.len() as u64)
    }

    fn page(&mut self, from: Offset) -> Result<Vec<(Offset, Vec<u8>)>, Failure> {
        let last = self.end().0.min(from.0 + PAGE_RECORDS);
        let mut page = Vec::new();
        for offset in from.0..last {
            self.file
                .seek(SeekFrom::Start(self.positions[usize::try_from(offset)?]))?;
            let mut length = [0; 4];
            self.file.read_exact(&mut length)?;
            let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
            self.file.read_exact(&mut bytes)?;
            page.push((Offset(offset), bytes));
        }
        self.records_read += page.len() as u64;
        Ok(page)
    }
}

fn measure(path: &str, use_snapshot: bool) -> Result<(), Failure> {
    let mut stream = Stream::open(path)?;
    let memory_before = peak_memory_kib()?;
    let started = Instant::now();
    let (mut control, start) = match use_snapshot {
        true => load_snapshot(&mut stream)?,
        false => (Control::new(writer("b")), Offset(0)),
    };
    replay(&mut stream, &mut control, start)?;
    println!(
        "records {} read {} resources {} milliseconds {:.1} peak-growth-kib {}",
        stream.end(),
        stream.records_read,
        control.list(Kind::Budget).count(),
        started.elapsed().as_secs_f64() * 1_000.0,
        peak_memory_kib()? - memory_before,
    );
    Ok(())
}

fn load_snapshot(stream: &mut Stream) -> Result<(Control, Offset), Failure> {
    let mut bootstrap = Bootstrap::new(writer("b"));
    let mut from = bootstrap.first_read();
    loop {
        let page = stream.page(from)?;
        match bootstrap.handle_read(&page, stream.end()) {
            BootstrapStep::Read { from: next } => from = next,
            BootstrapStep::Done { control, start } => return Ok((*control, start)),
        }
    }
}

fn replay(stream: &mut Stream, control: &mut Control, start: Offset) -> Result<(), Failure> {
    let mut from = start;
    while from < stream.end() {
        for (offset, bytes) in stream.page(from)? {
            from = offset.next();
            let batch: RecordBatch<ControlBody> = decode(&bytes)?;
            for record in batch.records {
                read(control, offset.0, record);
            }
        }
    }
    Ok(())
}

/// Returns the peak resident memory of this process, in KiB.
fn peak_memory_kib() -> Result<u64, Failure> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.ok_or("no VmHWM in /proc/self/status")?.parse()?)
}
