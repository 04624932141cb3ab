//! Handling of one request: routing, identification, quota, the permit to run, attempts at workers
//! and the response.

mod access;
mod admission;
mod attempts;
mod flow;
mod headers;
mod migration;
mod observations;
mod quota;
mod resumption;
mod sending;
mod stream;
mod turn;
mod turn_permit;
mod worker_use;
mod zones;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::RequestHead;
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::{Route, RouteKind, ServingConfig};
use elderworks_gateway_core::start::start_wait;
use elderworks_gateway_core::worker_ends::identity::RequestIdentity;

use crate::caller::{Caller, Progress};
use crate::clock::millis;
use crate::gateway::Gateway;
use crate::metrics::AnswerLabel;
use crate::reply::{ErrorStatus, Refusal};
use crate::server::CallerRequest;

use access::SenderIdentity;
use attempts::{Call, TriedWorkers};

pub(crate) use access::refuse_before_body;

/// Handles one request. An error means that the connection can't be used for further requests.
pub(crate) async fn handle(
    gateway: &Rc<Gateway>,
    caller: &mut Caller<'_>,
    request: CallerRequest,
) -> io::Result<()> {
    let received = request.received;
    let attributes = gateway.platform.call_attributes(&request.head.headers);
    let mut trace = Trace::new(gateway, &attributes, received);
    let result = route_and_run(gateway, caller, request, &attributes, &mut trace).await;
    trace.finish(caller, result.as_ref().err());
    result
}

async fn route_and_run(
    gateway: &Rc<Gateway>,
    caller: &mut Caller<'_>,
    request: CallerRequest,
    attributes: &CallAttributes,
    trace: &mut Trace,
) -> io::Result<()> {
    wait_for_start(gateway, attributes).await;
    let Some(config) = gateway.current_config() else {
        let not_run = NotRun::before_any_attempt();
        let refusal = Refusal::not_run(not_run, "no configuration is known yet");
        return refuse(caller, trace, &refusal).await;
    };
    trace.note_config(&config);
    let found = find_route(&config, &request.head);
    let found = found.and_then(|route| route.ok_or_else(|| access::unknown_route_refusal(gateway)));
    let route = match found {
        Ok(route) => route,
        Err(refusal) => return refuse(caller, trace, &refusal).await,
    };
    trace.route.clone_from(&route.name);
    let left = attributes
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let identified = access::identify_with_wait(gateway, &config, route, attributes, left).await;
    let sender = match identified {
        Ok(sender) => sender,
        Err(denial) => {
            let refusal = denial.refusal(NotRun::before_any_attempt());
            return refuse(caller, trace, &refusal).await;
        }
    };
    trace.note_sender(&sender);
    if let Some(deadline) = attributes.deadline.filter(|_| route.resumable) {
        gateway.note_stream_deadline(deadline);
    }
    let deadline = request.received + left;
    if gateway.exits_before(deadline) {
        let not_run = NotRun::before_any_attempt();
        let reason = "the node stops before the request's time is over";
        let refusal = Refusal::not_run_retry_after(not_run, reason, Duration::ZERO);
        return refuse(caller, trace, &refusal).await;
    }
    let mut call = Call::new(
        gateway, &config, route, attributes, sender, request, deadline, trace,
    );
    trace.identity = Some(call.identity);
    let running = run(&mut call, caller, trace);
    let ended = tokio::select! {
        biased;
        timed = tokio::time::timeout_at(deadline.into(), running) => {
            timed.map_err(|_| EarlyEnd::Deadline)
        }
        () = gateway.until_aborting() => Err(EarlyEnd::Exit),
    };
    let result = match ended {
        Ok(result) => result,
        Err(end) => {
            if end == EarlyEnd::Deadline {
                call.note_timeout();
            }
            respond_early(&call, caller, trace, end).await
        }
    };
    trace.may_have_run = call.history.may_have_run();
    result
}

/// Waits a limited time for this node to finish starting. A refused caller would only retry at
/// other nodes that are starting too, and a node that has not joined yet doesn't know which nodes
/// own the ledger's partitions.
async fn wait_for_start(gateway: &Gateway, attributes: &CallAttributes) {
    if gateway.start.is_complete() || !gateway.settings.policy.starting_patience {
        return;
    }
    let max_wait = start_wait(attributes.deadline);
    gateway.start.wait(max_wait).await;
}

