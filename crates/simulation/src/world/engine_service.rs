//! Requests to engines, their streams, and the polling of their state.

use std::time::Duration;

use elderworks_execution::event::AttemptFailure;
use elderworks_node_core::Event as NodeEvent;
use elderworks_node_core::pace::EnginePace;
use elderworks_placement::Ticket;
use elderworks_placement::event::LoadReport;
use elderworks_types::{EngineId, FailureReason, Tokens, Usage};

use super::event::{EngineRequest, Event, NodeStart};
use super::{WatchedEngine, World};
use crate::fault::CallPoint;
use crate::kernel::{Direction, Endpoint};
use crate::observation::Departure;
use crate::platform::{EngineStep, Subscriber};

const CHUNK_INTERVAL: Duration = Duration::from_millis(60);
const FIRST_CHUNK_DELAY: Duration = Duration::from_millis(120);
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(2);
const LEAVE_GRACE: Duration = Duration::from_secs(12);
const BLOCKS_TOTAL: u32 = 4_096;

impl World {
    pub(super) fn engine_by_id(&self, id: &EngineId) -> Option<usize> {
        self.engines.iter().position(|engine| engine.id == *id)
    }

    /// A node sends a request to an engine.
    pub(super) fn request_engine(
        &mut self,
        from: NodeStart,
        engine: &EngineId,
        request: EngineRequest,
    ) {
        let Some(engine) = self.engine_by_id(engine) else {
            return;
        };
        let direction = engine_direction(from, engine);
        if self.network.cut_until(direction, self.now).is_some() {
            if let Some(ticket) = attempt_of(&request) {
                self.fail_attempt(from, ticket, UNREACHABLE_TIMEOUT, lost());
            }
            return;
        }
        let delay = self
            .network
            .delay(self.same_zone(direction.from, direction.to), direction);
        let event = Event::ToEngine {
            from,
            engine,
            request,
        };
        self.schedule(delay, event);
    }

    /// A request reaches an engine.
    pub(super) fn on_engine_request(
        &mut self,
        from: NodeStart,
        engine: usize,
        request: EngineRequest,
    ) {
        if !self.engines[engine].up {
            if let Some(ticket) = attempt_of(&request) {
                self.fail_attempt(
                    from,
                    ticket,
                    self.engine_delay(from, engine),
                    AttemptFailure::NotSent,
                );
            }
            return;
        }
        let now = self.now;
        let generations = &mut self.observations.generations;
        match request {
            EngineRequest::Generate(request) => self.start_generation(from, engine, *request),
            EngineRequest::Resume { ticket, from_chunk } => {
                self.resume_generation(from, engine, ticket, from_chunk);
            }
            EngineRequest::Cancel { ticket } => {
                self.engines[engine].cancel(now, ticket, generations);
            }
            EngineRequest::Release { run } => {
                self.engines[engine].release(now, run, generations);
                let id = self.engines[engine].id.clone();
                self.deliver_from_engine(
                    from,
                    engine,
                    NodeEvent::MemoryReleased { run, engine: id },
                );
            }
            EngineRequest::Retain { run } | EngineRequest::Import { run } => {
                self.engines[engine].retain(run);
            }
            EngineRequest::Poll => self.answer_poll(from, engine),
        }
    }

    fn start_generation(
        &mut self,
        from: NodeStart,
        engine: usize,
        request: elderworks_node_core::effect::Generate,
    ) {
        let ticket = request.ticket;
        if self.engines[engine].knows(ticket) {
            self.resume_generation(from, engine, ticket, request.first_chunk);
            return;
        }
        if self.engines[engine].is_full() {
            let retry_after = Some(Duration::from_millis(500));
            let failure = AttemptFailure::Rejected { retry_after };
            self.fail_attempt(from, ticket, self.engine_delay(from, engine), failure);
            return;
        }
        self.trace.line(
            self.now,
            format_args!(
                "engine-{engine}: takes {}#{} from node-{}",
                ticket.call, ticket.attempt, from.node
            ),
        );
        let subscriber = subscriber_of(from);
        self.engines[engine].start(
            self.now,
            request,
            subscriber,
            &mut self.platform_random,
            &mut self.observations.generations,
        );
        self.schedule_step(engine, ticket, FIRST_CHUNK_DELAY);
        self.reach(CallPoint::Taken, from.node);
    }

