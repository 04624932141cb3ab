//! Start, end, pause and timers of processes, and the delivery of events to them.

use std::time::Duration;

use elderworks_node_core::core::TICK_INTERVAL as NODE_TICK;
use elderworks_node_core::{Event as NodeEvent, NodeCore, NodeSettings};
use elderworks_sidecar_core::core::TICK_INTERVAL as SIDECAR_TICK;
use elderworks_sidecar_core::{Event as SidecarEvent, SidecarCore, SidecarSettings};

use super::World;
use super::event::{Event, NodeStart, SidecarStart};
use crate::kernel::ProcessId;

impl World {
    /// Delivers an event to a node if its driver accepts it, and executes the resulting effects.
    pub(super) fn deliver_to_node(&mut self, to: NodeStart, input: NodeEvent) {
        let node = &mut self.nodes[to.node];
        if to.generation == node.slot.generation() && node.accepts(&input) {
            self.pass_to_core(to, input);
        }
    }

    /// Passes an event that the driver has accepted to the core, or queues it during a pause.
    fn pass_to_core(&mut self, to: NodeStart, input: NodeEvent) {
        let node = &mut self.nodes[to.node];
        let time = node.slot.clock.read(self.now);
        let Some((core, input)) = node.slot.deliver(to.generation, input) else {
            return;
        };
        let effects = core.handle(time, input);
        for effect in effects {
            self.execute_node_effect(to, effect);
        }
    }

    pub(super) fn deliver_to_node_later(
        &mut self,
        to: NodeStart,
        delay: Duration,
        input: NodeEvent,
    ) {
        let input = Box::new(input);
        self.schedule(delay, Event::ToNode { to, input });
    }

    /// Delivers an event to a sidecar and executes the resulting effects.
    pub(super) fn deliver_to_sidecar(&mut self, to: SidecarStart, input: SidecarEvent) {
        let now = self.now;
        let sidecar = &mut self.sidecars[to.sidecar];
        let time = sidecar.slot.clock.read(now);
        let Some((core, input)) = sidecar.slot.deliver(to.generation, input) else {
            return;
        };
        let effects = core.handle(time, input);
        for effect in effects {
            self.execute_sidecar_effect(to, effect);
        }
    }

    pub(super) fn deliver_to_sidecar_later(
        &mut self,
        to: SidecarStart,
        delay: Duration,
        input: SidecarEvent,
    ) {
        let input = Box::new(input);
        self.schedule(delay, Event::ToSidecar { to, input });
    }

    /// Handles a node's timer, which is ignored during a pause.
    pub(super) fn on_node_tick(&mut self, start: NodeStart) {
        let slot = &self.nodes[start.node].slot;
        if slot.generation() != start.generation || !slot.is_alive() {
            return;
        }
        let interval = slot.clock.true_duration(NODE_TICK);
        let is_running = slot.is_running();
        self.schedule(interval, Event::NodeTick(start));
        if is_running {
            self.deliver_to_node(start, NodeEvent::Tick);
        }
    }

    /// Handles a sidecar's timer, which is ignored during a pause.
    pub(super) fn on_sidecar_tick(&mut self, start: SidecarStart) {
        let slot = &self.sidecars[start.sidecar].slot;
        if slot.generation() != start.generation || !slot.is_alive() {
            return;
        }
        let interval = slot.clock.true_duration(SIDECAR_TICK);
        let is_running = slot.is_running();
        self.schedule(interval, Event::SidecarTick(start));
        if is_running {
            self.deliver_to_sidecar(start, SidecarEvent::Tick);
        }
    }

    /// Kills a process. If its machine has vanished, connections are not reset.
    pub(super) fn kill(&mut self, process: ProcessId, vanished: bool) {
        match process {
            ProcessId::Node(node) => self.kill_node(node, vanished),
            ProcessId::Sidecar(sidecar) => self.kill_sidecar(sidecar),
        }
    }

    fn kill_node(&mut self, node: usize, vanished: bool) {
        let slot = &mut self.nodes[node];
        if !slot.slot.is_alive() {
            return;
        }
        slot.slot.kill();
        slot.reset_driver_state();
        slot.vanished = vanished;
        self.trace.line(self.now, format_args!("node-{node}: gone"));
        self.break_connections_of(ProcessId::Node(node), vanished);
    }

