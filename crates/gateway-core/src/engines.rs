//! What engines say of their memory and their runs, and what they are asked to do with it.

use std::net::SocketAddr;

/// Where an engine takes a request's prompt from, beyond what it has read itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PromptSource {
    /// It reads what it lacks.
    #[default]
    Read,
    /// It first takes what another engine keeps of the prompt.
    Engine(SocketAddr),
    /// The request goes on as the same run with a copy of its memory.
    Copy(RunCopy),
}

/// A copy of a run's memory, good for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// The engine from which the copy was made.
    pub source: SocketAddr,
    /// Names the copy there: the handle of a move, or, for a backup, the run's request id.
    pub handle: String,
}

/// What an engine does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStage {
    /// It reads prompts and generates.
    Both,
    /// It only reads prompts.
    Prefill,
    /// It only generates.
    Decode,
}

/// What an engine reports of itself, as of a moment ago.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// What it does.
    pub stage: EngineStage,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens in memory that cannot give way.
    pub used_tokens: u64,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens pinned for requests to come.
    pub pinned_tokens: u64,
    /// Tokens set aside by holds.
    pub held_tokens: u64,
    /// Copies of runs that it keeps.
    pub copies: u32,
    /// Its runs.
    pub runs: Vec<EngineRun>,
}

/// One run at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// The request's id.
    pub request_id: String,
    /// Tokens in memory.
    pub tokens: u64,
    /// Events made so far.
    pub events: u64,
}

/// Changes of what an engine keeps of prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryEvents {
    /// Changes when the engine starts anew: what was known of it holds no more.
    pub epoch: u64,
    /// Where the next call goes on.
    pub next: u64,
    /// Whether earlier events are missing.
    pub has_gap: bool,
    /// In order.
    pub events: Vec<MemoryEvent>,
}

/// One change of what an engine keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryEvent {
    /// The prompt's part.
    pub part: String,
    /// Tokens of it that the engine keeps now; 0 if it was dropped.
    pub tokens: u64,
}

/// Everything that an engine keeps of prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryListing {
    /// As in [`MemoryEvents`].
    pub epoch: u64,
    /// Where calls for events go on.
    pub next: u64,
    /// Parts with the tokens of each that are kept.
    pub parts: Vec<MemoryEvent>,
}

/// Asks an engine to copy a run's memory to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunMove {
    /// The request's id.
    pub request_id: String,
    /// The other engine.
    pub target: SocketAddr,
    /// Set to stop the run: the last event that its caller has received. Its stream then ends
    /// without its end, and the source keeps the memory.
    pub stop_after: Option<String>,
}

/// How [`RunMove`] ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveOutcome {
    /// The copy is whole.
    Copied {
        /// Names it.
        handle: String,
        /// Events that the run has made.
        events: u64,
    },
    /// The engine does not run the request.
    NoSuchRun,
    /// Another move of the run is under way.
    UnderWay,
    /// There is no room or no way to the other engine.
    NoRoom {
        /// Names what the source keeps, if the run was stopped.
        handle: Option<String>,
    },
}