    fn resume_generation(
        &mut self,
        from: NodeStart,
        engine: usize,
        ticket: Ticket,
        from_chunk: u32,
    ) {
        let resumed = self.engines[engine].resume(ticket, from_chunk, subscriber_of(from));
        match resumed {
            Some(missed) => {
                for step in missed {
                    self.give_step(engine, subscriber_of(from), ticket, step);
                }
            }
            None => {
                self.fail_attempt(
                    from,
                    ticket,
                    self.engine_delay(from, engine),
                    AttemptFailure::NotSent,
                );
            }
        }
    }

    fn schedule_step(&mut self, engine: usize, ticket: Ticket, delay: Duration) {
        let generation = self.engines[engine].generation;
        let event = Event::EngineStep {
            engine,
            generation,
            ticket,
        };
        self.schedule(delay, event);
    }

    /// A generation's next chunk is due.
    pub(super) fn on_engine_step(&mut self, engine: usize, generation: u32, ticket: Ticket) {
        if self.engines[engine].generation != generation || !self.engines[engine].up {
            return;
        }
        let stalled_until = self.engines[engine].stalled_until;
        if stalled_until > self.now {
            self.schedule_step(engine, ticket, stalled_until.since(self.now));
            return;
        }
        let generations = &mut self.observations.generations;
        let Some((subscriber, step)) = self.engines[engine].step(self.now, ticket, generations)
        else {
            return;
        };
        let is_chunk = matches!(step, EngineStep::Chunk { .. });
        if let Some(subscriber) = subscriber {
            self.give_step(engine, subscriber, ticket, step);
            let point = if is_chunk {
                CallPoint::Chunk
            } else {
                CallPoint::Answered
            };
            self.reach(point, subscriber.node);
        }
        if is_chunk {
            self.schedule_step(engine, ticket, CHUNK_INTERVAL);
        }
    }

    fn give_step(&mut self, engine: usize, to: Subscriber, ticket: Ticket, step: EngineStep) {
        let start = NodeStart {
            node: to.node,
            generation: to.generation,
        };
        let input = match step {
            EngineStep::Chunk { index, text } => NodeEvent::AttemptChunk {
                ticket,
                index,
                text,
            },
            EngineStep::Completed { content, usage } => NodeEvent::AttemptCompleted {
                ticket,
                content,
                usage,
            },
        };
        let direction = Direction {
            from: Endpoint::Engine(engine),
            to: Endpoint::Node(to.node),
        };
        if self.network.cut_until(direction, self.now).is_some() {
            self.fail_attempt(start, ticket, UNREACHABLE_TIMEOUT, lost());
            return;
        }
        self.deliver_from_engine(start, engine, input);
    }

    /// Messages of one engine to one node keep their order.
    fn deliver_from_engine(&mut self, to: NodeStart, engine: usize, input: NodeEvent) {
        let delay = self.engine_delay(to, engine);
        self.deliver_to_node_later(to, delay, input);
    }

    /// The delay between an engine and a node; without jitter, so that streams keep their order.
    fn engine_delay(&self, node: NodeStart, engine: usize) -> Duration {
        if self.same_zone(Endpoint::Node(node.node), Endpoint::Engine(engine)) {
            return self.scenario.network.within_zone;
        }
        self.scenario.network.between_zones
    }

    pub(super) fn fail_attempt(
        &mut self,
        to: NodeStart,
        ticket: Ticket,
        after: Duration,
        failure: AttemptFailure,
    ) {
        self.deliver_to_node_later(to, after, NodeEvent::AttemptFailed { ticket, failure });
    }

    /// A node begins to poll an engine.
    pub(super) fn watch_engine(&mut self, from: NodeStart, engine: &EngineId) {
        let Some(engine) = self.engine_by_id(engine) else {
            return;
        };
        let watched = WatchedEngine {
            last_answer: self.now,
            pace: EnginePace::Resting,
        };
        if self.nodes[from.node]
            .watched
            .insert(engine, watched)
            .is_none()
        {
            self.schedule(Duration::ZERO, Event::EnginePoll { from, engine });
        }
    }

