//! Discrete-event simulation of a fleet, a workload and a policy on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use elderworks_placement::{Effect, Event};
use elderworks_types::{RefusalReason, Timestamp};

use super::fleet::{EngineAction, EngineMessage, Fleet, FleetSettings};
use super::metrics::{Metrics, Recorder};
use super::policy::{Policy, PolicyKind};
use super::runs::{RunIndex, RunTable, Step};
use crate::workload::{Preset, generate};

/// Interval at which nodes poll the engines' feeds.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of placement ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a node retries a call that an engine rejected.
const REJECTION_BACKOFF: Duration = Duration::from_millis(500);
/// Delay before a refused caller retries if the refusal has no `retry_after`.
const DEFAULT_RETRY: Duration = Duration::from_secs(2);
/// Time after the end of arrivals at which an experiment stops even if programs are unfinished.
/// Exceeds the duration of any program, including tool pauses, on a fleet that is not overloaded.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(60 * 60);

/// Settings of one experiment.
#[derive(Clone, Debug)]
pub struct ExperimentSettings {
    /// Fleet and workload.
    pub preset: Preset,
    /// Offered load as a fraction of the fleet's capacity.
    pub load: f64,
    /// Policy under test.
    pub policy: PolicyKind,
    /// Seed of the workload and of the policy's random choices.
    pub seed: u64,
    /// Delay and loss of the engines' feeds.
    pub fleet: FleetSettings,
}

#[derive(Debug, PartialEq, Eq)]
enum Action {
    ProgramArrives(usize),
    CallReachesNode(RunIndex),
    ReachesEngine(usize, Box<EngineAction>),
    EngineDue(usize),
    ReachesNode(usize, Box<EngineMessage>),
    AnswerReachesCaller(RunIndex),
    ResumesAfterPause(RunIndex),
    Poll(usize),
    Tick(usize),
}

/// A scheduled action, ordered by time and then by scheduling order.
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
    client_latency: Duration,
    fleet: Fleet,
    nodes: Vec<Box<dyn Policy>>,
    runs: RunTable,
    recorder: Recorder,
}

/// Runs one experiment and returns its metrics.
pub fn run(settings: &ExperimentSettings) -> Metrics {
    let programs = generate::programs(&settings.preset, settings.load, settings.seed);
    let end = Timestamp(0) + settings.preset.horizon + MAX_DRAIN_TIME;
    let horizon = Timestamp(0) + settings.preset.horizon;
    let mut experiment = Experiment::new(settings, RunTable::new(programs, settings.preset.nodes));
    let mut cache_is_measured = false;
    while let Some(Reverse(next)) = experiment.queue.pop() {
        if next.at > end || experiment.runs.all_ended() {
            break;
        }
        if next.at > horizon && !cache_is_measured {
            cache_is_measured = true;
            experiment.measure_unused_blocks(horizon);
        }
        experiment.now = next.at;
        experiment.perform(next.action);
    }
    if !cache_is_measured {
        experiment.measure_unused_blocks(experiment.now);
    }
    experiment
        .runs
        .record_unfinished(end, &mut experiment.recorder);
    experiment.recorder.metrics()
}

