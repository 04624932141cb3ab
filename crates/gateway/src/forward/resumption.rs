//! Takes a stream up again that broke off: by running the request anew from the last event where its
//! route allows that, else by going on with a copy of the run.

use elderworks_gateway_core::run_moves::Engine;

use super::CallError;
use super::attempts::Call;
use super::occupied::RunningAnswer;
use super::stream::Passed;
use crate::caller::{Caller, Progress};
use crate::upstream::Target;

/// A stream is taken up again at most this often.
const MAX_RESUMPTIONS: u32 = 3;

impl Call<'_> {
    /// Goes on with a stream that broke off at an engine.
    pub(super) async fn take_up_again(
        &mut self,
        caller: &Caller<'_>,
        engine: Engine,
        passed: &mut Passed,
    ) -> Result<RunningAnswer, CallError> {
        if self.may_resume() {
            return self.resume(caller, &engine.worker, passed).await;
        }
        let going_on = self.go_on(engine, passed.last_event_id.as_deref());
        going_on
            .await
            .map_err(|error| once_streaming(caller, error))
    }

    /// Runs the request again from the last event.
    pub(super) async fn resume(
        &mut self,
        caller: &Caller<'_>,
        worker: &str,
        passed: &mut Passed,
    ) -> Result<RunningAnswer, CallError> {
        let preferred = self.plan_resumption(worker, passed)?;
        let last_event_id = passed.last_event_id.clone();
        self.begin_stream(caller, last_event_id, preferred).await
    }

    /// The head of an answer, from `preferred` first.
    pub(super) async fn begin_stream(
        &mut self,
        caller: &Caller<'_>,
        last_event_id: Option<String>,
        preferred: Option<Target>,
    ) -> Result<RunningAnswer, CallError> {
        let beginning = self.next_answer(last_event_id.as_deref(), preferred);
        beginning
            .await
            .map_err(|error| once_streaming(caller, error))
    }

    /// The worker at which a broken stream goes on: the same one, which holds the prompt and keeps
    /// within the route's attempts, unless it is gone.
    fn plan_resumption(
        &mut self,
        worker: &str,
        passed: &mut Passed,
    ) -> Result<Option<Target>, CallError> {
        if !self.may_resume() || passed.resumptions >= MAX_RESUMPTIONS {
            return Err(CallError::Broken("the worker's stream broke off"));
        }
        passed.resumptions += 1;
        self.gateway.metrics.streams_resumed.inc();
        self.gateway.pool.discard_connections(worker);
        let now = self.gateway.now();
        let workers = self.gateway.workers.borrow();
        let same = workers
            .get(worker)
            .filter(|known| workers.is_open(known) && !workers.is_throttled(known, now))
            .map(|known| Target::plain(&known.record));
        Ok(same)
    }

    pub(super) fn may_resume(&self) -> bool {
        self.route.resumable && self.gateway.settings.policy.resumption
    }
}

/// Once the head of a stream was sent, no other answer can be given.
fn once_streaming(caller: &Caller<'_>, error: CallError) -> CallError {
    match error {
        CallError::Refused(_) if caller.progress() != Progress::None => {
            CallError::Broken("the stream could not be taken up again")
        }
        error => error,
    }
}
