//! Reports of engines on their memory and runs, and requests to transfer memory between engines.

use std::net::SocketAddr;

/// Where an engine gets the parts of a request's prompt that it doesn't have in memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PromptSource {
    /// The engine processes them itself.
    #[default]
    Read,
    /// The engine first fetches what another engine has cached of the prompt.
    Engine(SocketAddr),
    /// The engine resumes a run with a copy of its memory.
    Copy(RunCopy),
}

/// A copy of a run's memory, which can be used for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// The engine from which the copy was made.
    pub source: SocketAddr,
    /// Identifies the copy at that engine: the handle of a move or, for a backup, the request id.
    pub handle: String,
}

/// The stages of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStage {
    /// Prefill and decode.
    Both,
    /// Only prefill: processes prompts.
    Prefill,
    /// Only decode: generates tokens.
    Decode,
}

/// An engine's report of its state.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The stages that it runs.
    pub stage: EngineStage,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Tokens in memory that can't be evicted.
    pub used_tokens: u64,
    /// Capacity of its memory in tokens.
    pub memory_tokens: u64,
    /// Tokens pinned for future requests.
    pub pinned_tokens: u64,
    /// Tokens reserved by holds.
    pub held_tokens: u64,
    /// Number of stored copies of runs.
    pub copies: u32,
    /// The running requests.
    pub runs: Vec<EngineRun>,
}

/// One running request of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Id of the request.
    pub request_id: String,
    /// Tokens in memory.
    pub tokens: u64,
    /// Number of events generated so far.
    pub events: u64,
}

/// Changes of the prompt prefixes that an engine caches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryEvents {
    /// Changes when the engine restarts, which invalidates all earlier events.
    pub epoch: u64,
    /// Number from which the next call continues.
    pub next: u64,
    /// Whether events before the first one are missing.
    pub has_gap: bool,
    /// The events in order.
    pub events: Vec<MemoryEvent>,
}

/// One change of a cached prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryEvent {
    /// Name of the prefix.
    pub part: String,
    /// Number of its tokens that are now cached; 0 if it was evicted.
    pub tokens: u64,
}

/// All prompt prefixes that an engine caches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryListing {
    /// As in [`MemoryEvents`].
    pub epoch: u64,
    /// Number from which the next call for events continues.
    pub next: u64,
    /// The cached prefixes and their numbers of tokens.
    pub parts: Vec<MemoryEvent>,
}

/// A request to an engine to copy a run's memory to another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunMove {
    /// Id of the run's request.
    pub request_id: String,
    /// Address of the other engine.
    pub target: SocketAddr,
    /// Set to stop the run: id of the last event that its caller has received. The run's stream then
    /// ends without a final event, and the source keeps the memory.
    pub stop_after: Option<String>,
}

/// The outcome of a [`RunMove`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveOutcome {
    /// The copy is complete.
    Copied {
        /// Identifies the copy.
        handle: String,
        /// Number of events that the run has generated.
        events: u64,
    },
    /// The engine doesn't run the request.
    NoSuchRun,
    /// Another move of the run is in progress.
    UnderWay,
    /// The other engine has no capacity or is unreachable.
    NoRoom {
        /// Identifies the memory that the source keeps, if the run was stopped.
        handle: Option<String>,
    },
}