impl Experiment {
    fn new(settings: &ExperimentSettings, runs: RunTable) -> Self {
        let preset = &settings.preset;
        let fleet = Fleet::new(preset, &settings.fleet, settings.seed);
        let nodes = (0..preset.nodes)
            .map(|node| {
                let seed = settings.seed.wrapping_mul(1_000) + node as u64;
                settings.policy.build(fleet.node_zone(node), seed)
            })
            .collect();
        let mut experiment = Self {
            now: Timestamp(0),
            queue: BinaryHeap::new(),
            next_order: 0,
            client_latency: preset.client_latency,
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
            for event in self.fleet.engine_added_events() {
                self.notify_node(node, event);
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
            Action::CallReachesNode(run) => self.submit_call(run),
            Action::ReachesEngine(engine, action) => self.deliver_to_engine(engine, *action),
            Action::EngineDue(engine) => self.engine_due(engine),
            Action::ReachesNode(node, message) => self.deliver_to_node(node, *message),
            Action::AnswerReachesCaller(run) => self.continue_run(run),
            Action::ResumesAfterPause(run) => self.send_call(run),
            Action::Poll(node) => self.poll(node),
            Action::Tick(node) => {
                self.notify_node(node, Event::Tick);
                self.schedule(TICK_INTERVAL, Action::Tick(node));
            }
        }
    }

    /// Sends the run's current call from the caller to its node.
    fn send_call(&mut self, run: RunIndex) {
        self.runs.record_call_time(run, self.now);
        self.schedule(self.client_latency, Action::CallReachesNode(run));
    }

    fn submit_call(&mut self, run: RunIndex) {
        let (node, call) = self.runs.ready_call(run);
        self.notify_node(node, Event::CallReady(Box::new(call)));
    }

    fn notify_node(&mut self, node: usize, event: Event) {
        let effects = self.nodes[node].handle(self.now, event);
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
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
                self.recorder.record_refusal();
                self.schedule(
                    after + self.client_latency * 2,
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
        let latency = self.fleet.network_latency(node, engine);
        self.schedule(latency, Action::ReachesEngine(engine, Box::new(action)));
    }

    fn deliver_to_engine(&mut self, engine: usize, action: EngineAction) {
        let replies = self.fleet.deliver(self.now, engine, action);
        for (node, message) in replies {
            self.send_to_node(engine, node, message);
        }
        self.wake_engine(engine);
    }

    fn engine_due(&mut self, engine: usize) {
        if !self.fleet.is_due(engine, self.now) {
            return;
        }
        for (node, message) in self.fleet.advance(self.now, engine) {
            if let EngineMessage::Completed { ticket, completion } = &message {
                let chain = self.runs.chain_of(ticket.call.run);
                self.recorder.record_call(&chain, completion);
            }
            self.send_to_node(engine, node, message);
        }
        self.wake_engine(engine);
    }

    fn wake_engine(&mut self, engine: usize) {
        if let Some(at) = self.fleet.schedule_wake(engine) {
            self.schedule_at(at.max(self.now), Action::EngineDue(engine));
        }
    }

    fn send_to_node(&mut self, engine: usize, node: usize, message: EngineMessage) {
        let latency = self.fleet.network_latency(node, engine);
        self.schedule(latency, Action::ReachesNode(node, Box::new(message)));
    }

    fn deliver_to_node(&mut self, node: usize, message: EngineMessage) {
        self.notify_node(node, message.event());
        match message {
            EngineMessage::FirstToken { ticket } => {
                let time_since_call = self
                    .runs
                    .time_since_call(ticket, self.now + self.client_latency);
                self.recorder.record_first_token(time_since_call);
            }
            EngineMessage::Rejected { ticket } => {
                let run = self.runs.next_attempt(ticket);
                self.schedule(REJECTION_BACKOFF, Action::CallReachesNode(run));
            }
            EngineMessage::Completed { ticket, completion } => {
                let run = self.runs.record_answer(ticket, &completion);
                if let Some(event) = self.runs.event_after_turn(run) {
                    self.notify_node(node, event);
                }
                self.schedule(self.client_latency, Action::AnswerReachesCaller(run));
            }
        }
    }

    /// Continues the run after its caller has received the complete answer.
    fn continue_run(&mut self, run: RunIndex) {
        match self.runs.advance(run, self.now) {
            Step::Pause(pause) => self.schedule(pause, Action::ResumesAfterPause(run)),
            Step::Call(runs) => runs.into_iter().for_each(|run| self.send_call(run)),
            Step::Wait => {}
            Step::ProgramEnded(outcome) => self.recorder.record_program(outcome),
        }
    }

    fn poll(&mut self, node: usize) {
        for event in self.fleet.poll(self.now, node) {
            self.notify_node(node, event);
        }
        self.schedule(POLL_INTERVAL, Action::Poll(node));
    }

    fn measure_unused_blocks(&mut self, at: Timestamp) {
        self.recorder
            .set_unused_block_seconds(self.fleet.unused_block_seconds(at));
    }
}
