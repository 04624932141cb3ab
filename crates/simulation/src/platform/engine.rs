//! A model engine in small: concurrent generations by request id, resume, cancel, run memory.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_node_core::effect::Generate;
use elderworks_placement::Ticket;
use elderworks_types::text::{render_prompt, token_count};
use elderworks_types::{EngineId, RunId, Tokens, Usage};

use crate::kernel::{Instant, Random};
use crate::observation::{Generation, GenerationEnd};

/// Who reads a generation's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subscriber {
    /// The node.
    pub node: usize,
    /// Which start of it.
    pub generation: u32,
}

/// One generation under way or remembered.
#[derive(Debug)]
struct Job {
    observation: usize,
    first_chunk: u32,
    planned: Vec<String>,
    produced: u32,
    usage: Usage,
    subscriber: Option<Subscriber>,
    end: Option<GenerationEnd>,
}

/// What a step of a generation, or a request for its stream, gives to the reader.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineStep {
    /// A piece of the answer.
    Chunk {
        /// Its number.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The end of the answer.
    Completed {
        /// Text of all chunks.
        content: String,
        /// What was consumed.
        usage: Usage,
    },
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub id: EngineId,
    /// Whether it answers at all.
    pub up: bool,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Until when it produces nothing.
    pub stalled_until: Instant,
    /// Counts its starts.
    pub generation: u32,
    max_running: usize,
    jobs: BTreeMap<Ticket, Job>,
    memory: BTreeSet<RunId>,
}

const CHUNK_COUNT_END: u64 = 6;

impl Engine {
    /// An idle engine.
    pub fn new(id: EngineId, max_running: usize) -> Self {
        Self {
            id,
            up: true,
            leaving: false,
            stalled_until: Instant(0),
            generation: 1,
            max_running,
            jobs: BTreeMap::new(),
            memory: BTreeSet::new(),
        }
    }

    /// Generations under way.
    pub fn running(&self) -> usize {
        self.jobs.values().filter(|job| job.end.is_none()).count()
    }

    /// Whether one more request would be turned away.
    pub fn is_full(&self) -> bool {
        self.running() >= self.max_running
    }

    /// Whether the request id is known.
    pub fn knows(&self, ticket: Ticket) -> bool {
        self.jobs.contains_key(&ticket)
    }

    /// Takes a new request; its record goes to `generations`.
    pub fn start(
        &mut self,
        now: Instant,
        request: Generate,
        subscriber: Subscriber,
        random: &mut Random,
        generations: &mut Vec<Generation>,
    ) {
        let prompt = token_count(&render_prompt(&request.messages));
        let planned = plan_answer(&self.id, &request, generations.len(), random);
        let usage = Usage {
            prompt,
            cached: Tokens::ZERO,
            output: Tokens::ZERO,
        };
        self.memory.insert(request.ticket.call.run);
        self.jobs.insert(
            request.ticket,
            Job {
                observation: generations.len(),
                first_chunk: request.first_chunk,
                planned,
                produced: 0,
                usage,
                subscriber: Some(subscriber),
                end: None,
            },
        );
        generations.push(Generation {
            at: now,
            engine: self.id.clone(),
            ticket: request.ticket,
            messages: request.messages,
            continue_text: request.continue_text,
            generated: String::new(),
            ended: None,
            usage,
        });
    }

    /// Produces the next chunk of a generation; `None` once it has ended.
    pub fn step(
        &mut self,
        now: Instant,
        ticket: Ticket,
        generations: &mut [Generation],
    ) -> Option<(Option<Subscriber>, EngineStep)> {
        let job = self.jobs.get_mut(&ticket)?;
        if job.end.is_some() {
            return None;
        }
        let record = &mut generations[job.observation];
        if let Some(text) = job.planned.get(job.produced as usize).cloned() {
            let index = job.first_chunk + job.produced;
            job.produced += 1;
            record.generated.push_str(&text);
            job.usage.output = token_count(&record.generated);
            record.usage = job.usage;
            return Some((job.subscriber, EngineStep::Chunk { index, text }));
        }
        job.end = Some(GenerationEnd::Completed);
        record.ended = Some((now, GenerationEnd::Completed));
        let step = EngineStep::Completed {
            content: record.generated.clone(),
            usage: job.usage,
        };
        Some((job.subscriber, step))
    }

    /// Points a known generation's stream at a new reader and returns what it has missed.
    pub fn resume(
        &mut self,
        ticket: Ticket,
        from_chunk: u32,
        subscriber: Subscriber,
    ) -> Option<Vec<EngineStep>> {
        let job = self.jobs.get_mut(&ticket)?;
        if matches!(job.end, Some(GenerationEnd::Cancelled)) {
            return None;
        }
        job.subscriber = Some(subscriber);
        let produced = &job.planned[..job.produced as usize];
        let mut missed: Vec<EngineStep> = (job.first_chunk..)
            .zip(produced)
            .filter(|(index, _)| *index >= from_chunk)
            .map(|(index, text)| EngineStep::Chunk {
                index,
                text: text.clone(),
            })
            .collect();
        if job.end.is_some() {
            missed.push(EngineStep::Completed {
                content: produced.concat(),
                usage: job.usage,
            });
        }
        Some(missed)
    }

    /// Stops a generation.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket, generations: &mut [Generation]) {
        if let Some(job) = self.jobs.get_mut(&ticket) {
            end_job(now, job, GenerationEnd::Cancelled, generations);
        }
    }

    /// Frees what is held for a run, and cancels its requests.
    pub fn release(&mut self, now: Instant, run: RunId, generations: &mut [Generation]) {
        self.memory.remove(&run);
        let jobs = self.jobs.iter_mut();
        for (_, job) in jobs.filter(|(ticket, _)| ticket.call.run == run) {
            end_job(now, job, GenerationEnd::Cancelled, generations);
        }
    }

    /// Holds memory for a run under a lease, or from an import.
    pub fn retain(&mut self, run: RunId) {
        self.memory.insert(run);
    }

    /// Runs for which memory is held.
    pub fn holdings(&self) -> Vec<RunId> {
        self.memory.iter().copied().collect()
    }

    /// Loses everything: generations, remembered answers, memory.
    pub fn crash(
        &mut self,
        now: Instant,
        generations: &mut [Generation],
    ) -> Vec<(Ticket, Subscriber)> {
        let mut readers = Vec::new();
        for (ticket, job) in &mut self.jobs {
            if job.end.is_none() {
                readers.extend(job.subscriber.map(|subscriber| (*ticket, subscriber)));
            }
            end_job(now, job, GenerationEnd::EngineLost, generations);
        }
        self.jobs.clear();
        self.memory.clear();
        self.generation += 1;
        readers
    }
}

fn end_job(now: Instant, job: &mut Job, end: GenerationEnd, generations: &mut [Generation]) {
    if job.end.is_none() {
        job.end = Some(end);
        generations[job.observation].ended = Some((now, end));
    }
}

/// Chunks that name the call, the engine, the generation and their own index, so that a piece out
/// of index is seen in the text itself.
fn plan_answer(
    engine: &EngineId,
    request: &Generate,
    serial: usize,
    random: &mut Random,
) -> Vec<String> {
    let chunk_count = 1 + random.in_range(1, CHUNK_COUNT_END);
    let mut chunks = Vec::new();
    let mut text = String::new();
    for index in 0..chunk_count {
        let call = request.ticket.call;
        let chunk = format!("[{call} {engine} g{serial} {index}/{chunk_count}]");
        text.push_str(&chunk);
        if token_count(&text) > request.max_output {
            break;
        }
        chunks.push(chunk);
    }
    chunks
}
