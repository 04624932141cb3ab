//! One experiment: a fleet, a workload and a policy on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use elderworks_placement::{Effect, Event};
use elderworks_types::{RefusalReason, Timestamp};

use super::fleet::{EngineAction, Fleet, FleetSettings, Heard};
use super::metrics::{Metrics, Recorder};
use super::policy::{Policy, PolicyKind};
use super::runs::{RunIndex, RunTable, Step};
use crate::workload::{Preset, generate};

/// How often nodes read the engines' feeds.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How often placement hears that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a node waits before it offers a call again that an engine rejected.
const REJECTION_BACKOFF: Duration = Duration::from_millis(500);
/// When a refused caller comes back if it was not told when.
const DEFAULT_RETRY: Duration = Duration::from_secs(2);
/// Experiments end this long after the last arrival even with programs unfinished. Longer than any
/// program takes on a fleet that is not overloaded, tool pauses included.
const LONGEST_DRAIN: Duration = Duration::from_secs(60 * 60);

/// What one experiment is of.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Fleet and programs.
    pub preset: Preset,
    /// Share of the fleet's capacity.
    pub load: f64,
    /// Policy under test.
    pub policy: PolicyKind,
    /// Seed of the workload and of the policy's choices.
    pub seed: u64,
    /// Lag and loss of the engines' feeds.
    pub fleet: FleetSettings,
}

#[derive(Debug, PartialEq, Eq)]
enum Action {
    ProgramArrives(usize),
    CallReachesNode(RunIndex),
    ReachesEngine(usize, Box<EngineAction>),
    EngineDue(usize),
    NodeHears(usize, Box<Heard>),
    TurnEnds(RunIndex),
    ResumesAfterPause(RunIndex),
    Poll(usize),
    Tick(usize),
}

/// Actions in order of time, then of scheduling.
struct Scheduled {
    at: Timestamp,
    order: u64,
    action: Action,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Experiment {
    now: Timestamp,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_order: u64,
    client_distance: Duration,
    fleet: Fleet,
    nodes: Vec<Box<dyn Policy>>,
    runs: RunTable,
    recorder: Recorder,
}

/// Runs one experiment to its end.
pub fn run(setting: &Setting) -> Metrics {
    let programs = generate::programs(&setting.preset, setting.load, setting.seed);
    let end = Timestamp(0) + setting.preset.horizon + LONGEST_DRAIN;
    let horizon = Timestamp(0) + setting.preset.horizon;
    let mut experiment = Experiment::new(setting, RunTable::new(programs, setting.preset.nodes));
    let mut measured_cache = false;
    while let Some(Reverse(next)) = experiment.queue.pop() {
        if next.at > end || experiment.runs.all_ended() {
            break;
        }
        if next.at > horizon && !measured_cache {
            measured_cache = true;
            experiment.measure_cache(horizon);
        }
        experiment.now = next.at;
        experiment.perform(next.action);
    }
    if !measured_cache {
        experiment.measure_cache(experiment.now);
    }
    experiment
        .runs
        .record_unfinished(end, &mut experiment.recorder);
    experiment.recorder.metrics()
}

impl Experiment {
    fn new(setting: &Setting, runs: RunTable) -> Self {
        let preset = &setting.preset;
        let fleet = Fleet::new(preset, &setting.fleet, setting.seed);
        let nodes = (0..preset.nodes)
            .map(|node| {
                let seed = setting.seed.wrapping_mul(1_000) + node as u64;
                setting.policy.build(fleet.node_zone(node), seed)
            })
            .collect();
        let mut experiment = Self {
            now: Timestamp(0),
            queue: BinaryHeap::new(),
            next_order: 0,
            client_distance: preset.client_distance,
            fleet,
            nodes,
            runs,
            recorder: Recorder::new(),
        };
        experiment.start();
        experiment
    }

    fn start(&mut self) {
        for node in 0..self.nodes.len() {
            for event in self.fleet.introductions() {
                self.tell(node, event);
            }
            let offset = Duration::from_millis(37) * node as u32;
            self.schedule(offset, Action::Poll(node));
            self.schedule(offset, Action::Tick(node));
        }
        for (program, arrival) in self.runs.arrivals() {
            self.schedule(arrival, Action::ProgramArrives(program));
        }
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        self.schedule_at(self.now + after, action);
    }

    fn schedule_at(&mut self, at: Timestamp, action: Action) {
        let order = self.next_order;
        self.next_order += 1;
        self.queue.push(Reverse(Scheduled { at, order, action }));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::ProgramArrives(program) => {
                let run = self.runs.start_program(program, self.now);
                self.send_call(run);
            }
            Action::CallReachesNode(run) => self.offer(run),
            Action::ReachesEngine(engine, action) => self.reach_engine(engine, *action),
            Action::EngineDue(engine) => self.engine_due(engine),
            Action::NodeHears(node, heard) => self.node_hears(node, *heard),
            Action::TurnEnds(run) => self.turn_ends(run),
            Action::ResumesAfterPause(run) => self.send_call(run),
            Action::Poll(node) => self.poll(node),
            Action::Tick(node) => {
                self.tell(node, Event::Tick);
                self.schedule(TICK_INTERVAL, Action::Tick(node));
            }
        }
    }