    fn kill_sidecar(&mut self, sidecar: usize) {
        let slot = &mut self.sidecars[sidecar];
        if !slot.slot.is_alive() {
            return;
        }
        slot.slot.kill();
        slot.connections.clear();
        self.trace
            .line(self.now, format_args!("sidecar-{sidecar}: gone"));
        self.break_connections_of(ProcessId::Sidecar(sidecar), false);
        self.disconnect_callers(sidecar);
    }

    /// Starts a process with empty memory in an empty slot.
    pub(super) fn on_start(&mut self, process: ProcessId) {
        match process {
            ProcessId::Node(node) => self.start_node(node),
            ProcessId::Sidecar(sidecar) => self.start_sidecar(sidecar),
        }
    }

    fn start_node(&mut self, node: usize) {
        let seed = self.process_random.next_u64();
        let slot = &mut self.nodes[node];
        slot.settings.seed = seed;
        if slot.slot.start(NodeCore::new(slot.settings.clone())) {
            slot.reset_driver_state();
            self.trace
                .line(self.now, format_args!("node-{node}: starts"));
            let start = self.node_start(node);
            self.schedule(Duration::ZERO, Event::NodeTick(start));
        }
    }

    fn start_sidecar(&mut self, sidecar: usize) {
        let seed = self.process_random.next_u64();
        let settings = self.sidecar_settings(seed);
        let slot = &mut self.sidecars[sidecar];
        slot.seed = seed;
        if slot.slot.start(SidecarCore::new(settings)) {
            self.trace
                .line(self.now, format_args!("sidecar-{sidecar}: starts"));
            let start = self.sidecar_start(sidecar);
            self.schedule(Duration::ZERO, Event::SidecarTick(start));
        }
    }

    pub(super) fn sidecar_settings(&self, seed: u64) -> SidecarSettings {
        let addresses = self.nodes.iter().map(|node| node.settings.address);
        SidecarSettings::new(addresses.collect(), seed)
    }

    /// Pauses a process for `lasts`.
    pub(super) fn pause(&mut self, process: ProcessId, lasts: Duration) {
        let until = self.now.after(lasts);
        match process {
            ProcessId::Node(node) => self.nodes[node].slot.pause(until),
            ProcessId::Sidecar(sidecar) => self.sidecars[sidecar].slot.pause(until),
        }
        self.schedule(lasts, Event::Resume(process));
    }

    /// Resumes a process after a pause and delivers the queued events in order.
    pub(super) fn on_resume(&mut self, process: ProcessId) {
        match process {
            ProcessId::Node(node) => {
                let start = self.node_start(node);
                for input in self.nodes[node].slot.resume(self.now) {
                    self.pass_to_core(start, input);
                }
            }
            ProcessId::Sidecar(sidecar) => {
                let start = self.sidecar_start(sidecar);
                for input in self.sidecars[sidecar].slot.resume(self.now) {
                    self.deliver_to_sidecar(start, input);
                }
            }
        }
    }
}

impl super::NodeSlot {
    fn reset_driver_state(&mut self) {
        self.ready = false;
        self.draining = false;
        self.vanished = false;
        self.watched.clear();
        self.attempts.clear();
        self.appends.clear();
        self.peer_connections.clear();
    }

    /// Returns whether the driver passes this event to the core. Each append and each attempt has one
    /// result; later ones are dropped.
    fn accepts(&mut self, input: &NodeEvent) -> bool {
        match input {
            NodeEvent::LogAppended { token, .. } => self.appends.remove(token),
            NodeEvent::AttemptChunk { ticket, .. } => self.attempts.contains_key(ticket),
            NodeEvent::AttemptCompleted { ticket, .. }
            | NodeEvent::AttemptFailed { ticket, .. } => self.attempts.remove(ticket).is_some(),
            _ => true,
        }
    }

    /// Creates a slot with a running node. Its replacements start with the same settings, except for
    /// the seed.
    pub(super) fn new(settings: NodeSettings, clock: crate::kernel::Clock, zone: usize) -> Self {
        let core = NodeCore::new(settings.clone());
        Self {
            slot: crate::kernel::Slot::new(core, clock),
            settings,
            ready: false,
            draining: false,
            replacement_after: Duration::ZERO,
            vanished: false,
            zone,
            watched: Default::default(),
            attempts: Default::default(),
            appends: Default::default(),
            peer_connections: Default::default(),
        }
    }
}
