//! Retries of a request after failed attempts, and whether a worker may have run it.

mod possible_runs;

use std::cell::Cell;
use std::rc::Rc;

pub use possible_runs::{Overlap, SendScope};

use possible_runs::PossibleRuns;

use crate::worker_ends::{EndCount, MAX_ENDED_WORKERS};

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection to the worker could be established: it is lost, or cut off from this node.
    NotReached,
    /// No byte of the request can have reached the worker.
    NotSent,
    /// The worker reported that it did not run the request.
    RefusedByWorker,
    /// Bytes were sent and no valid response was received; the request may have run.
    Unknown,
    /// The same, and the worker's process has ended.
    UnknownAtEndedWorker,
}

/// Proof that no worker has run or will run a request.
///
/// Responses that state this can be created only from a value of this type.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun(());

impl NotRun {
    /// Creates the proof for a request that is refused before its first attempt.
    pub fn before_any_attempt() -> Self {
        Self(())
    }
}

/// A flag that the sender of an attempt sets before it sends the first byte.
#[derive(Clone, Debug, Default)]
pub struct SendMark(Rc<Cell<bool>>);

impl SendMark {
    /// Records that bytes of the request may reach the worker from now on.
    pub fn note_sending(&self) {
        self.0.set(true);
    }
}

/// Permission to send a request to a worker once.
#[derive(Debug)]
pub struct SendPermit(());

/// Whether a request may be sent to a worker.
#[derive(Debug)]
pub enum SendDecision {
    /// It may be sent.
    Permitted(SendPermit),
    /// It has to be found out first whether workers ended under it.
    Unsettled,
    /// As many workers ended under it as may: it is sent to no other, whatever happens.
    GivenUp,
    /// One more worker may end under it, but only one is left.
    LastWorker,
}

/// Maximum number of times that a stream is resumed within one response.
const MAX_RESUMPTIONS: u32 = 3;

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Number of failed attempts that may have run the request.
    possibly_run: u32,
    /// Number of failed attempts that did not run the request.
    not_run: u32,
    /// Number of failed attempts in a row that did not run the request, at the only worker that may run it.
    not_run_at_only_worker: u32,
    /// The workers that may have run it.
    runs: PossibleRuns,
    /// Whether an earlier attempt without a recorded failure may have run it, such as one whose
    /// stream broke off and is resumed.
    earlier: bool,
    /// Set if the current attempt may have run it.
    current: SendMark,
    /// Number of times that its stream was resumed.
    resumptions: u32,
}

/// Maximum number of failed attempts that did not run the request after which it is retried.
const MAX_NOT_RUN_FAILURES: u32 = 4;

/// Maximum number of such attempts after which a stream that broke off is sent again to the only
/// worker that may continue it. A caller can take the stream up elsewhere once the response has ended.
const MAX_NOT_RUN_AT_ONLY_WORKER: u32 = 2;

/// What a route allows for requests that may have run.
#[derive(Clone, Copy, Debug)]
pub struct RetryRules {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of workers that may run it; lost ones don't count.
    pub max_workers: u32,
    /// Whether it may run at two of them at the same time.
    pub overlap: Overlap,
}

/// The next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry at another worker.
    Retry,
    /// Retry at the same worker, since the route allows no other worker.
    RetrySameWorker,
    /// Make sure that the worker no longer runs the request, and then retry at another worker.
    StopRun,
    /// Respond with an error; [`AttemptHistory::not_run`] returns whether it may state that the
    /// request was not run.
    GiveUp,
}

impl AttemptHistory {
    /// Decides whether a request may be sent to a worker, the first time or again. `ends` are the ends
    /// of workers under it, over all tries of its caller, and `workers_left` those that may take it.
    pub fn decide_send(&self, ends: EndCount, workers_left: usize) -> SendDecision {
        let possible = ends.possible();
        if ends.ended >= MAX_ENDED_WORKERS {
            return SendDecision::GivenUp;
        }
        if possible >= MAX_ENDED_WORKERS {
            return SendDecision::Unsettled;
        }
        // Each of the other tries may end its worker, too.
        if possible > 0 && possible + ends.in_progress >= MAX_ENDED_WORKERS {
            return SendDecision::Unsettled;
        }
        if possible + 1 == MAX_ENDED_WORKERS && workers_left <= 1 {
            return match ends.unsettled {
                0 => SendDecision::LastWorker,
                _ => SendDecision::Unsettled,
            };
        }
        SendDecision::Permitted(SendPermit(()))
    }

