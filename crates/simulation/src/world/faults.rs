//! Injection of scheduled faults, at their time or when a call reaches their point.

use std::time::Duration;

use elderworks_node_core::Event as NodeEvent;
use elderworks_types::{EngineId, NodeId};

use super::World;
use super::event::{Event, NodeStart};
use super::setup::pick_process;
use crate::fault::{CallPoint, Fault, FaultKind, When};
use crate::kernel::{Direction, Endpoint, Instant, ProcessId};
use crate::observation::PlannedStop;
use crate::platform::LogFailure;

/// Additional loss during a datagram loss fault, in percentage points.
const EXTRA_LOSS_PERCENT: u32 = 40;
/// Interval at which the platform publishes the machine list.
const MACHINE_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Delay until a published machine list arrives at nodes.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(3);

impl World {
    /// Counts a submitted call among the messages received by a node as [`CallPoint::Received`].
    pub(super) fn record_received(&mut self, input: &NodeEvent, node: usize) {
        use elderworks_protocol::peer::ToNode;
        use elderworks_protocol::sidecar::SidecarMessage;
        if let NodeEvent::Received { message, .. } = input
            && matches!(message, ToNode::Sidecar(SidecarMessage::SubmitCall { .. }))
        {
            self.node_reached(CallPoint::Received, node);
        }
    }

    /// Records that a call has reached a point at which `node` is acting.
    pub(super) fn node_reached(&mut self, point: CallPoint, node: usize) {
        self.point_reached(point, ProcessId::Node(node));
    }

    /// Records that a call has reached a point at which `sidecar` is acting.
    pub(super) fn sidecar_reached(&mut self, point: CallPoint, sidecar: usize) {
        self.point_reached(point, ProcessId::Sidecar(sidecar));
    }

    fn point_reached(&mut self, point: CallPoint, actor: ProcessId) {
        if self.configured_at.is_none() {
            return;
        }
        let count = self.points_reached.entry(point).or_default();
        *count += 1;
        let reached = When::Reached(point, *count);
        let due: Vec<usize> = (0..self.schedule.len())
            .filter(|index| self.schedule[*index].when == reached)
            .collect();
        for index in due {
            self.apply_fault(index, Some(actor));
        }
    }

    /// Applies a scheduled fault; `actor` is the process acting at the call point that triggered it.
    pub(super) fn apply_fault(&mut self, index: usize, actor: Option<ProcessId>) {
        let fault = self.schedule[index];
        let until = self.now.after(fault.lasts);
        self.faults_stop_at = self.faults_stop_at.max(until);
        self.observations.had_abrupt_fault |= fault.kind.is_abrupt();
        self.observations.had_process_fault |= fault.kind.affects_processes();
        self.trace
            .line(self.now, format_args!("fault: {fault}, acting {actor:?}"));
        match fault.kind {
            FaultKind::LogDown => self.log.start_failure(LogFailure::Down, until),
            FaultKind::LogSlow => self.log.start_failure(LogFailure::Slow, until),
            FaultKind::LogLosesAnswers => self.log.start_failure(LogFailure::LosesAnswers, until),
            FaultKind::DatagramLoss => self.network.lose_datagrams(EXTRA_LOSS_PERCENT, until),
            FaultKind::MachineListStale => self.machine_list_stale_until = until,
            FaultKind::ToolHang => self.hang_tool(fault, until),
            FaultKind::EngineRestart | FaultKind::EngineStall | FaultKind::EngineLeave => {
                self.apply_engine_fault(fault, until);
            }
            FaultKind::NodeCut
            | FaultKind::NodeLogCut
            | FaultKind::SidecarCut
            | FaultKind::EngineCut => self.apply_network_fault(fault, actor, until),
            FaultKind::NodeKill
            | FaultKind::NodeLoss
            | FaultKind::NodePause
            | FaultKind::NodeStop => {
                let node = self.node_victim(fault, actor);
                self.apply_node_fault(fault, node);
            }
            FaultKind::SidecarKill | FaultKind::SidecarPause => {
                self.apply_sidecar_fault(fault, actor)
            }
        }
    }

    fn node_victim(&self, fault: Fault, actor: Option<ProcessId>) -> usize {
        match actor {
            Some(ProcessId::Node(node)) => node,
            _ => fault.victim as usize % self.nodes.len(),
        }
    }

    fn apply_node_fault(&mut self, fault: Fault, node: usize) {
        let process = ProcessId::Node(node);
        match fault.kind {
            FaultKind::NodePause => self.pause(process, fault.lasts),
            FaultKind::NodeStop => self.stop_node(node, fault.lasts),
            kind => {
                self.kill(process, kind == FaultKind::NodeLoss);
                self.schedule(fault.lasts, Event::Start(process));
            }
        }
    }

