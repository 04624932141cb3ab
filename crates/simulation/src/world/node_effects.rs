//! Executes the effects of a node's core, as its driver does in production.

use elderworks_node_core::effect::Generate;
use elderworks_node_core::pace::EnginePace;
use elderworks_node_core::{Effect, Event as NodeEvent};
use elderworks_placement::Ticket;
use elderworks_types::EngineId;

use super::World;
use super::event::{EngineRequest, Event, NodeStart, Payload, ToolRequest};
use crate::fault::CallPoint;

impl World {
    pub(super) fn execute_node_effect(&mut self, from: NodeStart, effect: Effect) {
        if self.nodes[from.node].slot.generation() != from.generation {
            return;
        }
        match effect {
            Effect::Append {
                stream,
                token,
                bytes,
            } => {
                self.nodes[from.node].appends.insert(token);
                self.request_append(from, stream, token, bytes);
            }
            Effect::Read {
                stream,
                from: offset,
                wait,
            } => self.request_read(from, stream, offset, wait),
            Effect::SendDatagram { to, datagram } => self.send_datagram(from, to, &datagram),
            Effect::Send {
                connection,
                message,
            } => self.send_on_connection(connection, Payload::FromNode(Box::new(message))),
            Effect::SendPeer { peer, message } => self.send_to_peer(from, &peer, message),
            Effect::WatchEngine { engine, .. } => self.watch_engine(from, &engine),
            Effect::PaceEngine { engine, pace } => self.pace_engine(from, &engine, pace),
            Effect::ForgetEngine { engine } => self.unwatch_engine(from, &engine),
            Effect::Generate(request) => self.generate(from, *request),
            Effect::ResumeStream {
                ticket,
                engine,
                from_chunk,
                ..
            } => self.resume_stream(from, ticket, engine, from_chunk),
            Effect::DetachAttempt { ticket } => {
                self.nodes[from.node].attempts.remove(&ticket);
            }
            Effect::CancelAttempt { ticket } => self.cancel_attempt(from, ticket),
            Effect::InvokeTool {
                ticket,
                tool,
                arguments,
                idempotency_key: key,
                timeout,
                ..
            } => {
                self.nodes[from.node].attempts.insert(ticket, None);
                self.schedule(timeout, Event::AttemptTimeout { from, ticket });
                let request = ToolRequest::Invoke {
                    arguments,
                    key,
                    timeout,
                };
                self.request_tool(from, ticket, tool, request);
                self.node_reached(CallPoint::Sent, from.node);
            }
            Effect::QueryTool {
                ticket,
                tool,
                idempotency_key: key,
                ..
            } => {
                self.nodes[from.node].attempts.insert(ticket, None);
                self.request_tool(from, ticket, tool, ToolRequest::Query { key });
            }
            Effect::ReleaseMemory { run, engine, .. } => {
                self.request_engine(from, &engine, EngineRequest::Release { run });
            }
            Effect::RetainMemory { run, engine, .. } => {
                self.request_engine(from, &engine, EngineRequest::Retain { run });
            }
            Effect::TransferMemory { run, to_url, .. } => self.transfer(from, run, &to_url),
            Effect::OperatorReply { request, reply } => self.reply_to_operator(request, reply),
            Effect::WatchEvent { .. } => {}
            Effect::Ready(ready) => {
                self.nodes[from.node].ready = ready;
                self.trace
                    .line(self.now, format_args!("node-{}: ready {ready}", from.node));
            }
            Effect::Drained => self.on_drained(from),
        }
    }

    fn generate(&mut self, from: NodeStart, request: Generate) {
        let ticket = request.ticket;
        let engine = request.engine.clone();
        let timeout = request.timeout;
        self.nodes[from.node]
            .attempts
            .insert(ticket, Some(engine.clone()));
        self.schedule(timeout, Event::AttemptTimeout { from, ticket });
        self.request_engine(from, &engine, EngineRequest::Generate(Box::new(request)));
        self.node_reached(CallPoint::Sent, from.node);
    }

    fn resume_stream(
        &mut self,
        from: NodeStart,
        ticket: Ticket,
        engine: EngineId,
        from_chunk: u32,
    ) {
        self.nodes[from.node]
            .attempts
            .insert(ticket, Some(engine.clone()));
        let request = EngineRequest::Resume { ticket, from_chunk };
        self.request_engine(from, &engine, request);
    }

    fn cancel_attempt(&mut self, from: NodeStart, ticket: Ticket) {
        if let Some(Some(engine)) = self.nodes[from.node].attempts.remove(&ticket) {
            self.request_engine(from, &engine, EngineRequest::Cancel { ticket });
        }
    }

    /// Fails an attempt whose timeout in the driver has expired.
    pub(super) fn on_attempt_timeout(&mut self, from: NodeStart, ticket: Ticket) {
        let failure = elderworks_execution::event::AttemptFailure::Lost {
            reason: elderworks_types::FailureReason::TimedOut,
            usage: Default::default(),
        };
        self.deliver_to_node(from, NodeEvent::AttemptFailed { ticket, failure });
    }

    fn unwatch_engine(&mut self, from: NodeStart, engine: &EngineId) {
        if let Some(engine) = self.engine_by_id(engine) {
            self.nodes[from.node].watched.remove(&engine);
        }
    }

    fn pace_engine(&mut self, from: NodeStart, engine: &EngineId, pace: EnginePace) {
        let watched = self.engine_by_id(engine);
        let watched = watched.and_then(|engine| self.nodes[from.node].watched.get_mut(&engine));
        if let Some(watched) = watched {
            watched.pace = pace;
        }
    }

    fn transfer(&mut self, from: NodeStart, run: elderworks_types::RunId, to_url: &str) {
        let urls = 0..self.engines.len();
        let found = urls
            .into_iter()
            .find(|index| super::setup::engine_url(*index) == to_url);
        if let Some(index) = found {
            let engine = self.engines[index].id.clone();
            self.request_engine(from, &engine, EngineRequest::Import { run });
        }
    }
}
