//! Slots in which processes are started, paused, killed and replaced.

use std::collections::VecDeque;

use super::{Clock, Instant};

/// Identifies a process slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// Node by index.
    Node(usize),
    /// Sidecar by index.
    Sidecar(usize),
}

impl std::fmt::Display for ProcessId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ProcessId::Node(index) => write!(formatter, "node-{index}"),
            ProcessId::Sidecar(index) => write!(formatter, "sidecar-{index}"),
        }
    }
}

/// Process slot: the core of a live process, and the events that arrive while it is paused.
pub struct Slot<C, E> {
    core: Option<C>,
    generation: u32,
    paused_until: Option<Instant>,
    held_events: VecDeque<E>,
    /// Clock of the slot's processes.
    pub clock: Clock,
}

impl<C, E> Slot<C, E> {
    /// Creates a slot in which `core` is running.
    pub fn new(core: C, clock: Clock) -> Self {
        Self {
            core: Some(core),
            generation: 1,
            paused_until: None,
            held_events: VecDeque::new(),
            clock,
        }
    }

    /// Returns the generation of the slot, which increases with every kill. Events addressed to an
    /// earlier generation are dropped.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Returns whether the slot has a live process, paused or not.
    pub fn is_alive(&self) -> bool {
        self.core.is_some()
    }

    /// Returns whether the slot has a live process that is not paused.
    pub fn is_running(&self) -> bool {
        self.core.is_some() && self.paused_until.is_none()
    }

    /// Kills the process and discards its state and pending events.
    pub fn kill(&mut self) {
        self.core = None;
        self.generation += 1;
        self.paused_until = None;
        self.held_events.clear();
    }

    /// Starts `core` if the slot is empty. Returns whether it was started.
    pub fn start(&mut self, core: C) -> bool {
        if self.core.is_some() {
            return false;
        }
        self.core = Some(core);
        true
    }

    /// Pauses the process until `until`, or until the end of an earlier pause if that is later.
    pub fn pause(&mut self, until: Instant) {
        if self.core.is_some() {
            let until = self
                .paused_until
                .map_or(until, |present| present.max(until));
            self.paused_until = Some(until);
        }
    }

    /// Ends a pause that has expired and returns the events that arrived during it; otherwise returns
    /// no events.
    pub fn resume(&mut self, now: Instant) -> VecDeque<E> {
        match self.paused_until {
            Some(until) if until <= now => {
                self.paused_until = None;
                std::mem::take(&mut self.held_events)
            }
            _ => VecDeque::new(),
        }
    }

    /// Returns the event together with the core that is to process it. An event for a paused process
    /// is queued, and one for an earlier generation is dropped.
    pub fn deliver(&mut self, generation: u32, event: E) -> Option<(&mut C, E)> {
        if generation != self.generation {
            return None;
        }
        if self.paused_until.is_some() {
            self.held_events.push_back(event);
            return None;
        }
        self.core.as_mut().map(|core| (core, event))
    }
}