async fn run(call: &mut Call<'_>, caller: &mut Caller<'_>, trace: &mut Trace) -> io::Result<()> {
    if let Err(CallError::Refused(refusal)) = call.check_earlier_tries().await {
        return refuse(caller, trace, &refusal).await;
    }
    if let Err(refusal) = call.bind_resumed_stream().await {
        return refuse(caller, trace, &refusal).await;
    }
    if let Err(refusal) = call.take_quota().await {
        return refuse(caller, trace, &refusal).await;
    }
    if let Err(refusal) = call.start_turn().await {
        return refuse(caller, trace, &refusal).await;
    }
    trace.milestones.note_permit(trace.received);
    if let Err(refusal) = call.admit().await {
        return refuse(caller, trace, &refusal).await;
    }
    let result = match call.route().kind {
        RouteKind::Streaming => call.run_stream(caller).await,
        RouteKind::Idempotent | RouteKind::Mutating => call.run_buffered(caller).await,
    };
    match result {
        Ok(()) => Ok(()),
        Err(CallError::Refused(refusal)) => refuse(caller, trace, &refusal).await,
        Err(CallError::Aborted(reason)) => {
            trace.outcome = reason;
            Err(io::Error::other(reason))
        }
        Err(CallError::Caller(error)) => Err(error),
    }
}

/// Why a request is ended before its response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlyEnd {
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
async fn respond_early(
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

/// The reason why no worker's response reached the caller in full.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The request is refused with this response.
    Refused(Refusal),
    /// Part of a response was sent that can't be completed: the connection must be closed.
    Aborted(&'static str),
    /// Writing to the caller failed.
    Caller(io::Error),
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> Self {
        Self::Caller(error)
    }
}

async fn refuse(caller: &mut Caller<'_>, trace: &mut Trace, refusal: &Refusal) -> io::Result<()> {
    trace.note_refusal(refusal);
    caller.send_refusal(refusal).await
}

/// Returns the route of a request; `None` if the configuration has no matching one.
fn find_route<'a>(
    config: &'a ServingConfig,
    head: &RequestHead,
) -> Result<Option<&'a Route>, Refusal> {
    let no_host = Refusal::error(ErrorStatus::BadRequest, "the request names no host");
    let host = headers::host(head).ok_or(no_host)?;
    Ok(config.route_for(&host, head.uri.path()))
}

/// Times from receipt of a request to its permit and its first event; shared with its log line.
#[derive(Clone, Debug, Default)]
pub(crate) struct Milestones {
    permit: Rc<Cell<Option<Duration>>>,
    first_event: Rc<Cell<Option<Duration>>>,
}

impl Milestones {
    /// Records that the request got its permit to run.
    fn note_permit(&self, received: Instant) {
        self.permit.set(Some(received.elapsed()));
    }

    /// Records that an event is sent to the caller. Returns whether it is the first one.
    fn note_first_event(&self, received: Instant) -> bool {
        let is_first = self.first_event.get().is_none();
        if is_first {
            self.first_event.set(Some(received.elapsed()));
        }
        is_first
    }
}

/// Collects the fields of a request's log line, and writes the line.
pub(crate) struct Trace {
    gateway: Rc<Gateway>,
    received: Instant,
    request_id: String,
    program: String,
    session: String,
    /// The turn that this one continues.
    previous: String,
    /// Id of the attempt that began the stream, if this one takes it up again.
    resumes: String,
    /// The last event that the caller had when it sent the request.
    last_event: String,
    /// Time left to the program when the request arrived.
    program_time_left: Option<Duration>,
    pub(crate) milestones: Milestones,
    config_version: u64,
    /// Age of this node's last read of the configuration stream when the route was looked up.
    config_read: Option<Duration>,
    pub(crate) route: String,
    /// The tenant of the request's key, if known.
    tenant: String,
    /// Age of the configuration's proof when the sender was identified.
    proof_age: Option<Duration>,
    /// Workers tried so far; shared, so that they are logged even if the caller disconnects.
    pub(crate) tried: TriedWorkers,
    pub(crate) outcome: &'static str,
    /// Whether a worker may have run the request.
    may_have_run: bool,
    /// By what the request is recognized in its caller's other tries, once it is routed.
    identity: Option<RequestIdentity>,
    finished: bool,
}

/// Requests that take longer than this are logged as warnings.
const SLOW_REQUEST: Duration = Duration::from_secs(2);

