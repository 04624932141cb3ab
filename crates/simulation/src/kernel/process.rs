//! A place where a process runs, dies, is paused and is replaced.

use std::collections::VecDeque;

use super::{Clock, Instant};

/// Names a process slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// A node.
    Node(usize),
    /// A sidecar.
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

/// One slot: the decision object while the process lives, and the events held_events while it is paused.
pub struct Slot<C, E> {
    core: Option<C>,
    generation: u32,
    paused_until: Option<Instant>,
    held_events: VecDeque<E>,
    /// The process's clock.
    pub clock: Clock,
}

impl<C, E> Slot<C, E> {
    /// A slot in which `core` runs.
    pub fn new(core: C, clock: Clock) -> Self {
        Self {
            core: Some(core),
            generation: 1,
            paused_until: None,
            held_events: VecDeque::new(),
            clock,
        }
    }

    /// Counts the starts of the slot; events meant for an earlier one are dropped.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Whether a process lives here, paused or not.
    pub fn is_alive(&self) -> bool {
        self.core.is_some()
    }

    /// Whether it lives and takes events.
    pub fn is_running(&self) -> bool {
        self.core.is_some() && self.paused_until.is_none()
    }

    /// Ends the process with all that it held_events.
    pub fn kill(&mut self) {
        self.core = None;
        self.generation += 1;
        self.paused_until = None;
        self.held_events.clear();
    }

    /// Starts a process with empty memory; nothing if one lives.
    pub fn start(&mut self, core: C) -> bool {
        if self.core.is_some() {
            return false;
        }
        self.core = Some(core);
        true
    }

    /// Stops the process from taking events until `until`, or later if it already was paused.
    pub fn pause(&mut self, until: Instant) {
        if self.core.is_some() {
            let until = self
                .paused_until
                .map_or(until, |present| present.max(until));
            self.paused_until = Some(until);
        }
    }

    /// Ends a pause that is due and returns the events held_events; empty if it is not due.
    pub fn resume(&mut self, now: Instant) -> VecDeque<E> {
        match self.paused_until {
            Some(until) if until <= now => {
                self.paused_until = None;
                std::mem::take(&mut self.held_events)
            }
            _ => VecDeque::new(),
        }
    }

    /// Hands an event to the process, or holds it while paused, or drops it where the process it
    /// was meant for is gone.
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
