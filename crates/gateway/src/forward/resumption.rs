//! Resumption of a stream that broke off: the request is run again from the last event if its route
//! allows that; otherwise the run is resumed from a copy of its memory.

use elderworks_gateway_core::run_moves::Engine;
use elderworks_gateway_core::stream_versions::{SoftwareVersion, StreamVersion};

use super::CallError;
use super::attempts::Call;
use super::stream::ForwardedStream;
use super::worker_use::RunningResponse;
use crate::caller::{Caller, Progress};
use crate::upstream::Target;

/// Maximum number of times that a stream is resumed.
const MAX_RESUMPTIONS: u32 = 3;

impl Call<'_> {
    /// Resumes a stream that broke off at an engine.
    pub(super) async fn resume_broken(
        &mut self,
        caller: &Caller<'_>,
        engine: Engine,
        forwarded: &mut ForwardedStream,
    ) -> Result<RunningResponse, CallError> {
        if self.may_resume() {
            return self.resume(caller, &engine.worker, forwarded).await;
        }
        let resuming = self.resume_migrated(engine, forwarded.last_event_id.as_deref());
        resuming
            .await
            .map_err(|error| abort_if_streaming(caller, error))
    }

    /// Runs the request again from the last event.
    pub(super) async fn resume(
        &mut self,
        caller: &Caller<'_>,
        worker: &str,
        forwarded: &mut ForwardedStream,
    ) -> Result<RunningResponse, CallError> {
        let preferred = self.plan_resumption(worker, forwarded)?;
        let last_event_id = forwarded.last_event_id.clone();
        self.open_stream(caller, last_event_id, preferred).await
    }

    /// Returns the response of the first worker that gives a valid one. `preferred` is tried first.
    pub(super) async fn open_stream(
        &mut self,
        caller: &Caller<'_>,
        last_event_id: Option<String>,
        preferred: Option<Target>,
    ) -> Result<RunningResponse, CallError> {
        let opening = self.next_response(last_event_id.as_deref(), preferred);
        opening
            .await
            .map_err(|error| abort_if_streaming(caller, error))
    }

    /// Returns the worker at which a broken stream is resumed: the same one unless it is gone,
    /// because it has the prompt cached and doesn't count against the route's maximum number of
    /// workers.
    fn plan_resumption(
        &mut self,
        worker: &str,
        forwarded: &mut ForwardedStream,
    ) -> Result<Option<Target>, CallError> {
        if !self.may_resume() || forwarded.resumptions >= MAX_RESUMPTIONS {
            return Err(CallError::Aborted("the worker's stream broke off"));
        }
        forwarded.resumptions += 1;
        self.gateway.metrics.streams_resumed.inc();
        self.gateway.pool.discard_connections(worker);
        let now = self.gateway.now();
        let workers = self.gateway.workers.borrow();
        let rule = self.version_rule();
        let same = workers
            .get(worker)
            .filter(|known| workers.is_open(known) && !workers.is_throttled(known, now))
            .filter(|known| workers.follows(rule, known, now))
            .map(|known| Target::direct(&known.record));
        Ok(same)
    }

    /// Binds the stream to the version of the worker that has sent its first event.
    pub(super) fn note_stream_begun(&mut self, software: Option<SoftwareVersion>) {
        if self.version == StreamVersion::Open {
            self.version = StreamVersion::of_first_event(software);
        }
    }

    pub(super) fn may_resume(&self) -> bool {
        self.route.resumable && self.gateway.settings.policy.resumption
    }
}

/// Converts a refusal into an aborted connection if the head of a stream was already sent.
fn abort_if_streaming(caller: &Caller<'_>, error: CallError) -> CallError {
    match error {
        CallError::Refused(_) if caller.progress() != Progress::None => {
            CallError::Aborted("the stream could not be resumed")
        }
        error => error,
    }
}
