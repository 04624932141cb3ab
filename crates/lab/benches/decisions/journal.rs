//! Benchmark of admitting and journalling calls by number of runs in the partition.

use std::time::Duration;

use crate::fixtures::{start_run_event, submit_call_event};
use criterion::{BenchmarkId, Criterion};
use elderworks_execution::{Effect, Event, ExecutionSettings, Partition};
use elderworks_protocol::record::{Record, Writer};
use elderworks_types::{
    Attempt, CallId, CallNumber, EngineId, Incarnation, NodeId, Offset, PartitionId, RunId,
    Sequence, TenantId, Timestamp, Tokens, Usage,
};

/// Size of the answer of one call.
const ANSWER_BYTES: usize = 1_932;

/// A partition together with a log that returns each appended record immediately.
struct Owner {
    partition: Partition,
    writer: Writer,
    now: Timestamp,
    sequence: Sequence,
    offset: Offset,
    dispatched: Vec<(CallId, Attempt)>,
}

impl Owner {
    fn new() -> Self {
        let writer = Writer {
            node: NodeId::new("node-0001"),
            incarnation: Incarnation(1),
        };
        let settings = ExecutionSettings::default();
        let mut owner = Self {
            partition: Partition::new(PartitionId(1), writer.clone(), settings),
            writer,
            now: Timestamp(1_000_000),
            sequence: Sequence(0),
            offset: Offset(0),
            dispatched: Vec::new(),
        };
        owner.handle(Event::Claim { forced: true });
        owner
    }

    fn handle(&mut self, event: Event) {
        self.now = self.now + Duration::from_micros(100);
        for effect in self.partition.handle(self.now, event) {
            match effect {
                Effect::Append { epoch, body } => {
                    self.sequence = self.sequence.next();
                    let record = Record {
                        writer: self.writer.clone(),
                        sequence: self.sequence,
                        epoch,
                        body,
                    };
                    let offset = self.offset;
                    self.offset = offset.next();
                    self.handle(Event::RecordRead { offset, record });
                }
                Effect::Dispatch { call, attempt, .. } => self.dispatched.push((call, attempt)),
                _ => {}
            }
        }
    }

    fn start_run(&mut self, run: RunId) {
        let event = start_run_event(run, tenant(), u32::MAX, Tokens(u64::MAX));
        self.handle(event);
    }

    fn call(&mut self, run: RunId, number: u32) {
        let call = CallId {
            run,
            number: CallNumber(number),
        };
        // The prompt omits the run's history, so that the cost of a call does not grow with the
        // number of earlier calls.
        self.handle(submit_call_event(tenant(), call, 0));
        for (call, attempt) in std::mem::take(&mut self.dispatched) {
            self.handle(Event::AttemptPlaced {
                call,
                attempt,
                engine: Some(EngineId::new("engine-07")),
                note: String::new(),
            });
            self.handle(Event::AttemptCompleted {
                call,
                attempt,
                content: "a".repeat(ANSWER_BYTES),
                usage: Usage {
                    prompt: Tokens(100),
                    cached: Tokens(50),
                    output: Tokens(483),
                },
            });
            self.handle(Event::Acknowledge { call });
        }
    }
}

fn tenant() -> TenantId {
    TenantId::new("tenant-0001")
}

/// Measures a call from submission to acknowledgement, including reading its records back.
pub fn admit_and_journal(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit and journal a call by runs");
    for runs in [100_u64, 200, 400, 800] {
        let mut owner = Owner::new();
        for run in 1..=runs {
            owner.start_run(RunId::root(run));
            owner.call(RunId::root(run), 1);
        }
        let mut calls = 0;
        group.bench_with_input(BenchmarkId::from_parameter(runs), &runs, |bench, _| {
            bench.iter(|| {
                let run = RunId::root(calls % runs + 1);
                let number = 2 + calls / runs;
                calls += 1;
                owner.call(run, number as u32);
            });
        });
    }
    group.finish();
}
