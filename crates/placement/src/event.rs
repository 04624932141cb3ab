//! The inputs of placement.

use std::time::Duration;

use elderworks_types::text::BlockHash;
use elderworks_types::{
    Attempt, CallId, EngineId, ModelName, ResourceName, RunId, TenantId, Timestamp, Tokens, ZoneId,
};

/// One attempt of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The call that is attempted.
    pub call: CallId,
    /// Number of the attempt within the call.
    pub attempt: Attempt,
}

/// A model call that is ready to run.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadyCall {
    /// The attempt to place.
    pub ticket: Ticket,
    /// The requested model.
    pub model: ModelName,
    /// Chained hashes of the prompt's full blocks.
    pub blocks: Vec<BlockHash>,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Maximum number of tokens to generate.
    pub max_output: Tokens,
    /// The tenant that owns the run.
    pub tenant: TenantId,
    /// The program of the run.
    pub program: ResourceName,
    /// When the run started.
    pub run_started: Timestamp,
    /// Tokens prefilled and generated for the run so far.
    pub attained: Tokens,
    /// Number of calls that the run has made before this one.
    pub turns: u32,
    /// Deadline of the whole run.
    pub run_deadline: Option<Timestamp>,
    /// Deadline of this call, after which it is refused.
    pub call_deadline: Option<Timestamp>,
    /// Priority of the run; larger values are more urgent.
    pub priority: i32,
    /// The run's parent, if it is a sub-agent.
    pub parent: Option<RunId>,
}

/// Load of an engine as published by it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Time of the measurement: when this node received the report, less the publishing delay.
    pub measured: Timestamp,
    /// Sequences being decoded.
    pub running: u32,
    /// Requests waiting to be scheduled.
    pub waiting: u32,
    /// Prompt tokens waiting to be prefilled.
    pub waiting_prefill: Tokens,
    /// Cache blocks used by running sequences, without blocks that are merely cached.
    pub blocks_used: u32,
    /// Total number of cache blocks.
    pub blocks_total: u32,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were added.
    Stored(Vec<BlockHash>),
    /// Blocks were removed.
    Evicted(Vec<BlockHash>),
    /// All blocks were removed, for example by a restart.
    Cleared,
    /// Events of the engine were lost.
    Gap {
        /// Number of lost events.
        missed: u64,
    },
}

/// An input of [`crate::Placement::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An engine was added, became available again, or changed its zone or models.
    EngineAdded {
        /// The engine.
        engine: EngineId,
        /// Zone of the engine.
        zone: ZoneId,
        /// Models that it serves.
        models: Vec<ModelName>,
    },
    /// An engine takes no new attempts; its open ones may finish.
    EngineLeaving {
        /// The engine.
        engine: EngineId,
    },
    /// An engine was removed together with its cache.
    EngineRemoved {
        /// The engine.
        engine: EngineId,
    },
    /// A load report arrived.
    Load {
        /// The reporting engine.
        engine: EngineId,
        /// The report.
        report: LoadReport,
    },
    /// The contents of an engine's cache changed.
    Cache {
        /// The engine.
        engine: EngineId,
        /// The change.
        change: CacheChange,
    },
    /// An attempt is ready to be placed.
    CallReady(Box<ReadyCall>),
    /// The first token of an attempt arrived.
    FirstToken {
        /// The attempt.
        ticket: Ticket,
    },
    /// A dispatched attempt ended.
    Finished {
        /// The attempt.
        ticket: Ticket,
        /// The result.
        result: FinishedResult,
    },
    /// An attempt, queued or dispatched, was cancelled.
    Cancelled {
        /// The attempt.
        ticket: Ticket,
    },
    /// A run waits for a tool or for its caller.
    RunPaused {
        /// The run.
        run: RunId,
        /// Expected time until the next call, if the caller gave one.
        expected_reuse: Option<Duration>,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunId,
    },
    /// Time passed. Sent at least every 100 ms while calls are queued.
    Tick,
}

/// Result of an attempt, as far as it concerns placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishedResult {
    /// The attempt was answered in full.
    Completed {
        /// Prompt tokens found in the cache.
        cached: Tokens,
        /// Generated tokens.
        output: Tokens,
    },
    /// The engine refused the attempt because it is full.
    Rejected,
    /// The engine did not answer, or the connection broke.
    Lost,
    /// The engine answered with an error.
    Errored,
}
