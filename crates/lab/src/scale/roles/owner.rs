//! The owner of runs: real partitions whose log answers at once.

use std::time::Duration;

use elderworks_execution::event::CallTerms;
use elderworks_execution::{Effect, Event, ExecutionSettings, Partition, SubmittedCall};
use elderworks_protocol::journal::{JournalBody, RunLimits};
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_protocol::sidecar::{Delivered, SubmissionTag};
use elderworks_protocol::{encode, frame};
use elderworks_types::{
    Attempt, CallId, CallNumber, CallRequest, CallSpec, Credits, EngineId, Epoch, Incarnation,
    Message, ModelName, ModelRequest, NodeId, Offset, PartitionId, ResourceName, Role, RunId,
    RunSpec, Sequence, TenantId, Timestamp, Tokens, Usage,
};

use super::{Filled, Flows};
use crate::scale::memory::resident_bytes;
use crate::scale::timing::EventTimer;

/// Bytes of the new messages of one call.
const QUESTION_BYTES: usize = 400;

/// Tokens of one answer: 14 million tokens a second over 29,000 requests a second.
pub const ANSWER_TOKENS: usize = 483;

/// Tokens of an answer that come in one chunk.
const TOKENS_PER_CHUNK: usize = 16;

const BYTES_PER_TOKEN: usize = elderworks_types::text::BYTES_PER_TOKEN;

/// Tenants among which runs are dealt.
const TENANTS: usize = 50;

/// A partition with a log that answers at once.
pub struct OwnerHarness {
    partition: Partition,
    writer: Writer,
    now: Timestamp,
    sequence: Sequence,
    offset: Offset,
    dispatched: Vec<(CallId, Attempt)>,
    /// Processor time so far.
    pub timer: EventTimer,
    /// What was sent so far.
    pub flows: Flows,
}

impl OwnerHarness {
    /// An owned, empty partition.
    pub fn new(partition: u32) -> Self {
        let writer = Writer {
            node: NodeId::new("node-0001"),
            incarnation: Incarnation(1),
        };
        let settings = ExecutionSettings::default();
        let mut harness = Self {
            partition: Partition::new(PartitionId(partition), writer.clone(), settings),
            writer,
            now: Timestamp(1_000_000),
            sequence: Sequence(0),
            offset: Offset(0),
            dispatched: Vec::new(),
            timer: EventTimer::default(),
            flows: Flows::default(),
        };
        harness.feed("claim", Event::Claim { forced: true });
        harness
    }

    /// Bytes of the partition's state, encoded.
    pub fn encoded_bytes(&self) -> u64 {
        self.partition.approximate_bytes() as u64
    }

    /// Starts a run.
    pub fn start_run(&mut self, run: RunId) {
        let event = start_of_run(run, tenant(run), 560, Tokens(1_000_000));
        self.feed("start run", event);
    }

    /// Carries one model call of a run from its submission to its end.
    pub fn call(&mut self, run: RunId, number: u32) {
        self.flows.calls += 1;
        let call = CallId {
            run,
            number: CallNumber(number),
        };
        // Each earlier call left a question and an answer.
        let history_prefix = (number - 1) * 2;
        let submitted = submission(tenant(run), call, history_prefix);
        self.feed("submit call", submitted);
        for (call, attempt) in std::mem::take(&mut self.dispatched) {
            self.answer(call, attempt);
        }
        self.feed("acknowledge", Event::Acknowledge { call });
    }

    fn answer(&mut self, call: CallId, attempt: Attempt) {
        let placed = Event::AttemptPlaced {
            call,
            attempt,
            engine: Some(EngineId::new("engine-07")),
            note: "least predicted wait 12 ms, 30 of 40 blocks cached".to_string(),
        };
        self.feed("attempt placed", placed);
        let mut content = String::new();
        for index in 0..ANSWER_TOKENS / TOKENS_PER_CHUNK {
            let text = "word".repeat(TOKENS_PER_CHUNK * BYTES_PER_TOKEN / 4);
            content.push_str(&text);
            let chunk = Event::AttemptChunk {
                call,
                attempt,
                index: index as u32,
                text,
            };
            self.feed("chunk", chunk);
        }
        let usage = Usage {
            prompt: Tokens(100),
            cached: Tokens(50),
            output: Tokens(ANSWER_TOKENS as u64),
        };
        let completed = Event::AttemptCompleted {
            call,
            attempt,
            content,
            usage,
        };
        self.feed("attempt completed", completed);
    }

