//! Seeded workloads: programs as chains of dependent calls, and when they arrive.
//!
//! A plan is known to the experiment only. A policy under test learns each call when it is made.

pub mod capacity;
pub mod chain;
pub mod generate;
pub mod preset;

use std::time::Duration;

use elderworks_types::{ResourceName, TenantId};

pub use preset::Preset;

/// One program that will arrive.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    /// Intended start, from the start of the experiment.
    pub arrival: Duration,
    /// Its `Program` resource.
    pub program: ResourceName,
    /// On whose behalf.
    pub tenant: TenantId,
    /// Latest useful end, from its arrival.
    pub deadline: Duration,
    /// Its root run.
    pub root: RunPlan,
}

/// One run: the prompt it starts from and its turns.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Parts of the prompt that other runs may share, in order.
    pub segments: Vec<Segment>,
    /// Its model calls in order.
    pub turns: Vec<Turn>,
}

/// A part of a prompt with an identity of its own: a system prompt or a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Equal for equal text.
    pub identity: u64,
    /// Length in tokens, a whole number of cache blocks.
    pub tokens: u64,
}

/// One model call and what follows it.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Prompt tokens added to the run's history before the call.
    pub prompt: u64,
    /// Tokens that the model will generate.
    pub output: u64,
    /// What the run does next.
    pub then: Then,
}

/// What a run does between two of its model calls.
#[derive(Clone, Debug)]
pub enum Then {
    /// It waits for a tool.
    Pause(Duration),
    /// It waits for sub-agents that work in parallel.
    Spawn(Vec<RunPlan>),
    /// It ends.
    End,
}

#[cfg(test)]
mod tests;
