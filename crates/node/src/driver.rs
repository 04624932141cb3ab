//! The task that owns the node's state machine. It passes inputs to the state machine and executes
//! the returned effects; all decisions are made in `elderworks-node-core`.

use std::collections::BTreeMap;
use std::rc::Rc;

use actix_rt::net::UdpSocket;
use actix_rt::time::interval;
use elderworks_backend::{HttpClient, ToolInvocation};
use elderworks_node_core::core::TICK_INTERVAL;
use elderworks_node_core::event::Connection;
use elderworks_node_core::{Effect, Event, NodeCore};
use elderworks_protocol::peer::FromNode;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use crate::attempts::AttemptTasks;
use crate::clock::Clock;
use crate::counters::SharedCounters;
use crate::engine_polls::EnginePolls;
use crate::gossip::send_datagram;
use crate::input::{Input, InputSender};
use crate::listener::Outgoing;
use crate::log_io::LogIo;
use crate::memory::MemoryRequests;
use crate::metrics::MetricsSnapshot;
use crate::operator::{OperatorBridge, OperatorCommand};
use crate::peers::PeerConnections;

/// Status of a node, published to the code that started it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Whether the node is ready to serve.
    pub ready: bool,
    /// Whether the node has finished draining.
    pub drained: bool,
}

/// I/O resources that the driver's parts share.
pub(crate) struct DriverIo {
    pub(crate) http: HttpClient,
    pub(crate) log_url: String,
    pub(crate) gossip: Rc<UdpSocket>,
    pub(crate) clock: Clock,
    pub(crate) counters: SharedCounters,
}

/// State of the task that owns the state machine.
pub(crate) struct Driver {
    core: NodeCore,
    clock: Clock,
    counters: SharedCounters,
    connections: BTreeMap<Connection, Outgoing>,
    gossip: Rc<UdpSocket>,
    log: LogIo,
    peers: PeerConnections,
    attempts: AttemptTasks,
    engines: EnginePolls,
    memory: MemoryRequests,
    operators: OperatorBridge,
    status: watch::Sender<NodeStatus>,
}

impl Driver {
    pub(crate) fn new(
        core: NodeCore,
        node: elderworks_types::NodeId,
        io: DriverIo,
        inputs: InputSender,
        status: watch::Sender<NodeStatus>,
    ) -> Self {
        let DriverIo {
            http,
            log_url,
            gossip,
            clock,
            counters,
        } = io;
        Self {
            core,
            clock,
            counters: counters.clone(),
            connections: BTreeMap::new(),
            gossip,
            log: LogIo::new(http.clone(), &log_url, inputs.clone(), counters.clone()),
            peers: PeerConnections::new(node, inputs.clone(), counters),
            attempts: AttemptTasks::new(http.clone(), inputs.clone()),
            engines: EnginePolls::new(http.clone(), inputs.clone(), clock),
            memory: MemoryRequests::new(http, inputs),
            operators: OperatorBridge::default(),
            status,
        }
    }

    /// Runs until the node has finished draining or all senders of inputs are gone.
    pub(crate) async fn run(
        mut self,
        mut queue: mpsc::Receiver<Input>,
        mut commands: mpsc::Receiver<OperatorCommand>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.status.borrow().drained {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(),
                Some(command) = commands.recv() => {
                    let event = self.operators.accept(command);
                    self.handle(event);
                }
                input = queue.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        self.attempts.sweep();
        for event in self.operators.sweep() {
            self.handle(event);
        }
        self.handle(Event::Tick);
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.receive_event(*event),
            Input::Accepted {
                connection,
                outgoing,
            } => {
                self.connections.insert(connection, outgoing);
            }
            Input::Metrics { reply } => {
                let _ = reply.send(self.metrics());
            }
        }
    }

    fn metrics(&self) -> MetricsSnapshot {
        MetricsSnapshot {
            core: *self.core.counters(),
            execution: self.core.execution_counters(),
            placement: self.core.placement_counters(),
            driver: self.counters.get(),
            owned_partitions: self.core.owned_partitions().count() as u64,
            open_connections: self.connections.len() as u64,
            open_attempts: self.attempts.len() as u64,
            ready: self.status.borrow().ready,
        }
    }

    fn receive_event(&mut self, event: Event) {
        if let Event::Closed { connection } = &event {
            self.connections.remove(connection);
        }
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        for effect in self.core.handle(self.clock.now(), event) {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Append {
                stream,
                token,
                bytes,
            } => self.log.append(stream, token, bytes),
            Effect::Read { stream, from, wait } => self.log.read(stream, from, wait),
            Effect::SendDatagram { to, datagram } => send_datagram(&self.gossip, to, &datagram),
            Effect::Send {
                connection,
                message,
            } => self.send(connection, message),
            Effect::SendPeer { peer, message } => self.peers.send(peer, message),
            Effect::WatchEngine { engine, url } => self.engines.watch(engine, &url),
            Effect::PaceEngine { engine, pace } => self.engines.pace(&engine, pace),
            Effect::ForgetEngine { engine } => self.engines.forget(&engine),
            Effect::OperatorReply { request, reply } => self.operators.reply(request, reply),
            Effect::WatchEvent { watch, change } => {
                if let Some(unwatch) = self.operators.change(watch, change) {
                    self.counters.add(|counters| &mut counters.watches_cut);
                    self.handle(unwatch);
                }
            }
            Effect::Ready(ready) => self.set_ready(ready),
            Effect::Drained => {
                self.status.send_modify(|status| status.drained = true);
            }
            backend => self.execute_backend(backend),
        }
    }

    fn execute_backend(&mut self, effect: Effect) {
        match effect {
            Effect::Generate(generate) => self.attempts.generate(*generate),
            Effect::ResumeStream {
                ticket,
                url,
                from_chunk,
                ..
            } => self.attempts.resume(ticket, url, from_chunk),
            Effect::CancelAttempt { ticket } => self.attempts.cancel(ticket),
            Effect::DetachAttempt { ticket } => self.attempts.detach(ticket),
            Effect::InvokeTool {
                ticket,
                tool,
                url,
                arguments,
                idempotency_key,
                timeout,
            } => {
                let invocation = ToolInvocation {
                    tool,
                    idempotency_key,
                    arguments,
                    timeout,
                };
                self.attempts.invoke(ticket, &url, invocation);
            }
            Effect::QueryTool {
                ticket,
                tool,
                url,
                idempotency_key,
            } => self.attempts.query(ticket, &url, tool, idempotency_key),
            Effect::ReleaseMemory { run, engine, url } => self.memory.release(run, engine, &url),
            Effect::RetainMemory {
                run, url, lease, ..
            } => self.memory.retain(run, &url, lease),
            Effect::TransferMemory {
                run,
                from_url,
                to_url,
            } => self.memory.transfer(run, &from_url, &to_url),
            other => unreachable!("executed before: {other:?}"),
        }
    }

    /// Queues a message for a connection. A connection whose queue is full is closed.
    fn send(&mut self, connection: Connection, message: FromNode) {
        let Some(outgoing) = self.connections.get(&connection) else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(_)) = outgoing.try_send(message) {
            // Dropping the queue's sender ends the writer task, which closes the connection.
            self.connections.remove(&connection);
            self.counters.add(|counters| &mut counters.connections_cut);
        }
    }

    fn set_ready(&mut self, ready: bool) {
        self.status.send_modify(|status| status.ready = ready);
        log::info!(ready; "readiness changed");
    }
}