    fn apply_sidecar_fault(&mut self, fault: Fault, actor: Option<ProcessId>) {
        let process = match actor {
            Some(ProcessId::Sidecar(_)) => actor,
            _ => None,
        };
        let count = self.sidecars.len();
        let process =
            process.unwrap_or_else(|| pick_process(ProcessId::Sidecar, fault.victim, count));
        if fault.kind == FaultKind::SidecarPause {
            self.pause(process, fault.lasts);
        } else {
            self.kill(process, false);
            self.schedule(fault.lasts, Event::Start(process));
        }
    }

    fn apply_network_fault(&mut self, fault: Fault, actor: Option<ProcessId>, until: Instant) {
        let node = self.node_victim(fault, actor);
        let from = Endpoint::Node(node);
        let other = fault.victim as usize / self.nodes.len();
        let to = match fault.kind {
            FaultKind::NodeLogCut => Endpoint::Log,
            FaultKind::SidecarCut => Endpoint::Sidecar(other % self.sidecars.len()),
            FaultKind::EngineCut => Endpoint::Engine(other % self.engines.len()),
            _ => Endpoint::Node((node + 1 + other % (self.nodes.len() - 1)) % self.nodes.len()),
        };
        self.network.cut(Direction { from, to }, until);
        if fault.kind == FaultKind::EngineCut {
            let back = Direction { from: to, to: from };
            self.network.cut(back, until);
        }
    }

    fn apply_engine_fault(&mut self, fault: Fault, until: Instant) {
        let engine = fault.victim as usize % self.engines.len();
        match fault.kind {
            FaultKind::EngineStall => {
                let present = self.engines[engine].stalled_until;
                self.engines[engine].stalled_until = present.max(until);
            }
            FaultKind::EngineLeave => {
                self.start_departure(engine);
                let event = Event::EngineGone {
                    engine,
                    generation: self.engines[engine].generation,
                    restart_after: fault.lasts,
                };
                self.schedule(Self::departure_grace(), event);
                self.faults_stop_at = self
                    .faults_stop_at
                    .max(until.after(Self::departure_grace()));
            }
            _ => self.crash_engine(engine, fault.lasts),
        }
    }

    /// Stops a leaving engine at the end of its grace period.
    pub(super) fn on_engine_gone(
        &mut self,
        engine: usize,
        generation: u32,
        restart_after: Duration,
    ) {
        if self.engines[engine].generation == generation {
            self.crash_engine(engine, restart_after);
        }
    }

    fn hang_tool(&mut self, fault: Fault, until: Instant) {
        let tool = fault.victim as usize % self.tools.len();
        self.tools[tool].hang(until);
    }

    /// Asks a node to drain and exit. Its replacement starts `replacement_after` its exit.
    fn stop_node(&mut self, node: usize, replacement_after: Duration) {
        if !self.nodes[node].slot.is_alive() || self.nodes[node].draining {
            return;
        }
        self.nodes[node].draining = true;
        self.nodes[node].replacement_after = replacement_after;
        self.observations.planned_stops.push(PlannedStop {
            at: self.now,
            node,
            exited: None,
        });
        let start = self.node_start(node);
        self.deliver_to_node_later(start, Duration::ZERO, NodeEvent::Drain);
    }

    /// Handles the exit of a drained node.
    pub(super) fn on_drained(&mut self, start: NodeStart) {
        let node = start.node;
        if !self.nodes[node].draining {
            return;
        }
        let stops = self.observations.planned_stops.iter_mut();
        if let Some(stop) = stops.rev().find(|stop| stop.node == node) {
            stop.exited = Some(self.now);
        }
        let after = self.nodes[node].replacement_after;
        self.trace
            .line(self.now, format_args!("node-{node}: drained"));
        self.kill(ProcessId::Node(node), false);
        self.schedule(after, Event::Start(ProcessId::Node(node)));
        self.faults_stop_at = self.faults_stop_at.max(self.now.after(after));
    }

    /// Publishes the machine list, which arrives at nodes with a delay.
    pub(super) fn on_machine_list(&mut self) {
        self.schedule(MACHINE_LIST_INTERVAL, Event::MachineList);
        if self.machine_list_stale_until > self.now {
            return;
        }
        let input = self.machine_list();
        for node in 0..self.nodes.len() {
            let start = self.node_start(node);
            self.deliver_to_node_later(start, MACHINE_LIST_LAG, input.clone());
        }
    }

    fn machine_list(&self) -> NodeEvent {
        let names = |wanted: &dyn Fn(&super::NodeSlot) -> bool| -> Vec<NodeId> {
            let nodes = self.nodes.iter().filter(|node| wanted(node));
            nodes.map(|node| node.settings.node.clone()).collect()
        };
        let leaving = self.engines.iter().filter(|engine| engine.leaving);
        let leaving_engines: Vec<EngineId> = leaving.map(|engine| engine.id.clone()).collect();
        NodeEvent::MachineList {
            live: names(&|node| node.slot.is_alive() && !node.draining),
            leaving: names(&|node| node.draining),
            leaving_engines,
        }
    }
}
