//! Progress of the programs and runs of an experiment.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use elderworks_engine_model::{Completion, Request, RequestId, Work};
use elderworks_placement::event::ReadyCall;
use elderworks_placement::{Event, Ticket};
use elderworks_types::text::BlockHash;
use elderworks_types::{Attempt, CallId, CallNumber, ModelName, RunId, Timestamp, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::bound;
use super::fleet::MODEL;
use super::metrics::{ProgramOutcome, Recorder};
use crate::workload::chain::{BLOCK_TOKENS, run_block_hashes};
use crate::workload::{AfterTurn, ProgramPlan, RunPlan};

/// Index of a run in a `RunTable`.
pub type RunIndex = usize;

/// Seed of the hash for run ids, so that ids do not follow the order of arrival.
const RUN_ID_SEED: u64 = 0x5eed;

/// Action of a caller after an answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for a tool.
    Pause(Duration),
    /// Make the next call of these runs.
    Call(Vec<RunIndex>),
    /// Wait for the remaining sub-agents.
    Wait,
    /// Finish: the program has ended.
    ProgramEnded(ProgramOutcome),
}

struct Run {
    id: RunId,
    program: usize,
    plan: RunPlan,
    /// Block hashes of the run's complete token sequence.
    chain: Arc<[BlockHash]>,
    parent: Option<RunIndex>,
    /// Index of the node that places the run's calls.
    node: usize,
    started: Timestamp,
    /// Index of the current turn.
    turn: usize,
    /// Tokens in the history before the current turn.
    history: u64,
    /// Attained service in tokens: prefilled and generated so far.
    attained: u64,
    attempt: Attempt,
    /// Time at which the caller made the current call.
    call_made: Timestamp,
    open_children: usize,
}

/// The programs of an experiment, and their runs in start order.
pub struct RunTable {
    programs: Vec<ProgramPlan>,
    nodes: usize,
    runs: Vec<Run>,
    by_id: HashMap<RunId, RunIndex>,
    ended_programs: usize,
    /// Whether each program has ended.
    has_ended: Vec<bool>,
}

impl RunTable {
    /// Creates a table of programs that have not started.
    pub fn new(programs: Vec<ProgramPlan>, nodes: usize) -> Self {
        Self {
            has_ended: vec![false; programs.len()],
            programs,
            nodes,
            runs: Vec::new(),
            by_id: HashMap::new(),
            ended_programs: 0,
        }
    }

    /// Returns each program's index and intended start.
    pub fn arrivals(&self) -> Vec<(usize, Duration)> {
        let arrivals = self.programs.iter().map(|program| program.arrival);
        arrivals.enumerate().collect()
    }

    /// Returns whether all programs have ended.
    pub fn all_ended(&self) -> bool {
        self.ended_programs == self.programs.len()
    }

    /// Starts a program's root run.
    pub fn start_program(&mut self, program: usize, now: Timestamp) -> RunIndex {
        let root = xxh3_64_with_seed(&(program as u64).to_le_bytes(), RUN_ID_SEED);
        let plan = self.programs[program].root.clone();
        self.start_run(RunId::root(root), program, plan, None, now)
    }

    fn start_run(
        &mut self,
        id: RunId,
        program: usize,
        plan: RunPlan,
        parent: Option<RunIndex>,
        now: Timestamp,
    ) -> RunIndex {
        let index = self.runs.len();
        let identity = id.root ^ id.child.rotate_left(32);
        let history = plan.segments.iter().map(|segment| segment.tokens).sum();
        self.runs.push(Run {
            id,
            program,
            chain: run_block_hashes(&plan, identity).into(),
            plan,
            parent,
            node: (id.root % self.nodes as u64) as usize,
            started: now,
            turn: 0,
            history,
            attained: 0,
            attempt: Attempt(1),
            call_made: now,
            open_children: 0,
        });
        self.by_id.insert(id, index);
        index
    }

    /// Records the time at which the caller makes the run's current call.
    pub fn record_call_time(&mut self, run: RunIndex, now: Timestamp) {
        self.runs[run].call_made = now;
    }

    /// Returns the run's node and its current call.
    pub fn ready_call(&self, run: RunIndex) -> (usize, ReadyCall) {
        let run = &self.runs[run];
        let program = &self.programs[run.program];
        let prompt = run.prompt_tokens();
        let call = ReadyCall {
            ticket: run.ticket(),
            model: ModelName::new(MODEL),
            blocks: run.chain[..(prompt / BLOCK_TOKENS) as usize].to_vec(),
            prompt: Tokens(prompt),
            max_output: Tokens(2_048),
            tenant: program.tenant.clone(),
            program: program.program.clone(),
            run_started: run.started,
            attained: Tokens(run.attained),
            turns: run.turn as u32,
            run_deadline: Some(Timestamp(0) + program.arrival + program.deadline),
            call_deadline: None,
            priority: 0,
            parent: run.parent.map(|parent| self.runs[parent].id),
        };
        (run.node, call)
    }