    /// A node's next poll of an engine is due.
    pub(super) fn on_engine_poll(&mut self, from: NodeStart, engine: usize) {
        let is_current = self.nodes[from.node].slot.generation() == from.generation;
        let Some(watched) = self.nodes[from.node].watched.get_mut(&engine) else {
            return;
        };
        if !is_current {
            return;
        }
        let interval = watched.pace.interval();
        let last_answer = watched.last_answer;
        self.schedule(interval, Event::EnginePoll { from, engine });
        let id = self.engines[engine].id.clone();
        let direction = engine_direction(from, engine);
        let is_cut = self.network.cut_until(direction, self.now).is_some();
        if is_cut || !self.engines[engine].up {
            let silent_for = self.now.since(last_answer);
            let silent = NodeEvent::EngineSilent {
                engine: id,
                silent_for,
            };
            self.deliver_to_node(from, silent);
            return;
        }
        if let Some(watched) = self.nodes[from.node].watched.get_mut(&engine) {
            watched.last_answer = self.now;
        }
        self.request_engine(from, &id, EngineRequest::Poll);
    }

    fn answer_poll(&mut self, from: NodeStart, index: usize) {
        let measured = self.nodes[from.node].slot.clock.read(self.now);
        let engine = &self.engines[index];
        let id = engine.id.clone();
        let runs = engine.holdings();
        let is_leaving = engine.leaving;
        let report = LoadReport {
            measured,
            running: engine.running() as u32,
            waiting: 0,
            waiting_prefill: Tokens::ZERO,
            blocks_used: runs.len() as u32,
            blocks_total: BLOCKS_TOTAL,
        };
        let load = NodeEvent::EngineLoad {
            engine: id.clone(),
            report,
        };
        self.deliver_from_engine(from, index, load);
        let holdings = NodeEvent::EngineHoldings {
            engine: id.clone(),
            runs,
        };
        self.deliver_from_engine(from, index, holdings);
        if is_leaving {
            self.deliver_from_engine(from, index, NodeEvent::EngineLeaving { engine: id });
        }
    }

    /// An engine's process dies; its readers see their streams break.
    pub(super) fn crash_engine(&mut self, engine: usize, restart_after: Duration) {
        if !self.engines[engine].up {
            return;
        }
        let generations = &mut self.observations.generations;
        let readers = self.engines[engine].crash(self.now, generations);
        self.end_departure(engine);
        self.engines[engine].up = false;
        for (ticket, reader) in readers {
            let start = NodeStart {
                node: reader.node,
                generation: reader.generation,
            };
            self.fail_attempt(start, ticket, self.engine_delay(start, engine), lost());
        }
        self.schedule(restart_after, Event::EngineStart(engine));
    }

    /// An engine starts again with an empty cache.
    pub(super) fn on_engine_start(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.engines[engine].leaving = false;
    }

    /// An engine says that it is leaving; once idle, or after its grace period, it is replaced.
    pub(super) fn leave_engine(&mut self, engine: usize) {
        if self.engines[engine].leaving || !self.engines[engine].up {
            return;
        }
        self.engines[engine].leaving = true;
        self.observations.departures.push(Departure {
            at: self.now,
            until: self.now.after(LEAVE_GRACE),
            engine: self.engines[engine].id.clone(),
        });
    }

    /// A leaving engine is gone before its time; what starts in its place is not leaving.
    fn end_departure(&mut self, engine: usize) {
        let id = &self.engines[engine].id;
        let departures = self.observations.departures.iter_mut();
        if let Some(departure) = departures.rev().find(|departure| departure.engine == *id) {
            departure.until = departure.until.min(self.now);
        }
    }

    /// How long a leaving engine stays to finish its streams.
    pub(super) fn leave_grace() -> Duration {
        LEAVE_GRACE
    }
}

fn engine_direction(from: NodeStart, engine: usize) -> Direction {
    Direction {
        from: Endpoint::Node(from.node),
        to: Endpoint::Engine(engine),
    }
}

fn subscriber_of(start: NodeStart) -> Subscriber {
    Subscriber {
        node: start.node,
        generation: start.generation,
    }
}

fn attempt_of(request: &EngineRequest) -> Option<Ticket> {
    match request {
        EngineRequest::Generate(generate) => Some(generate.ticket),
        EngineRequest::Resume { ticket, .. } => Some(*ticket),
        _ => None,
    }
}

fn lost() -> AttemptFailure {
    AttemptFailure::Lost {
        reason: FailureReason::BackendError,
        usage: Usage::default(),
    }
}