    /// Records that a stream which broke off is to be resumed. Returns whether it may be.
    pub fn note_resumption(&mut self) -> bool {
        let is_allowed = self.resumptions < MAX_RESUMPTIONS;
        self.resumptions += u32::from(is_allowed);
        is_allowed
    }

    /// Records that a worker began to answer the request and that its answer broke off.
    pub fn note_broken_answer(&mut self, worker: &str) {
        self.earlier = true;
        self.not_run_at_only_worker = 0;
        self.runs.note_run(worker);
    }

    /// Records that a worker has ended or can't be reached.
    pub fn note_lost(&mut self, worker: &str) {
        self.runs.note_lost(worker);
    }

    /// Records that a worker has confirmed that it doesn't run the request.
    pub fn note_stopped(&mut self, worker: &str) {
        self.runs.note_stopped(worker);
    }

    /// Returns the workers to which the request may be sent.
    pub fn scope(&self, rules: RetryRules) -> SendScope {
        self.runs.scope(rules.max_workers, rules.overlap)
    }

    /// Returns whether the request may be sent to a worker, as far as it depends on where it may have run.
    pub fn may_send_to(&self, worker: &str, rules: RetryRules) -> bool {
        match self.scope(rules) {
            SendScope::Any => true,
            SendScope::Only(only) => only == worker,
        }
    }

    /// Returns whether the request may be sent to any worker once the only one to which it may be sent has
    /// stopped running it.
    pub fn may_leave_after_stop(&self, rules: RetryRules) -> bool {
        self.runs.len() < rules.max_workers as usize
    }

    /// Starts an attempt. The sender must set the returned flag before it sends the first byte.
    pub fn start_attempt(&mut self, _permit: SendPermit) -> SendMark {
        self.earlier |= self.current.0.get();
        self.current = SendMark::default();
        self.current.clone()
    }

    /// Records a failed attempt at a worker and returns the next step.
    ///
    /// A request that isn't repeatable is never retried once it may have run. A repeatable one runs
    /// at no more than [`RetryRules::max_workers`] workers, and at most twice at the last of them.
    pub fn after_failure(
        &mut self,
        failure: AttemptFailure,
        worker: &str,
        rules: RetryRules,
    ) -> NextStep {
        self.current = SendMark::default();
        match failure {
            AttemptFailure::NotReached => {
                self.not_run += 1;
                self.runs.note_lost(worker);
            }
            AttemptFailure::NotSent | AttemptFailure::RefusedByWorker => self.not_run += 1,
            AttemptFailure::Unknown => {
                self.possibly_run += 1;
                self.runs.note_run(worker);
            }
            AttemptFailure::UnknownAtEndedWorker => {
                self.possibly_run += 1;
                self.runs.note_lost(worker);
            }
        }
        if self.possibly_run > 0 && !rules.repeatable {
            return NextStep::GiveUp;
        }
        if self.possibly_run >= rules.max_workers {
            let is_last_worker = self.possibly_run == rules.max_workers;
            return match failure {
                AttemptFailure::Unknown | AttemptFailure::UnknownAtEndedWorker
                    if is_last_worker =>
                {
                    NextStep::RetrySameWorker
                }
                _ => NextStep::GiveUp,
            };
        }
        if self.not_run > MAX_NOT_RUN_FAILURES {
            return NextStep::GiveUp;
        }
        match self.scope(rules) {
            SendScope::Any => NextStep::Retry,
            SendScope::Only(_) if self.may_leave_after_stop(rules) => NextStep::StopRun,
            SendScope::Only(_) if self.not_run_at_only_worker < MAX_NOT_RUN_AT_ONLY_WORKER => {
                self.not_run_at_only_worker += 1;
                NextStep::RetrySameWorker
            }
            SendScope::Only(_) => NextStep::GiveUp,
        }
    }

    /// Returns whether a worker may have run the request or may still run it.
    pub fn may_have_run(&self) -> bool {
        self.possibly_run > 0 || self.earlier || self.current.0.get()
    }

    /// Returns the proof that no worker has run the request, or `None` if one may have. Must be
    /// called only when no further attempt will be made.
    pub fn not_run(&self) -> Option<NotRun> {
        (!self.may_have_run()).then_some(NotRun(()))
    }
}
