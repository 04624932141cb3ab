//! Resumption of a stream that broke off: the request is run again from the last event if its route
//! allows that; otherwise the run is resumed from a copy of its memory.

use std::time::{Duration, Instant};

use elderworks_gateway_core::attempt::{NotRun, SendScope};
use elderworks_gateway_core::run_moves::Engine;
use elderworks_gateway_core::stream_versions::lookup::{KnownOrigin, ResumptionOutcome};
use elderworks_gateway_core::stream_versions::{SoftwareVersion, StreamKey, StreamVersion};

use super::CallError;
use super::attempts::Call;
use super::stream::ForwardedStream;
use super::worker_use::RunningResponse;
use crate::caller::{Caller, Progress};
use crate::clock::millis;
use crate::peers;
use crate::reply::Refusal;
use crate::upstream::Target;

/// Reason for ending a response whose stream can't be resumed.
pub(super) const STREAM_BROKEN: &str = "the worker's stream broke off";

/// Reason for refusing a stream whose version can't be determined.
const UNKNOWN_VERSION: &str = "the version that began the stream is not known";

/// Reason for refusing a stream whose version has no workers left.
const NO_WORKER: &str = "no worker of the version that began the stream serves now";

impl Call<'_> {
    /// Resumes a stream that broke off at an engine.
    pub(super) async fn resume_broken(
        &mut self,
        caller: &Caller<'_>,
        engine: Engine,
        forwarded: &ForwardedStream,
    ) -> Result<RunningResponse, CallError> {
        if self.may_resume() {
            return self.resume(caller, &engine, forwarded).await;
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
        engine: &Engine,
        forwarded: &ForwardedStream,
    ) -> Result<RunningResponse, CallError> {
        let planning = self.plan_resumption(engine, forwarded.last_event_id.as_deref());
        let preferred = planning
            .await
            .map_err(|error| abort_if_streaming(caller, error))?;
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

    /// Returns the worker at which a broken stream is resumed: the same one while it may be used,
    /// because it has the prompt cached and doesn't count against the route's maximum number of
    /// workers. `None` if any worker may continue the stream.
    async fn plan_resumption(
        &mut self,
        engine: &Engine,
        last_event_id: Option<&str>,
    ) -> Result<Option<Target>, CallError> {
        if !self.may_resume() || !self.history.note_resumption() {
            return Err(CallError::Aborted(STREAM_BROKEN));
        }
        self.gateway.metrics.streams_resumed.inc();
        let worker = engine.worker.as_str();
        self.gateway.pool.discard_connections(worker);
        self.history.note_broken_answer(worker);
        let has_ended = self.has_proved_end(worker);
        if has_ended {
            self.history.note_lost(worker);
        }
        let same = match has_ended {
            true => None,
            false => self.target_of_broken_stream(worker),
        };
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            worker = worker, is_same = same.is_some(), has_ended = has_ended,
            attempts = self.route.attempts, tried = self.tried().join(",").as_str(),
            ms = self.received.elapsed().as_millis();
            "stream that broke off is to be resumed"
        );
        if same.is_none() && self.history.scope(self.retry_rules()) != SendScope::Any {
            self.stop_run(engine, last_event_id).await?;
        }
        Ok(same)
    }

    /// Binds a stream that its caller takes up again to the version that began it.
    pub(super) async fn bind_resumed_stream(&mut self) -> Result<(), Refusal> {
        if !self.route.resumable || self.attributes.last_event_id.is_none() {
            return Ok(());
        }
        let started = Instant::now();
        let stream = self.attributes.resumes.as_deref().map(StreamKey::of);
        let origin = peers::find_origin(self.gateway, &self.service, stream).await;
        let outcome = self.bind(origin);
        self.gateway.metrics.note_resumption(outcome.name());
        self.log_resumption(origin, outcome, started.elapsed());
        match outcome {
            ResumptionOutcome::Bound(_) => Ok(()),
            ResumptionOutcome::NoWorker => {
                let not_run = NotRun::before_any_attempt();
                // A later attempt meets the same, so the caller had better begin anew at once.
                let pause = Duration::ZERO;
                Err(Refusal::not_run_retry_after(not_run, NO_WORKER, pause))
            }
            ResumptionOutcome::Unknown => {
                let not_run = NotRun::before_any_attempt();
                Err(Refusal::not_run(not_run, UNKNOWN_VERSION))
            }
        }
    }

    fn log_resumption(
        &self,
        origin: Option<KnownOrigin>,
        outcome: ResumptionOutcome,
        took: Duration,
    ) {
        let age = origin.and_then(|origin| origin.age);
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            resumes = self.attributes.resumes.as_deref().unwrap_or_default(),
            service = self.service.as_str(),
            versions:? = self.gateway.service_versions(&self.service),
            version:? = origin.map(|origin| origin.version.0),
            source = origin.map_or("", |origin| origin.source.name()),
            known_ms = millis(age), ms = took.as_millis();
            "stream to be resumed: {}", outcome.name()
        );
    }

    fn bind(&mut self, origin: Option<KnownOrigin>) -> ResumptionOutcome {
        let Some(origin) = origin else {
            return ResumptionOutcome::Unknown;
        };
        self.version = StreamVersion::Bound(origin.version);
        let now = self.gateway.now();
        let workers = self.gateway.workers.borrow();
        let serves = |service: &str| workers.serves_version(service, origin.version, now);
        if serves(&self.service) {
            return ResumptionOutcome::Bound(origin.source);
        }
        // Another service of the route may have begun the stream.
        let services = self.route.services.iter();
        let mut others = services.map(|weighted| weighted.service.as_str());
        match others.find(|service| serves(service)) {
            Some(service) => {
                self.service = service.to_owned();
                ResumptionOutcome::Bound(origin.source)
            }
            None => ResumptionOutcome::NoWorker,
        }
    }

    /// Binds the stream to the version of the worker that has sent its first event, and reports it
    /// for the case that another node has to resume the stream.
    pub(super) fn note_stream_begun(&mut self, software: Option<SoftwareVersion>) {
        if self.version != StreamVersion::Open {
            return;
        }
        self.version = StreamVersion::of_first_event(software);
        let request = self.attributes.request_id.as_deref();
        if let (true, Some(version), Some(request)) = (self.route.resumable, software, request) {
            let stream = StreamKey::of(request);
            peers::note_begun(self.gateway, &self.service, stream, version);
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
