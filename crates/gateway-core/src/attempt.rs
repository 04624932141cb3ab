//! What becomes of a request after one attempt at a worker.

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

/// What is known of the attempts made so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Attempts after which the request may have run.
    pub possibly_run: u32,
    /// Attempts that surely did not run the request.
    pub not_run: u32,
}

/// Attempts that surely did not run the request are tried again at most this often.
const MAX_HARMLESS_FAILURES: u32 = 4;

/// The next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another worker.
    TryAgain,
    /// Try the same worker once more, on another connection: the route allows no other.
    TrySameWorker,
    /// Answer that the request has not run and will not.
    AnswerNotRun,
    /// Answer that the outcome is unknown.
    AnswerUnknown,
}

impl AttemptHistory {
    /// Notes a failed attempt and decides the next step.
    ///
    /// Invariants: once an attempt may have run, a request that is not repeatable is neither tried
    /// again nor answered as not run. A repeatable one may run at no more than `max_attempts`
    /// workers, and at the last of them twice.
    pub fn after_failure(
        &mut self,
        failure: AttemptFailure,
        repeatable: bool,
        max_attempts: u32,
    ) -> NextStep {
        match failure {
            AttemptFailure::NotSent | AttemptFailure::RefusedByWorker => self.not_run += 1,
            AttemptFailure::Unknown => self.possibly_run += 1,
        }
        if self.possibly_run > 0 && !repeatable {
            return NextStep::AnswerUnknown;
        }
        if self.possibly_run >= max_attempts {
            let is_last_worker = self.possibly_run == max_attempts;
            return match failure {
                AttemptFailure::Unknown if is_last_worker => NextStep::TrySameWorker,
                _ => NextStep::AnswerUnknown,
            };
        }
        if self.not_run <= MAX_HARMLESS_FAILURES {
            return NextStep::TryAgain;
        }
        self.give_up(repeatable)
    }

    /// The answer if no further attempt can be made.
    pub fn give_up(&self, repeatable: bool) -> NextStep {
        if self.possibly_run == 0 || repeatable {
            NextStep::AnswerNotRun
        } else {
            NextStep::AnswerUnknown
        }
    }
}
