//! Where a request is sent after a failed attempt, if it is.

use std::time::Duration;

use elderworks_gateway_core::attempt::{AttemptFailure, NextStep, Overlap, RetryRules};
use elderworks_gateway_core::peer_loads::WorkerKey;

use super::CallError;
use super::attempts::Call;
use crate::reply::Refusal;
use crate::upstream::Target;

/// Pause before a request is sent again to a worker that refused it while no other may run it.
const PAUSE_AT_ONLY_WORKER: Duration = Duration::from_millis(40);

impl Call<'_> {
    /// Records a failed attempt. An error means that no further attempt is made.
    pub(super) async fn after_failure(
        &mut self,
        target: &Target,
        failure: AttemptFailure,
        last_event_id: Option<&str>,
    ) -> Result<(), CallError> {
        let worker = target.worker.as_str();
        self.gateway.metrics.attempts_failed.inc();
        self.waiting_since = None;
        self.silent_since = None;
        if failure != AttemptFailure::RefusedByWorker {
            self.gateway.pool.discard_connections(worker);
            self.note_worker_failure(worker);
        }
        let step = self
            .history
            .after_failure(failure, worker, self.retry_rules());
        match step {
            NextStep::Retry => Ok(()),
            NextStep::RetrySameWorker => self.plan_retry_at(worker, failure).await,
            NextStep::StopRun => self.stop_run(&target.engine(), last_event_id).await,
            NextStep::GiveUp => Err(self.give_up()),
        }
    }

    /// Returns how an attempt failed that got no answer.
    pub(super) fn failure_without_answer(&self, worker: &str) -> AttemptFailure {
        match self.has_proved_end(worker) {
            true => AttemptFailure::UnknownAtEndedWorker,
            false => AttemptFailure::Unknown,
        }
    }

    /// Returns how an attempt failed for which no connection could be established. A worker that was heard
    /// meanwhile on another one isn't lost.
    pub(super) fn failure_without_connection(&self, worker: &str) -> AttemptFailure {
        let workers = self.gateway.workers.borrow();
        match workers.was_heard_since(worker, self.sent) {
            true => AttemptFailure::NotSent,
            false => AttemptFailure::NotReached,
        }
    }

    /// Returns what the call's route and service allow once the request may have run.
    pub(super) fn retry_rules(&self) -> RetryRules {
        let overlap = match self.is_for_engine() {
            true => Overlap::Excluded,
            false => Overlap::Allowed,
        };
        RetryRules {
            repeatable: self.route.is_repeatable(),
            max_workers: self.route.attempts,
            overlap,
        }
    }

    /// Plans the next attempt at the only worker that may run the request.
    async fn plan_retry_at(
        &mut self,
        worker: &str,
        failure: AttemptFailure,
    ) -> Result<(), CallError> {
        self.retry_at = match failure {
            AttemptFailure::Unknown | AttemptFailure::UnknownAtEndedWorker => {
                self.target_unless_ejected(worker)
            }
            _ => {
                actix_rt::time::sleep(PAUSE_AT_ONLY_WORKER).await;
                self.target_of_broken_stream(worker)
            }
        };
        match self.retry_at {
            Some(_) => Ok(()),
            None => Err(self.give_up()),
        }
    }

    /// Returns the response for a call that makes no further attempt.
    pub(super) fn give_up(&self) -> CallError {
        CallError::Refused(match self.history.not_run() {
            Some(not_run) => Refusal::not_run(not_run, "no worker takes the request now"),
            None => {
                Refusal::outcome_unknown("no worker gave a valid answer; the request may have run")
            }
        })
    }

    fn target_unless_ejected(&self, worker: &str) -> Option<Target> {
        let now = self.gateway.now();
        let workers = self.gateway.workers.borrow();
        let known = workers.get(worker)?;
        let accepts_requests = workers.is_open(known) && !workers.is_throttled(known, now);
        let may_run = workers.follows(self.version_rule(), known, now);
        let has_ended = self.gateway.requests.ends.borrow().has_ended(known.key());
        let is_usable = accepts_requests && may_run && !known.is_ejected(now) && !has_ended;
        is_usable.then(|| Target::direct(&known.record))
    }

    /// Returns whether a worker's process is proved to have ended.
    pub(super) fn has_proved_end(&self, worker: &str) -> bool {
        let ends = self.gateway.requests.ends.borrow();
        ends.has_proved_end(WorkerKey::of(worker))
    }

    /// Returns the worker at which a stream broke off as the target of the next attempt, unless it is gone
    /// or has been draining for too long.
    pub(super) fn target_of_broken_stream(&self, worker: &str) -> Option<Target> {
        let now = self.gateway.now();
        let workers = self.gateway.workers.borrow();
        let rule = self.version_rule();
        workers
            .get(worker)
            .filter(|_| !self.has_proved_end(worker))
            .filter(|known| workers.may_continue_stream(known, now))
            .filter(|known| workers.follows(rule, known, now))
            .map(|known| Target::direct(&known.record))
    }
}
