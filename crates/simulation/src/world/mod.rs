//! Simulated world: all processes, the network and the platform on one virtual clock.

mod callers;
mod connection;
mod engine_service;
mod event;
mod faults;
mod log_service;
mod node_effects;
mod operators;
mod processes;
mod setup;
mod sidecar_effects;
mod tool_service;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_node_core::pace::EnginePace;
use elderworks_node_core::{Event as NodeEvent, NodeCore, NodeSettings};
use elderworks_placement::Ticket;
use elderworks_sidecar_core::{Event as SidecarEvent, RequestId, SidecarCore};
use elderworks_types::EngineId;

use crate::fault::{CallPoint, Fault};
use crate::kernel::{Endpoint, EventQueue, Instant, Network, Random, Slot};
use crate::observation::Observations;
use crate::platform::{Engine, Log, Tool};
use crate::scenario::Scenario;
use crate::trace::Trace;

use callers::{Caller, CallerRequest};
use connection::{Connection, ConnectionId};
use event::{Event, NodeStart, SidecarStart};
use log_service::Waiter;
use operators::{Operator, PendingOperatorRequest};

/// State of a node's polling of an engine.
struct WatchedEngine {
    last_answer: Instant,
    pace: EnginePace,
}

/// Process slot of a node and the state of its driver, which executes the effects of the core.
///
/// `attempts` and `appends` are the requests whose result the core has not received yet.
struct NodeSlot {
    slot: Slot<NodeCore, NodeEvent>,
    settings: NodeSettings,
    ready: bool,
    draining: bool,
    replacement_after: Duration,
    vanished: bool,
    zone: usize,
    watched: BTreeMap<usize, WatchedEngine>,
    attempts: BTreeMap<Ticket, Option<EngineId>>,
    appends: BTreeSet<u64>,
    peer_connections: BTreeMap<usize, ConnectionId>,
}

/// Process slot of a sidecar and the state of its driver.
struct SidecarSlot {
    slot: Slot<SidecarCore, SidecarEvent>,
    seed: u64,
    connections: BTreeMap<SocketAddr, ConnectionId>,
}

/// State of a simulation.
pub(crate) struct World {
    now: Instant,
    queue: EventQueue<Event>,
    scenario: Scenario,
    network: Network,
    nodes: Vec<NodeSlot>,
    sidecars: Vec<SidecarSlot>,
    connections: BTreeMap<ConnectionId, Connection>,
    connections_opened: ConnectionId,
    log: Log,
    log_waiters: BTreeMap<u64, Waiter>,
    log_reads: u64,
    engines: Vec<Engine>,
    tools: Vec<Tool>,
    callers: Vec<Caller>,
    caller_requests: BTreeMap<RequestId, CallerRequest>,
    operators: Vec<Operator>,
    operator_requests: BTreeMap<RequestId, PendingOperatorRequest>,
    requests_made: RequestId,
    schedule: Vec<Fault>,
    points_reached: BTreeMap<CallPoint, u32>,
    machine_list_stale_until: Instant,
    process_random: Random,
    platform_random: Random,
    workload_random: Random,
    configured_at: Option<Instant>,
    faults_stop_at: Instant,
    observations: Observations,
    trace: Trace,
}

/// Maximum time until the initial resources are in place.
const SETUP_LIMIT: Duration = Duration::from_secs(60);

/// Maximum time from the end of the last fault until all callers are done.
pub const LIVENESS_BOUND: Duration = Duration::from_secs(120);

/// Time after the last caller is done in which memory is freed and configuration propagates.
const SETTLE_TIME: Duration = Duration::from_secs(20);

