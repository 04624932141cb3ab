//! Requests of nodes to engines, and their answers.

mod lifecycle;
mod polling;
mod streams;

use std::time::Duration;

use elderworks_execution::event::AttemptFailure;
use elderworks_node_core::Event as NodeEvent;
use elderworks_placement::Ticket;
use elderworks_types::{EngineId, FailureReason, Usage};

use super::World;
use super::event::{EngineRequest, Event, NodeStart};
use crate::kernel::{Direction, Endpoint};
use crate::platform::Subscriber;

/// Time until a request to an unreachable engine fails.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn engine_by_id(&self, id: &EngineId) -> Option<usize> {
        self.engines.iter().position(|engine| engine.id == *id)
    }

    /// Sends a request from a node to an engine.
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

    /// Handles a request that has arrived at an engine.
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

    /// Delivers an event from an engine to a node; events between the same two arrive in order.
    fn deliver_from_engine(&mut self, to: NodeStart, engine: usize, input: NodeEvent) {
        let delay = self.engine_delay(to, engine);
        self.deliver_to_node_later(to, delay, input);
    }

    /// Returns the one-way delay between an engine and a node, without jitter, so that streams stay in
    /// order.
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

/// Returns the attempt that fails if the request fails.
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
