//! Requests that are ended before their responses are complete.

use std::io;
use std::time::Duration;

use elderworks_gateway_core::attempt::NotRun;

use super::attempts::Call;
use super::refuse;
use super::trace::Trace;
use crate::caller::{Caller, Progress};
use crate::reply::Refusal;

/// Why a request is ended before its response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlyEnd {
    /// Its deadline has passed.
    Deadline,
    /// The process is about to exit.
    Exit,
}

impl EarlyEnd {
    /// Returns the outcome of a request whose response has begun.
    fn within_response(self) -> &'static str {
        match self {
            Self::Deadline => "time is over within the answer",
            Self::Exit => "the process exits within the answer",
        }
    }

    /// Returns the response to a request whose response has not begun.
    fn refusal(self, not_run: Option<NotRun>) -> Refusal {
        match (self, not_run) {
            (Self::Deadline, Some(not_run)) => {
                Refusal::not_run(not_run, "the time of the request is over; it was not run")
            }
            (Self::Deadline, None) => Refusal::timed_out("the time of the request is over"),
            (Self::Exit, Some(not_run)) => {
                let reason = "the process exits; the request was not run";
                Refusal::not_run_retry_after(not_run, reason, Duration::ZERO)
            }
            (Self::Exit, None) => {
                Refusal::outcome_unknown("the process exits; the request may have run")
            }
        }
    }
}

/// Responds to a request that is ended early.
pub(super) async fn respond_early(
    call: &Call<'_>,
    caller: &mut Caller<'_>,
    trace: &mut Trace,
    end: EarlyEnd,
) -> io::Result<()> {
    if caller.progress() != Progress::None {
        trace.outcome = end.within_response();
        return Err(io::ErrorKind::TimedOut.into());
    }
    let refusal = end.refusal(call.history.not_run());
    refuse(caller, trace, &refusal).await
}
