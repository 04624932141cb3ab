//! Measures how the cost of a partition grows with the number of runs: time per call, tick,
//! replayed record, takeover and snapshot, and bytes of state per run and turn. Prints CSV with a
//! header line and one line per number of runs.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use elderworks_execution::event::CallTerms;
use elderworks_execution::{Effect, Event, ExecutionSettings, Partition, SubmittedCall};
use elderworks_protocol::journal::RunLimits;
use elderworks_protocol::record::{Record, Writer};
use elderworks_protocol::sidecar::{Delivered, SubmissionTag};
use elderworks_types::{
    Attempt, CallId, CallNumber, CallRequest, CallSpec, Credits, Incarnation, Message, ModelName,
    ModelRequest, NodeId, Offset, PartitionId, ResourceName, Role, RunId, RunSpec, Sequence,
    TenantId, Timestamp, Tokens, Usage,
};

const SIZES: [u64; 4] = [10, 100, 1_000, 10_000];

/// Number of calls over which the time per call is averaged.
const MEASURED_CALLS: u64 = 2_000;

/// Size of each message and each answer in bytes.
const MESSAGE_BYTES: usize = 200;

/// A partition whose records are read back immediately.
struct Bench {
    partition: Partition,
    writer: Writer,
    sequence: Sequence,
    offset: u64,
    now: Timestamp,
    records: Vec<Record<elderworks_protocol::journal::JournalBody>>,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self::follower("node-a");
        bench.event(Event::Claim { forced: true });
        bench
    }

    fn follower(node: &str) -> Self {
        let writer = Writer {
            node: NodeId::new(node),
            incarnation: Incarnation(1),
        };
        let settings = ExecutionSettings {
            snapshot_interval: u64::MAX,
            ..ExecutionSettings::default()
        };
        Self {
            partition: Partition::new(PartitionId(0), writer.clone(), settings),
            writer,
            sequence: Sequence(0),
            offset: 0,
            now: Timestamp(1),
            records: Vec::new(),
        }
    }

    fn event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for effect in self.partition.handle(self.now, event) {
                let Effect::Append { epoch, body } = effect else {
                    continue;
                };
                self.sequence = self.sequence.next();
                let record = Record {
                    writer: self.writer.clone(),
                    sequence: self.sequence,
                    epoch,
                    body,
                };
                self.records.push(record.clone());
                let offset = Offset(self.offset);
                self.offset += 1;
                events.push_back(Event::RecordRead { offset, record });
            }
        }
    }

    fn start_run(&mut self, run: RunId) {
        let spec = RunSpec {
            id: run,
            tenant: TenantId::new("tenant"),
            program: ResourceName::new("program"),
            parent: None,
            budget: Credits(u64::MAX / 4),
            deadline: None,
        };
        let limits = RunLimits {
            max_turns: u32::MAX,
            max_history: Tokens(u64::MAX),
            max_duration: Duration::from_secs(86_400),
            priority: 0,
            tenant_budget: false,
        };
        self.event(Event::StartRun {
            connection: 1,
            spec,
            limits: Some(limits),
        });
    }

    fn call(&mut self, run: RunId, number: u32) {
        let call = CallId {
            run,
            number: CallNumber(number),
        };
        let attempt = Attempt(1);
        self.event(submission(call));
        self.event(Event::AttemptPlaced {
            call,
            attempt,
            engine: Some("engine-a".into()),
            note: String::new(),
        });
        self.event(Event::AttemptCompleted {
            call,
            attempt,
            content: "a".repeat(MESSAGE_BYTES),
            usage: Usage {
                prompt: Tokens(50),
                cached: Tokens(0),
                output: Tokens(50),
            },
        });
    }
}

fn submission(call: CallId) -> Event {
    let previous = call.number.0 - 1;
    let request = CallRequest::Model(ModelRequest {
        model: ModelName::new("small"),
        history_prefix: previous.min(1) * 2,
        messages: vec![Message::new(Role::User, "q".repeat(MESSAGE_BYTES))],
        max_output: Tokens(50),
    });
    Event::SubmitCall(SubmittedCall {
        connection: 1,
        tenant: TenantId::new("tenant"),
        run: call.run,
        spec: CallSpec {
            number: call.number,
            request,
            repeatable: true,
            idempotency_key: None,
            deadline: None,
            expected_reuse: None,
        },
        delivered: Delivered::default(),
        abandoned_before: 0,
        submission: SubmissionTag::default(),
        terms: Ok(CallTerms {
            per_prompt_token: Credits(1),
            per_output_token: Credits(2),
            per_invocation: Credits(0),
            timeout: Duration::from_secs(60),
        }),
    })
}

fn micros(elapsed: Duration, count: u64) -> f64 {
    elapsed.as_secs_f64() * 1e6 / count as f64
}

fn measure(runs: u64) {
    let mut bench = Bench::new();
    for run in 0..runs {
        bench.start_run(RunId::root(run));
    }
    let empty = bench.partition.encoded_size();
    for run in 0..runs {
        bench.call(RunId::root(run), 1);
    }
    let one_turn = bench.partition.encoded_size();

    let started = Instant::now();
    for call in 0..MEASURED_CALLS {
        let number = 2 + (call / runs) as u32;
        bench.call(RunId::root(call % runs), number);
    }
    let per_call = micros(started.elapsed(), MEASURED_CALLS);

    let started = Instant::now();
    for _ in 0..100 {
        bench.event(Event::Tick);
    }
    let per_tick = micros(started.elapsed(), 100);

    let started = Instant::now();
    let snapshot = bench.partition.handle(bench.now, Event::TakeSnapshot);
    let per_snapshot = micros(started.elapsed(), 1);
    drop(snapshot);

    let mut follower = Bench::follower("node-b");
    let started = Instant::now();
    for record in &bench.records {
        follower.partition.handle(
            follower.now,
            Event::RecordRead {
                offset: Offset(0),
                record: record.clone(),
            },
        );
    }
    let per_record = micros(started.elapsed(), bench.records.len() as u64);
    let started = Instant::now();
    follower.event(Event::Claim { forced: true });
    let takeover = micros(started.elapsed(), 1);
    println!(
        "{runs},{per_call:.2},{per_tick:.2},{per_record:.2},{takeover:.1},{per_snapshot:.1},{:.1},{:.1}",
        empty as f64 / runs as f64,
        (one_turn - empty) as f64 / runs as f64,
    );
}

fn main() {
    println!(
        "runs,call_us,tick_us,replay_us_per_record,takeover_us,snapshot_us,bytes_per_run,\
         bytes_per_turn"
    );
    for runs in SIZES {
        measure(runs);
    }
}
