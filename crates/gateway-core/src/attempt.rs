//! What becomes of a request after one attempt at a worker, and what may be said of it.

use std::cell::Cell;
use std::rc::Rc;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request can have reached the worker.
    NotSent,
    /// The worker says that it did not run the request.
    RefusedByWorker,
    /// Bytes were sent and no valid answer came: the request may have run.
    Unknown,
}

/// Shows that no worker has run a request or may yet run it. An answer that promises so is made
/// from nothing else, so no path can promise it by mistake.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun(());

impl NotRun {
    /// For a request that is refused before its first attempt, when it has no history yet.
    pub fn before_any_attempt() -> Self {
        Self(())
    }
}

/// Shared by the history with whoever sends: set before the first byte may go out.
#[derive(Clone, Debug, Default)]
pub struct SendMark(Rc<Cell<bool>>);

impl SendMark {
    /// Notes that bytes of the request may reach the worker from now on.
    pub fn note_sending(&self) {
        self.0.set(true);
    }
}

/// What is known of the attempts made so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Failed attempts after which the request may have run.
    possibly_run: u32,
    /// Failed attempts that surely did not run the request.
    not_run: u32,
    /// Whether an attempt that ended without a failure being noted may have run it: a stream that
    /// broke off and is gone on with, for example.
    earlier: bool,
    /// Whether the present attempt may have run it.
    present: SendMark,
}

/// Attempts that surely did not run the request are tried again at most this often.
const MAX_HARMLESS_FAILURES: u32 = 4;

/// The next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another worker.
    Retry,
    /// Try the same worker once more, on another connection: the route allows no other.
    RetrySameWorker,
    /// Answer. Whether that may promise that the request was not run, [`AttemptHistory::not_run`]
    /// tells.
    GiveUp,
}

impl AttemptHistory {
    /// Begins an attempt. The mark is to be set before the first byte goes out.
    pub fn start_attempt(&mut self) -> SendMark {
        self.earlier |= self.present.0.get();
        self.present = SendMark::default();
        self.present.clone()
    }

    /// Notes a failed attempt and decides the next step.
    ///
    /// Invariants: once an attempt may have run, a request that is not repeatable is not tried
    /// again. A repeatable one may run at no more than `max_attempts` workers, and at the last of
    /// them twice.
    pub fn after_failure(
        &mut self,
        failure: AttemptFailure,
        repeatable: bool,
        max_attempts: u32,
    ) -> NextStep {
        self.present = SendMark::default();
        match failure {
            AttemptFailure::NotSent | AttemptFailure::RefusedByWorker => self.not_run += 1,
            AttemptFailure::Unknown => self.possibly_run += 1,
        }
        if self.possibly_run > 0 && !repeatable {
            return NextStep::GiveUp;
        }
        if self.possibly_run >= max_attempts {
            let is_last_worker = self.possibly_run == max_attempts;
            return match failure {
                AttemptFailure::Unknown if is_last_worker => NextStep::RetrySameWorker,
                _ => NextStep::GiveUp,
            };
        }
        match self.not_run <= MAX_HARMLESS_FAILURES {
            true => NextStep::Retry,
            false => NextStep::GiveUp,
        }
    }

    /// Whether a worker may have run the request, or may yet run it.
    pub fn may_have_run(&self) -> bool {
        self.possibly_run > 0 || self.earlier || self.present.0.get()
    }

    /// Shows that no worker has run the request, unless one may have. To be asked for once no
    /// further attempt will be made.
    pub fn not_run(&self) -> Option<NotRun> {
        (!self.may_have_run()).then_some(NotRun(()))
    }
}
