//! What placement is told.

use std::time::Duration;

use elderworks_types::text::BlockHash;
use elderworks_types::{
    Attempt, CallId, EngineId, ModelName, ResourceName, RunId, TenantId, Timestamp, Tokens, ZoneId,
};

/// One attempt of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The call.
    pub call: CallId,
    /// The attempt.
    pub attempt: Attempt,
}

/// A model call that is ready to run.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadyCall {
    /// Names the attempt.
    pub ticket: Ticket,
    /// The model.
    pub model: ModelName,
    /// Chained hashes of the prompt's full blocks.
    pub blocks: Vec<BlockHash>,
    /// Prompt length.
    pub prompt: Tokens,
    /// Most tokens to generate.
    pub max_output: Tokens,
    /// Whose run.
    pub tenant: TenantId,
    /// Its program.
    pub program: ResourceName,
    /// When the run started.
    pub run_started: Timestamp,
    /// Tokens prefilled and generated for the run so far.
    pub attained: Tokens,
    /// Calls that the run has made so far.
    pub turns: u32,
    /// When the run should be done.
    pub run_deadline: Option<Timestamp>,
    /// When this answer stops being useful.
    pub call_deadline: Option<Timestamp>,
    /// Larger is more urgent.
    pub priority: i32,
    /// The run's parent, if it is a sub-agent.
    pub parent: Option<RunId>,
}

/// State of one engine as it published it, some time ago.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// When the engine measured it, by the receiving node's clock less the known lag.
    pub measured: Timestamp,
    /// Sequences being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens waiting to be prefilled.
    pub waiting_prefill: Tokens,
    /// Cache blocks that running sequences use; idle cached ones do not count.
    pub blocks_used: u32,
    /// Cache blocks in all.
    pub blocks_total: u32,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks are now held.
    Stored(Vec<BlockHash>),
    /// Blocks are no longer held.
    Evicted(Vec<BlockHash>),
    /// Everything was dropped, as after a restart.
    Cleared,
    /// So many events of the engine were lost; what they said is unknown.
    Gap {
        /// How many.
        missed: u64,
    },
}

/// An input of [`crate::Placement::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An engine became known, or its description changed.
    EngineAdded {
        /// Which.
        engine: EngineId,
        /// Where.
        zone: ZoneId,
        /// What it can serve.
        models: Vec<ModelName>,
    },
    /// An engine is leaving: no new work; its streams finish.
    EngineLeaving {
        /// Which.
        engine: EngineId,
    },
    /// An engine is gone.
    EngineRemoved {
        /// Which.
        engine: EngineId,
    },
    /// A load report arrived.
    Load {
        /// From this engine.
        engine: EngineId,
        /// The report.
        report: LoadReport,
    },
    /// A cache event arrived.
    Cache {
        /// From this engine.
        engine: EngineId,
        /// The change.
        change: CacheChange,
    },
    /// A call wants to run.
    CallReady(Box<ReadyCall>),
    /// The engine began to answer.
    FirstToken {
        /// Which attempt.
        ticket: Ticket,
    },
    /// The attempt ended.
    Finished {
        /// Which attempt.
        ticket: Ticket,
        /// How.
        result: FinishedResult,
    },
    /// The attempt is no longer wanted, whether waiting or running.
    Cancelled {
        /// Which attempt.
        ticket: Ticket,
    },
    /// The run waits for a tool or its caller.
    RunPaused {
        /// The run.
        run: RunId,
        /// When its caller expects to continue, if it said so.
        expected_reuse: Option<Duration>,
    },
    /// The run ended.
    RunEnded {
        /// The run.
        run: RunId,
    },
    /// Time passed; sent at least every 100 ms while calls wait.
    Tick,
}

/// How an attempt ended, as far as placement cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishedResult {
    /// With an answer of this many tokens, of whose prompt so many were cached.
    Completed {
        /// Prompt tokens found in the cache.
        cached: Tokens,
        /// Generated tokens.
        output: Tokens,
    },
    /// The engine refused it as full.
    Rejected,
    /// The engine did not answer, or broke off.
    Lost,
    /// The engine answered with an error.
    Errored,
}
