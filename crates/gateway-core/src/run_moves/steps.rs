//! Inputs and outputs of the run migration state machine.

use std::net::SocketAddr;

use crate::engines::{MoveOutcome, RunCopy};

/// Identity and address of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// ID of the worker.
    pub worker: String,
    /// Address of the engine's interface.
    pub address: SocketAddr,
}

/// Why a run is to be migrated from its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationReason {
    /// The stream broke off.
    Broken,
    /// The stream has been silent for too long.
    Silent,
    /// The engine is draining and will stop before the run ends.
    Draining,
    /// The engine will be preempted at short notice.
    Preempted,
    /// The engine has become slow.
    Slow,
}

impl MigrationReason {
    /// Returns whether no further events are expected from the stream.
    pub(super) fn has_lost_stream(self) -> bool {
        matches!(self, Self::Broken | Self::Silent)
    }
}

/// Engines between which a run's memory is copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyPath {
    /// Engine that has the run.
    pub source: SocketAddr,
    /// Engine that receives the copy.
    pub target: SocketAddr,
}

/// Next action of the driver for a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunAction {
    /// Copy the run's memory while it continues.
    Copy(CopyPath),
    /// Stop the run after the last event that the caller has received, and copy its memory.
    Stop(CopyPath),
    /// Resume the run from a copy: send the request with the copy's handle and the last event's ID.
    Resume {
        /// Engine that resumes the run.
        at: Engine,
        /// Copy of the run's memory.
        copy: RunCopy,
    },
    /// Continue reading the stream.
    Read,
    /// End the response as incomplete.
    End(EndReason),
}

/// Why a run cannot be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The run has reached the maximum number of migrations.
    MigrationLimit,
    /// No other engine has a free slot.
    NoTarget,
    /// The engine may still be running it.
    Unsettled,
    /// The engine has stopped the run or is lost, and no copy exists.
    NoCopy,
    /// Every engine that has a copy refused the request.
    AllRefused,
    /// The route's limit on engines per request is reached.
    EngineLimit,
}

impl EndReason {
    /// Returns the description used in logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Self::MigrationLimit => "moved often enough",
            Self::NoTarget => "no other engine has room",
            Self::Unsettled => "the engine may still work on it",
            Self::NoCopy => "there is no copy",
            Self::AllRefused => "no engine goes on with the copy",
            Self::EngineLimit => "the route allows no further engine",
        }
    }
}

/// Outcome of a call to an engine's control interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The engine answered.
    Answered(MoveOutcome),
    /// The engine refused the call without any effect.
    Refused,
    /// No connection could be established: the engine is lost or cut off.
    NotReached,
    /// The call wasn't sent for any other reason: it had no effect, and the engine may be running.
    NotSent,
    /// The call was sent but not answered, so its effect is unknown.
    Unknown,
}

/// Outcome of an attempt to resume a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The stream has started.
    Answered,
    /// The request was certainly not run.
    NotRun,
    /// The request may be running.
    Unknown,
}
