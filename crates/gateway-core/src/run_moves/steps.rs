//! What a run is told, and what it wants done next.

use std::net::SocketAddr;

use crate::engines::{MoveOutcome, RunCopy};

/// An engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The worker's id.
    pub worker: String,
    /// Its address.
    pub address: SocketAddr,
}

/// Why a run leaves its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationReason {
    /// Its stream broke off.
    Broken,
    /// Its stream is silent.
    Silent,
    /// The engine drains and will end before the run does.
    Draining,
    /// The engine is taken away at short notice.
    TakenSoon,
    /// The engine has grown slow.
    Slow,
}

impl MigrationReason {
    /// Whether nothing more is expected from the stream.
    pub(super) fn has_lost_stream(self) -> bool {
        matches!(self, Self::Broken | Self::Silent)
    }
}

/// Between which engines a copy is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyPath {
    /// Where the run is.
    pub source: SocketAddr,
    /// Where the copy goes.
    pub target: SocketAddr,
}

/// What is to be done next for a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunAction {
    /// Have the memory copied while the run goes on.
    Copy(CopyPath),
    /// Have the run stopped behind the last event that went to the caller, and its memory copied.
    Stop(CopyPath),
    /// Send the request with the copy and the last event's id.
    Resume {
        /// To this engine.
        at: Engine,
        /// With this copy.
        copy: RunCopy,
    },
    /// Read the stream on.
    Read,
    /// End the answer broken.
    End(EndReason),
}

/// Why a run does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// It has moved as often as it may.
    MovedOften,
    /// No other engine has room.
    NoTarget,
    /// The engine may still work on it.
    InDoubt,
    /// The engine has stopped or is lost, and there is no copy.
    NoCopy,
    /// No engine that has a copy takes the request.
    NotTaken,
    /// The route allows no further engine.
    NoAttemptLeft,
}

impl EndReason {
    /// For logs and counters.
    pub fn text(self) -> &'static str {
        match self {
            Self::MovedOften => "moved often enough",
            Self::NoTarget => "no other engine has room",
            Self::InDoubt => "the engine may still work on it",
            Self::NoCopy => "there is no copy",
            Self::NotTaken => "no engine goes on with the copy",
            Self::NoAttemptLeft => "the route allows no further engine",
        }
    }
}

/// How a call to an engine's own interface ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The engine answered.
    Answered(MoveOutcome),
    /// It refused: nothing was done.
    Refused,
    /// No connection could be made.
    NotReached,
    /// The call was sent and no answer came.
    Unknown,
}

/// How the attempt ended that was to go on with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its stream has begun.
    Answered,
    /// It was surely not run.
    NotRun,
    /// It may run.
    Unknown,
}