impl Trace {
    fn new(gateway: &Rc<Gateway>, attributes: &CallAttributes, received: Instant) -> Self {
        Self {
            gateway: gateway.clone(),
            received,
            request_id: attributes.request_id.clone().unwrap_or_default(),
            program: attributes.program.clone().unwrap_or_default(),
            session: attributes.session.clone().unwrap_or_default(),
            previous: attributes.previous_turn.clone().unwrap_or_default(),
            resumes: attributes.resumes.clone().unwrap_or_default(),
            last_event: attributes.last_event_id.clone().unwrap_or_default(),
            program_time_left: attributes.finish,
            milestones: Milestones::default(),
            config_version: 0,
            config_read: None,
            route: String::new(),
            tenant: String::new(),
            proof_age: None,
            tried: TriedWorkers::default(),
            outcome: "answered",
            may_have_run: false,
            identity: None,
            finished: false,
        }
    }

    /// Writes the log line of a request that is refused before its body is read.
    fn log_before_body(
        gateway: &Rc<Gateway>,
        attributes: &CallAttributes,
        config: &ServingConfig,
        route: &Route,
        refusal: &Refusal,
    ) {
        let mut trace = Self::new(gateway, attributes, Instant::now());
        trace.note_config(config);
        trace.route.clone_from(&route.name);
        trace.note_refusal(refusal);
        trace.finished = true;
        trace.write(refusal.status().as_u16(), true);
    }

    fn note_config(&mut self, config: &ServingConfig) {
        self.config_version = config.version;
        let now = self.gateway.now();
        self.config_read = self.gateway.config_proof.borrow().last_read_age(now);
    }

    fn note_refusal(&mut self, refusal: &Refusal) {
        self.outcome = refusal.reason();
        self.gateway.metrics.note_refusal(refusal);
    }

    fn note_sender(&mut self, sender: &SenderIdentity) {
        let Some(tenant) = &sender.tenant else {
            return;
        };
        self.tenant.clone_from(tenant);
        self.proof_age = self.gateway.config_proof.borrow().age(self.gateway.now());
    }

    fn finish(&mut self, caller: &Caller<'_>, error: Option<&io::Error>) {
        self.finished = true;
        if let Some(error) = error
            && self.outcome == "answered"
        {
            log::info!(request = self.request_id.as_str(), error = error.to_string().as_str(); "caller lost");
            self.outcome = "caller lost";
        }
        let whole = caller.progress() == Progress::Done;
        let status = caller.status().map_or(0, |status| status.as_u16());
        self.write(status, whole);
    }

    /// Returns the software version of each worker that was tried, in the same order.
    fn software(&self) -> String {
        let workers = self.gateway.workers.borrow();
        let tried = self.tried.borrow();
        let versions = tried.iter().map(|id| {
            let worker = workers.get(id);
            worker.and_then(|worker| worker.record.software.as_deref())
        });
        versions
            .map(Option::unwrap_or_default)
            .collect::<Vec<_>>()
            .join(",")
    }

    /// Returns the number of workers that ended under the request over its caller's tries.
    fn count_ends(&self) -> usize {
        let table = self.gateway.requests.ends.borrow();
        let identity = self.identity.as_ref();
        identity.map_or(0, |identity| table.count(identity).ended)
    }

    fn write(&self, status: u16, whole: bool) {
        self.gateway
            .metrics
            .answers
            .get_or_create(&AnswerLabel { status })
            .inc();
        let took = self.received.elapsed().as_millis();
        let level = if self.received.elapsed() > SLOW_REQUEST || status >= 500 {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            request = self.request_id.as_str(), program = self.program.as_str(),
            session = self.session.as_str(), previous = self.previous.as_str(), resumes = self.resumes.as_str(),
            last_event = self.last_event.as_str(), finish_ms = millis(self.program_time_left),
            leave_ms = millis(self.milestones.permit.get()),
            first_ms = millis(self.milestones.first_event.get()),
            route = self.route.as_str(), tenant = self.tenant.as_str(), config = self.config_version,
            config_read_ms = millis(self.config_read), proof_ms = millis(self.proof_age),
            workers = self.tried.borrow().join(",").as_str(), software = self.software().as_str(),
            may_have_run = self.may_have_run,
            content:? = self.identity.map(|identity| identity.content.0),
            ended = self.count_ends(),
            is_shared:? = self.identity.map(|identity| identity.is_shared),
            status = status, whole = whole,
            ms = took; "{}", self.outcome
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.finished {
            self.outcome = "caller left";
            self.write(0, false);
        }
    }
}