    /// The caller makes the run's next call.
    fn send_call(&mut self, run: RunIndex) {
        self.runs.call_made(run, self.now);
        self.schedule(self.client_distance, Action::CallReachesNode(run));
    }

    fn offer(&mut self, run: RunIndex) {
        let (node, call) = self.runs.ready_call(run);
        self.tell(node, Event::CallReady(Box::new(call)));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let effects = self.nodes[node].handle(self.now, event);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Dispatch {
                ticket,
                engine,
                engine_priority,
                ..
            } => {
                let request = self.runs.request(ticket, engine_priority);
                let engine = self.fleet.index(&engine);
                let action = EngineAction::Submit {
                    node,
                    ticket,
                    request,
                };
                self.send_to_engine(node, engine, action);
            }
            Effect::Refuse { ticket, refusal } => {
                debug_assert_ne!(refusal.reason, RefusalReason::NoBackend);
                let after = refusal.retry_after.unwrap_or(DEFAULT_RETRY);
                let run = self.runs.next_attempt(ticket);
                self.recorder.refused();
                self.schedule(
                    after + self.client_distance * 2,
                    Action::CallReachesNode(run),
                );
            }
            Effect::Retain { run, engine, lease } => {
                let engine = self.fleet.index(&engine);
                self.send_to_engine(node, engine, EngineAction::Retain { run, lease });
            }
            Effect::Drop { run, engine } => {
                let engine = self.fleet.index(&engine);
                self.send_to_engine(node, engine, EngineAction::Release { run });
            }
            Effect::Transfer { run, from, to } => {
                let from = self.fleet.index(&from);
                let to = self.fleet.index(&to);
                let chain = self.runs.chain_of(run);
                self.send_to_engine(node, to, EngineAction::Import { run, from, chain });
            }
        }
    }

    fn send_to_engine(&mut self, node: usize, engine: usize, action: EngineAction) {
        let distance = self.fleet.distance(node, engine);
        self.schedule(distance, Action::ReachesEngine(engine, Box::new(action)));
    }

    fn reach_engine(&mut self, engine: usize, action: EngineAction) {
        let heard = self.fleet.reach(self.now, engine, action);
        for (node, heard) in heard {
            self.send_to_node(engine, node, heard);
        }
        self.wake_engine(engine);
    }

    fn engine_due(&mut self, engine: usize) {
        if !self.fleet.is_due(engine, self.now) {
            return;
        }
        for (node, heard) in self.fleet.advance(self.now, engine) {
            if let Heard::Completed { ticket, completion } = &heard {
                let chain = self.runs.chain_of(ticket.call.run);
                self.recorder.call_completed(&chain, completion);
            }
            self.send_to_node(engine, node, heard);
        }
        self.wake_engine(engine);
    }

    fn wake_engine(&mut self, engine: usize) {
        if let Some(at) = self.fleet.take_wake(engine) {
            self.schedule_at(at.max(self.now), Action::EngineDue(engine));
        }
    }

    fn send_to_node(&mut self, engine: usize, node: usize, heard: Heard) {
        let distance = self.fleet.distance(node, engine);
        self.schedule(distance, Action::NodeHears(node, Box::new(heard)));
    }

    fn node_hears(&mut self, node: usize, heard: Heard) {
        self.tell(node, heard.event());
        match heard {
            Heard::FirstToken { ticket } => {
                let since_call = self
                    .runs
                    .since_call(ticket, self.now + self.client_distance);
                self.recorder.first_token(since_call);
            }
            Heard::Rejected { ticket } => {
                let run = self.runs.next_attempt(ticket);
                self.schedule(REJECTION_BACKOFF, Action::CallReachesNode(run));
            }
            Heard::Completed { ticket, completion } => {
                let run = self.runs.answered(ticket, &completion);
                if let Some(event) = self.runs.after_turn(run) {
                    self.tell(node, event);
                }
                self.schedule(self.client_distance, Action::TurnEnds(run));
            }
        }
    }

    /// The caller has the whole answer and goes on.
    fn turn_ends(&mut self, run: RunIndex) {
        match self.runs.advance(run, self.now) {
            Step::Pause(pause) => self.schedule(pause, Action::ResumesAfterPause(run)),
            Step::Call(runs) => runs.into_iter().for_each(|run| self.send_call(run)),
            Step::Wait => {}
            Step::ProgramEnded(outcome) => self.recorder.program_ended(outcome),
        }
    }

    fn poll(&mut self, node: usize) {
        for event in self.fleet.poll(self.now, node) {
            self.tell(node, event);
        }
        self.schedule(POLL_INTERVAL, Action::Poll(node));
    }

    fn measure_cache(&mut self, at: Timestamp) {
        self.recorder.cache(self.fleet.unused_block_seconds(at));
    }
}
