//! The log line of a request: collects its fields while the request is handled.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::{Route, ServingConfig};
use elderworks_gateway_core::worker_ends::identity::RequestIdentity;

use super::access::SenderIdentity;
use super::attempts::TriedWorkers;
use crate::caller::{Caller, Progress};
use crate::clock::millis;
use crate::gateway::Gateway;
use crate::metrics::AnswerLabel;
use crate::reply::Refusal;

/// Requests that take longer than this are logged as warnings.
const SLOW_REQUEST: Duration = Duration::from_secs(2);

/// Times from receipt of a request to its permit and its first event; shared with its log line.
#[derive(Clone, Debug, Default)]
pub(super) struct Milestones {
    permit: Rc<Cell<Option<Duration>>>,
    first_event: Rc<Cell<Option<Duration>>>,
}

impl Milestones {
    /// Records that the request got its permit to run.
    pub(super) fn note_permit(&self, received: Instant) {
        self.permit.set(Some(received.elapsed()));
    }

    /// Records that an event is sent to the caller. Returns whether it is the first one.
    pub(super) fn note_first_event(&self, received: Instant) -> bool {
        let is_first = self.first_event.get().is_none();
        if is_first {
            self.first_event.set(Some(received.elapsed()));
        }
        is_first
    }
}

/// Collects the fields of a request's log line, and writes the line.
pub(super) struct Trace {
    gateway: Rc<Gateway>,
    pub(super) received: Instant,
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
    pub(super) milestones: Milestones,
    config_version: u64,
    /// Age of this node's last read of the configuration stream when the route was looked up.
    config_read: Option<Duration>,
    pub(super) route: String,
    /// The tenant of the request's key, if known.
    tenant: String,
    /// Age of the configuration's proof when the sender was identified.
    proof_age: Option<Duration>,
    /// Workers tried so far; shared, so that they are logged even if the caller disconnects.
    pub(super) tried: TriedWorkers,
    pub(super) outcome: &'static str,
    /// Whether a worker may have run the request.
    pub(super) may_have_run: bool,
    /// By what the request is recognized in its caller's other tries, once it is routed.
    pub(super) identity: Option<RequestIdentity>,
    finished: bool,
}

impl Trace {
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        attributes: &CallAttributes,
        received: Instant,
    ) -> Self {
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
    pub(super) fn log_before_body(
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

    pub(super) fn note_config(&mut self, config: &ServingConfig) {
        self.config_version = config.version;
        let now = self.gateway.now();
        self.config_read = self.gateway.config_proof.borrow().last_read_age(now);
    }

    pub(super) fn note_refusal(&mut self, refusal: &Refusal) {
        self.outcome = refusal.reason();
        self.gateway.metrics.note_refusal(refusal);
    }

    pub(super) fn note_sender(&mut self, sender: &SenderIdentity) {
        let Some(tenant) = &sender.tenant else {
            return;
        };
        self.tenant.clone_from(tenant);
        self.proof_age = self.gateway.config_proof.borrow().age(self.gateway.now());
    }

    pub(super) fn finish(&mut self, caller: &Caller<'_>, error: Option<&io::Error>) {
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