impl World {
    /// Runs the simulation and returns its observations and trace.
    pub fn run(mut self) -> (Observations, Trace) {
        self.start();
        let mut settled_at = None;
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            if settled_at.is_some_and(|settled| at > settled) || self.is_stuck() {
                break;
            }
            self.handle_event(event);
            if settled_at.is_none() && self.is_done() {
                self.observations.callers_done = self.now;
                settled_at = Some(self.now.after(SETTLE_TIME));
            }
        }
        self.finish()
    }

    /// Returns whether all faults have stopped and all callers are done.
    fn is_done(&self) -> bool {
        let all_done = self.callers.iter().all(Caller::is_done);
        self.configured_at.is_some() && self.now > self.faults_stop_at && all_done
    }

    /// Returns whether setup or the callers have exceeded their time limit.
    fn is_stuck(&self) -> bool {
        match self.configured_at {
            None => self.now > Instant(0).after(SETUP_LIMIT),
            Some(_) => self.now > self.faults_stop_at.after(LIVENESS_BOUND + SETTLE_TIME),
        }
    }

    fn finish(mut self) -> (Observations, Trace) {
        self.observations.faults_stopped = self.faults_stop_at;
        self.observations.ended = self.now;
        self.record_unfinished();
        self.record_holdings();
        (self.observations, self.trace)
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.queue.schedule(self.now.after(delay), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ToNode { to, input } => self.deliver_to_node(to, *input),
            Event::ToSidecar { to, input } => self.deliver_to_sidecar(to, *input),
            Event::NodeTick(start) => self.on_node_tick(start),
            Event::SidecarTick(start) => self.on_sidecar_tick(start),
            Event::Resume(process) => self.on_resume(process),
            Event::Start(process) => self.on_start(process),
            Event::MessageArrival {
                connection,
                payload,
            } => self.on_message_arrival(connection, payload),
            Event::Break(connection) => self.on_break(connection),
            Event::Connect { from, address } => self.on_connect(from, address),
            Event::LogAppend {
                from,
                stream,
                token,
                bytes,
            } => self.on_log_append(from, stream, token, bytes),
            Event::LogRead {
                from,
                stream,
                offset,
                wait,
            } => self.on_log_read(from, stream, offset, wait),
            Event::LogReadTimeout { waiter } => self.on_log_read_timeout(waiter),
            Event::ToEngine {
                from,
                engine,
                request,
            } => self.on_engine_request(from, engine, request),
            Event::EngineStep {
                engine,
                generation,
                ticket,
            } => self.on_engine_step(engine, generation, ticket),
            Event::EngineStart(engine) => self.on_engine_start(engine),
            Event::EngineGone {
                engine,
                generation,
                restart_after,
            } => self.on_engine_gone(engine, generation, restart_after),
            Event::AttemptTimeout { from, ticket } => self.on_attempt_timeout(from, ticket),
            Event::EnginePoll { from, engine } => self.on_engine_poll(from, engine),
            Event::ToTool {
                from,
                ticket,
                tool,
                request,
            } => self.on_tool_request(from, ticket, tool, request),
            Event::MachineList => self.on_machine_list(),
            Event::Caller { caller, event } => self.on_caller(caller, event),
            Event::Operator { operator, event } => self.on_operator(operator, event),
            Event::OperatorRequest {
                to,
                request,
                question,
            } => self.on_operator_request(to, request, *question),
            Event::Fault(index) => self.apply_fault(index, None),
        }
    }

    fn node_start(&self, node: usize) -> NodeStart {
        NodeStart {
            node,
            generation: self.nodes[node].slot.generation(),
        }
    }

    fn sidecar_start(&self, sidecar: usize) -> SidecarStart {
        SidecarStart {
            sidecar,
            generation: self.sidecars[sidecar].slot.generation(),
        }
    }

    fn node_by_address(&self, address: SocketAddr) -> Option<usize> {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.settings.address == address)
    }

    fn node_by_gossip_address(&self, address: SocketAddr) -> Option<usize> {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.settings.gossip_address == address)
    }

    fn zone_of(&self, endpoint: Endpoint) -> Option<usize> {
        match endpoint {
            Endpoint::Node(node) => Some(self.nodes[node].zone),
            Endpoint::Engine(engine) => Some(engine % self.scenario.zones),
            Endpoint::Sidecar(_) | Endpoint::Log | Endpoint::Tool(_) => None,
        }
    }

    fn same_zone(&self, one: Endpoint, other: Endpoint) -> bool {
        let zone = self.zone_of(one);
        zone.is_some() && zone == self.zone_of(other)
    }

    fn record_holdings(&mut self) {
        for engine in &self.engines {
            let engine_id = &engine.id;
            let holdings = engine.holdings().into_iter();
            self.observations
                .holdings
                .extend(holdings.map(|run| crate::observation::Holding {
                    engine: engine_id.clone(),
                    run,
                }));
        }
    }
}