    /// Returns the engine request of an attempt.
    pub fn request(&self, ticket: Ticket, priority: i64) -> Request {
        let run = self.run(ticket.call.run);
        let output = run.plan.turns[run.turn].output;
        Request {
            id: RequestId::new(format!("{}/{}", ticket.call, ticket.attempt)),
            run: run.id,
            model: ModelName::new(MODEL),
            work: Work::Synthetic {
                prompt: Tokens(run.prompt_tokens()),
                output: Tokens(output),
                chain: self.chain_of(run.id),
            },
            max_output: Tokens(output),
            priority,
            first_chunk: 0,
        }
    }

    /// Returns the block hashes of the run's sequence up to the end of its current turn.
    pub fn chain_of(&self, id: RunId) -> Arc<[BlockHash]> {
        let run = self.run(id);
        let turn = run.turn.min(run.plan.turns.len() - 1);
        let tokens = run.prompt_tokens() + run.plan.turns[turn].output;
        let blocks = (tokens / BLOCK_TOKENS) as usize;
        run.chain[..blocks.min(run.chain.len())].into()
    }

    /// Starts the next attempt after an unsuccessful one.
    pub fn next_attempt(&mut self, ticket: Ticket) -> RunIndex {
        let index = self.by_id[&ticket.call.run];
        self.runs[index].attempt = ticket.attempt.next();
        index
    }

    /// Returns the time from the call to `now`.
    pub fn time_since_call(&self, ticket: Ticket, now: Timestamp) -> Duration {
        now.since(self.run(ticket.call.run).call_made)
    }

    /// Records an answer that reached the node.
    pub fn record_answer(&mut self, ticket: Ticket, completion: &Completion) -> RunIndex {
        let index = self.by_id[&ticket.call.run];
        let run = &mut self.runs[index];
        run.attained += completion.usage.output.0 + completion.prefilled.0;
        index
    }

    /// Returns the event that placement receives after the answer is journalled.
    pub fn event_after_turn(&self, index: RunIndex) -> Option<Event> {
        let run = &self.runs[index];
        match &run.plan.turns[run.turn].after {
            AfterTurn::Pause(_) | AfterTurn::Spawn(_) => Some(Event::RunPaused {
                run: run.id,
                expected_reuse: None,
            }),
            AfterTurn::End => Some(Event::RunEnded { run: run.id }),
        }
    }

    /// Moves to the next turn, or ends the run, after the caller has received the answer.
    pub fn advance(&mut self, index: RunIndex, now: Timestamp) -> Step {
        let run = &mut self.runs[index];
        let after = run.plan.turns[run.turn].after.clone();
        run.history = run.prompt_tokens() + run.plan.turns[run.turn].output;
        match after {
            AfterTurn::Pause(pause) => {
                run.next_turn();
                Step::Pause(pause)
            }
            AfterTurn::Spawn(children) => {
                run.next_turn();
                run.open_children = children.len();
                Step::Call(self.spawn(index, children, now))
            }
            AfterTurn::End => self.run_ended(index, now),
        }
    }

    fn spawn(&mut self, parent: RunIndex, plans: Vec<RunPlan>, now: Timestamp) -> Vec<RunIndex> {
        let parent_id = self.runs[parent].id;
        let program = self.runs[parent].program;
        plans
            .into_iter()
            .map(|plan| {
                let id = parent_id.child(self.runs.len() as u64 + 1);
                self.start_run(id, program, plan, Some(parent), now)
            })
            .collect()
    }

    fn run_ended(&mut self, index: RunIndex, now: Timestamp) -> Step {
        let Some(parent) = self.runs[index].parent else {
            return Step::ProgramEnded(self.program_ended(index, now));
        };
        let run = &mut self.runs[parent];
        run.open_children -= 1;
        if run.open_children > 0 {
            return Step::Wait;
        }
        Step::Call(vec![parent])
    }

    fn program_ended(&mut self, index: RunIndex, now: Timestamp) -> ProgramOutcome {
        let program = self.runs[index].program;
        self.ended_programs += 1;
        self.has_ended[program] = true;
        self.outcome(program, now)
    }

    fn outcome(&self, program: usize, end: Timestamp) -> ProgramOutcome {
        let plan = &self.programs[program];
        let latency = end.since(Timestamp(0) + plan.arrival);
        ProgramOutcome {
            program: plan.program.clone(),
            tenant: plan.tenant.clone(),
            latency,
            bound: bound::program_latency(plan),
            deadline: plan.deadline,
            in_time: latency <= plan.deadline,
        }
    }

    /// Records all unfinished programs with their latency at `end`.
    pub fn record_unfinished(&self, end: Timestamp, recorder: &mut Recorder) {
        for program in 0..self.programs.len() {
            if !self.has_ended[program] {
                recorder.record_unfinished(self.outcome(program, end));
            }
        }
    }

    fn run(&self, id: RunId) -> &Run {
        &self.runs[self.by_id[&id]]
    }
}

impl Run {
    fn prompt_tokens(&self) -> u64 {
        self.history + self.plan.turns[self.turn].prompt
    }

    fn ticket(&self) -> Ticket {
        Ticket {
            call: CallId {
                run: self.id,
                number: CallNumber(self.turn as u32 + 1),
            },
            attempt: self.attempt,
        }
    }

    fn next_turn(&mut self) {
        self.turn += 1;
        self.attempt = Attempt(1);
    }
}
