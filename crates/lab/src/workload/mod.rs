//! Seeded workloads: arrivals of programs, which are sequences of dependent calls.
//!
//! Only the experiment knows the plans. A policy under test learns of each call when it is made.

pub mod capacity;
pub mod chain;
pub mod generate;
pub mod preset;

use std::time::Duration;

use elderworks_types::{ResourceName, TenantId};

pub use preset::Preset;

/// A planned program.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    /// Intended start time, from the start of the experiment.
    pub arrival: Duration,
    /// Name of the `Program` resource.
    pub program: ResourceName,
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// Deadline, relative to the arrival.
    pub deadline: Duration,
    /// Root run.
    pub root: RunPlan,
}

/// A planned run: its initial prompt and its turns.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Parts of the prompt that other runs may share, in order.
    pub segments: Vec<Segment>,
    /// Model calls in order.
    pub turns: Vec<Turn>,
}

/// A part of a prompt that runs can share, such as a system prompt or a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Identity of the text; equal for equal text.
    pub identity: u64,
    /// Length in tokens, a whole number of cache blocks.
    pub tokens: u64,
}

/// A model call and the step after it.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Number of prompt tokens added to the run's history before the call.
    pub prompt: u64,
    /// Number of tokens that the model will generate.
    pub output: u64,
    /// The step after the call.
    pub after: AfterTurn,
}

/// The step of a run after a model call.
#[derive(Clone, Debug)]
pub enum AfterTurn {
    /// Wait for a tool for this duration.
    Pause(Duration),
    /// Wait for sub-agents that run in parallel.
    Spawn(Vec<RunPlan>),
    /// End the run.
    End,
}

#[cfg(test)]
mod tests;
