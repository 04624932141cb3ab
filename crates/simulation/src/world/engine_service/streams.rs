//! Generations and their streams of chunks.

use std::time::Duration;

use elderworks_execution::event::AttemptFailure;
use elderworks_node_core::Event as NodeEvent;
use elderworks_node_core::effect::Generate;
use elderworks_placement::Ticket;

use super::{UNREACHABLE_TIMEOUT, lost, subscriber_of};
use crate::fault::CallPoint;
use crate::kernel::{Direction, Endpoint};
use crate::platform::{EngineStep, Subscriber};
use crate::world::World;
use crate::world::event::{Event, NodeStart};

/// Interval between two chunks.
const CHUNK_INTERVAL: Duration = Duration::from_millis(60);
/// Time until the first chunk.
const FIRST_CHUNK_DELAY: Duration = Duration::from_millis(120);

/// Retry delay in the rejections of a full engine.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

impl World {
    pub(super) fn start_generation(&mut self, from: NodeStart, engine: usize, request: Generate) {
        let ticket = request.ticket;
        if self.engines[engine].knows(ticket) {
            self.resume_generation(from, engine, ticket, request.first_chunk);
            return;
        }
        if self.engines[engine].is_full() {
            let retry_after = Some(FULL_RETRY_AFTER);
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
        self.node_reached(CallPoint::Taken, from.node);
    }

    pub(super) fn resume_generation(
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
                    self.deliver_step(engine, subscriber_of(from), ticket, step);
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

    /// Produces the next chunk of a generation, or its end; delayed while the engine is stalled.
    pub(in crate::world) fn on_engine_step(
        &mut self,
        engine: usize,
        generation: u32,
        ticket: Ticket,
    ) {
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
            self.deliver_step(engine, subscriber, ticket, step);
            let point = if is_chunk {
                CallPoint::Chunk
            } else {
                CallPoint::Answered
            };
            self.node_reached(point, subscriber.node);
        }
        if is_chunk {
            self.schedule_step(engine, ticket, CHUNK_INTERVAL);
        }
    }

    fn deliver_step(&mut self, engine: usize, to: Subscriber, ticket: Ticket, step: EngineStep) {
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
}
