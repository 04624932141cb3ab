//! Admitting and journalling calls, by the runs that the partition holds.

use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use elderworks_execution::event::CallTerms;
use elderworks_execution::{Effect, Event, ExecutionSettings, Partition};
use elderworks_protocol::journal::RunLimits;
use elderworks_protocol::record::{Record, Writer};
use elderworks_protocol::sidecar::{Delivered, SubmissionTag};
use elderworks_types::{
    Attempt, CallId, CallNumber, CallRequest, CallSpec, Credits, EngineId, Incarnation, Message,
    ModelName, ModelRequest, NodeId, Offset, PartitionId, ResourceName, Role, RunId, RunSpec,
    Sequence, TenantId, Timestamp, Tokens, Usage,
};

const QUESTION_BYTES: usize = 400;
const ANSWER_BYTES: usize = 1_932;

/// A partition whose log answers at once.
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
        owner.feed(Event::Claim { forced: true });
        owner
    }

    fn feed(&mut self, event: Event) {
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
                    self.feed(Event::RecordRead { offset, record });
                }
                Effect::Dispatch { call, attempt, .. } => self.dispatched.push((call, attempt)),
                _ => {}
            }
        }
    }

    fn start_run(&mut self, run: RunId) {
        let spec = RunSpec {
            id: run,
            tenant: TenantId::new("tenant-0001"),
            program: ResourceName::new("boundary-draft"),
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
        self.feed(Event::StartRun {
            connection: 1,
            spec,
            limits: Some(limits),
        });
    }

    fn call(&mut self, run: RunId, number: u32) {
        self.feed(submit(run, number));
        for (call, attempt) in std::mem::take(&mut self.dispatched) {
            self.feed(Event::AttemptPlaced {
                call,
                attempt,
                engine: Some(EngineId::new("engine-07")),
                note: String::new(),
            });
            self.feed(Event::AttemptCompleted {
                call,
                attempt,
                content: "a".repeat(ANSWER_BYTES),
                usage: Usage {
                    prompt: Tokens(100),
                    cached: Tokens(50),
                    output: Tokens(483),
                },
            });
            self.feed(Event::Acknowledge { call });
        }
    }
}

/// A call whose prompt does not begin with the run's history, so that its cost does not depend on
/// how many calls came before.
fn submit(run: RunId, number: u32) -> Event {
    let spec = CallSpec {
        number: CallNumber(number),
        request: CallRequest::Model(ModelRequest {
            model: ModelName::new("agent-large"),
            history_prefix: 0,
            messages: vec![Message::new(Role::User, "q".repeat(QUESTION_BYTES))],
            max_output: Tokens(1_024),
        }),
        repeatable: true,
        idempotency_key: None,
        deadline: None,
        expected_reuse: None,
    };
    let terms = CallTerms {
        per_prompt_token: Credits(1),
        per_output_token: Credits(2),
        per_invocation: Credits::ZERO,
        timeout: Duration::from_secs(60),
    };
    Event::SubmitCall {
        connection: 1,
        tenant: TenantId::new("tenant-0001"),
        run,
        spec,
        delivered: Delivered::default(),
        abandoned_before: 0,
        submission: SubmissionTag::default(),
        terms: Ok(terms),
    }
}

/// Measures a call from its submission to its acknowledgement, its records read back.
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
