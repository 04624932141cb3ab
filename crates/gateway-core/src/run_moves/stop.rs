//! Stopping a run that is not to be migrated, so that its request may run elsewhere from its last event.

use std::net::SocketAddr;

use super::{CallEnd, MAX_STOP_CALLS};
use crate::engines::{MoveOutcome, RunCopy};

/// What is known of a run after its engine was asked to stop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The engine doesn't run it any more.
    Stopped,
    /// The engine is lost or can't be reached.
    Lost,
    /// The engine may still run it.
    Unsure,
}

impl StopOutcome {
    /// Returns the description used in logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::Stopped => "stopped",
            Self::Lost => "the worker is lost",
            Self::Unsure => "it may still run the request",
        }
    }
}

/// The next step after a call to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// Repeat the call.
    AskAgain,
    /// Proceed with this outcome.
    Done(StopOutcome),
}

/// The calls to one engine to stop a run.
#[derive(Debug, Default)]
pub struct RunStop {
    calls: u32,
}

impl RunStop {
    /// Handles the outcome of a call.
    pub fn after_call(&mut self, end: &CallEnd) -> StopStep {
        self.calls += 1;
        let outcome = match end {
            CallEnd::Answered(
                MoveOutcome::Copied { .. }
                | MoveOutcome::NoSuchRun
                | MoveOutcome::NoRoom { handle: Some(_) },
            ) => StopOutcome::Stopped,
            CallEnd::NotReached => StopOutcome::Lost,
            CallEnd::Answered(MoveOutcome::UnderWay) | CallEnd::NotSent | CallEnd::Unknown
                if self.calls < MAX_STOP_CALLS =>
            {
                return StopStep::AskAgain;
            }
            CallEnd::Answered(_) | CallEnd::Refused | CallEnd::NotSent | CallEnd::Unknown => {
                StopOutcome::Unsure
            }
        };
        StopStep::Done(outcome)
    }
}

/// Returns the copy that a stopped run left at its engine, which is to be freed.
pub fn left_copy(source: SocketAddr, end: CallEnd) -> Option<RunCopy> {
    let handle = match end {
        CallEnd::Answered(MoveOutcome::Copied { handle, .. }) => handle,
        CallEnd::Answered(MoveOutcome::NoRoom { handle }) => handle?,
        _ => return None,
    };
    Some(RunCopy { source, handle })
}