    /// Hands over an event and everything that follows from it on the log.
    fn feed(&mut self, kind: &'static str, event: Event) {
        self.now = self.now + Duration::from_micros(100);
        let (now, partition) = (self.now, &mut self.partition);
        let effects = self.timer.time(kind, || partition.handle(now, event));
        let mut appended = Vec::new();
        for effect in effects {
            self.carry_out(effect, &mut appended);
        }
        for record in appended {
            self.read_back(record);
        }
    }

    fn carry_out(&mut self, effect: Effect, appended: &mut Vec<Record<JournalBody>>) {
        match effect {
            Effect::Append { epoch, body } => appended.push(self.stamp(epoch, body)),
            Effect::Send { message, .. } => {
                self.flows.messages += 1;
                self.flows.message_bytes += frame(&message).len() as u64;
            }
            Effect::Dispatch { call, attempt, .. } => self.dispatched.push((call, attempt)),
            _ => {}
        }
    }

    fn stamp(&mut self, epoch: Epoch, body: JournalBody) -> Record<JournalBody> {
        self.sequence = self.sequence.next();
        Record {
            writer: self.writer.clone(),
            sequence: self.sequence,
            epoch,
            body,
        }
    }

    fn read_back(&mut self, record: Record<JournalBody>) {
        let batch = RecordBatch {
            records: vec![record.clone()],
        };
        self.flows.records += 1;
        self.flows.record_bytes += encode(&batch).len() as u64;
        let offset = self.offset;
        self.offset = offset.next();
        self.feed("record read", Event::RecordRead { offset, record });
    }
}

fn tenant(run: RunId) -> TenantId {
    TenantId::new(format!("tenant-{:04}", run.root as usize % TENANTS))
}

/// The start of a run that no budget ends.
pub fn start_of_run(run: RunId, tenant: TenantId, max_turns: u32, max_history: Tokens) -> Event {
    let spec = RunSpec {
        id: run,
        tenant,
        program: ResourceName::new("boundary-draft"),
        parent: None,
        budget: Credits(u64::MAX / 4),
        deadline: None,
    };
    let limits = RunLimits {
        max_turns,
        max_history,
        max_duration: Duration::from_secs(86_400),
        priority: 0,
        tenant_budget: false,
    };
    Event::StartRun {
        connection: 1,
        spec,
        limits: Some(limits),
    }
}

/// The submission of a model call whose prompt begins with `history_prefix` messages of its run's
/// history.
pub fn submission(tenant: TenantId, call: CallId, history_prefix: u32) -> Event {
    let spec = CallSpec {
        number: call.number,
        request: CallRequest::Model(ModelRequest {
            model: ModelName::new("agent-large"),
            history_prefix,
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
    Event::SubmitCall(SubmittedCall {
        connection: 1,
        tenant,
        run: call.run,
        spec,
        delivered: Delivered::default(),
        abandoned_before: 0,
        submission: SubmissionTag::default(),
        terms: Ok(terms),
    })
}

/// Runs under way, each with `turns` ended calls, on one partition.
pub fn fill(
    role: &'static str,
    count: usize,
    runs: usize,
    turns: u32,
) -> eyre::Result<(Filled, OwnerHarness)> {
    let before = resident_bytes()?;
    let mut harness = OwnerHarness::new(1);
    for number in 0..runs {
        let run = RunId::root(number as u64 + 1);
        harness.start_run(run);
        for turn in 1..=turns {
            harness.call(run, turn);
        }
    }
    let filled = Filled {
        role,
        count,
        resident_bytes: resident_bytes()?.saturating_sub(before),
        encoded_bytes: None,
        times: harness.timer.means(),
        flows: harness.flows,
    };
    Ok((filled, harness))
}
