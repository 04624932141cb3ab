//! Attempts to get a response to one call from a worker.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use elderworks_gateway_core::answers::Outcome;
use elderworks_gateway_core::attempt::{AttemptFailure, AttemptHistory, SendPermit};
use elderworks_gateway_core::balancer::{self, PlacementQuery};
use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::{MemoryMoves, Route, ServingConfig};
use elderworks_gateway_core::engines::PromptSource;
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::placement::demand::{EngineTurn, PrefixKey};
use elderworks_gateway_core::stream_versions::{StreamVersion, VersionRule};
use elderworks_gateway_core::worker_ends::identity::{RequestContent, RequestIdentity};
use elderworks_gateway_core::workers::max_idle_connections;
use elderworks_types::Timestamp;

use super::access::SenderIdentity;
use super::attempt_error::AttemptError;
use super::migration::{MigratableRun, RunBackup};
use super::quota::CountedRequest;
use super::turn_permit::TurnPermit;
use super::worker_use::{RunningResponse, WorkerUse};
use super::{CallError, Milestones, Trace, headers};
use crate::admission::AdmittedTurn;
use crate::caller::Caller;
use crate::gateway::Gateway;
use crate::memory::MemoryReservation;
use crate::ports::WorkerHeaders;
use crate::server::CallerRequest;
use crate::upstream::{ExchangeContext, ExchangeError, OutgoingRequest, Target, exchange};
use crate::worker_witness::Witness;

/// Maximum size in bytes of a response that is buffered before it is forwarded.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Lowest priority that engines accept; 0 is the most urgent.
const LOWEST_PRIORITY: u8 = 9;

/// One request in progress.
pub(super) struct Call<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) config: &'a ServingConfig,
    pub(super) route: &'a Route,
    pub(super) attributes: &'a CallAttributes,
    pub(super) sender: SenderIdentity,
    /// The request's count against its tenant's quota.
    pub(super) counted: Option<CountedRequest>,
    pub(super) head: Rc<RequestHead>,
    pub(super) body: Option<Bytes>,
    pub(super) deadline: Instant,
    pub(super) received: Instant,
    /// By what the request is recognized in its caller's other tries.
    pub(super) identity: RequestIdentity,
    pub(super) service: String,
    pub(super) permit: Option<TurnPermit>,
    /// The call's slot at an engine, while it holds one.
    pub(super) slot: Option<AdmittedTurn>,
    pub(super) history: AttemptHistory,
    pub(super) milestones: Milestones,
    /// Accounts for the body's memory while the call holds it.
    _memory: MemoryReservation,
    tried: TriedWorkers,
    /// Number of this call's own exchanges that are still in progress when the next attempt begins.
    pub(super) own_sends: usize,
    /// When the current attempt began.
    pub(super) sent: Timestamp,
    /// A connection to the worker beside that of the current attempt, if the worker's end matters.
    pub(super) witness: Option<Witness>,
    /// The version of the workers that may continue the stream.
    pub(super) version: StreamVersion,
    /// The worker of the next attempt, if the route allows no other.
    pub(super) retry_at: Option<Target>,
    /// Set once the run has been moved to another engine.
    pub(super) run: Option<MigratableRun>,
    /// The engine to which the run's memory is copied as it grows.
    pub(super) backup: Option<RunBackup>,
    /// Time since which the current attempt's worker has been silent.
    pub(super) waiting_since: Option<Instant>,
    /// The same, if its silence was counted as a failure already.
    pub(super) silent_since: Option<Instant>,
}

/// Ids of the workers tried for a request, in order; shared with its log line.
pub(super) type TriedWorkers = Rc<RefCell<Vec<String>>>;

impl<'a> Call<'a> {
    #[allow(
        clippy::too_many_arguments,
        reason = "each argument initializes one field of the call"
    )]
    pub(super) fn new(
        gateway: &'a Rc<Gateway>,
        config: &'a ServingConfig,
        route: &'a Route,
        attributes: &'a CallAttributes,
        sender: SenderIdentity,
        request: CallerRequest,
        deadline: Instant,
        trace: &Trace,
    ) -> Self {
        let identity = identity_of(&request, attributes, &sender);
        let service = gateway.splits.borrow_mut().next_service(route);
        Self {
            gateway,
            config,
            route,
            attributes,
            sender,
            counted: None,
            head: Rc::new(outgoing_head(gateway, config, &request.head)),
            body: request.body,
            _memory: request.memory,
            deadline,
            received: request.received,
            identity,
            service: service.unwrap_or_default(),
            permit: None,
            slot: None,
            history: AttemptHistory::default(),
            milestones: trace.milestones.clone(),
            tried: trace.tried.clone(),
            own_sends: 0,
            sent: Timestamp::default(),
            witness: None,
            version: StreamVersion::default(),
            retry_at: None,
            run: None,
            backup: None,
            waiting_since: None,
            silent_since: None,
        }
    }

    pub(super) fn route(&self) -> &Route {
        self.route
    }

    /// Runs a request whose response is buffered and forwarded as a whole.
    pub(super) async fn run_buffered(&mut self, caller: &mut Caller<'_>) -> Result<(), CallError> {
        loop {
            let mut running = self.next_response(None, None).await?;
            match running
                .response
                .buffer_body(MAX_BUFFERED_RESPONSE_BYTES)
                .await
            {
                Ok(body) => {
                    self.note_response(&running.worker_use.worker, running.response.head.status);
                    self.count_response_bytes(&running.worker_use.worker, body.len());
                    drop(running.worker_use);
                    self.release_slot();
                    let head = &running.response.head;
                    let forwarded = headers::end_to_end(&head.headers);
                    caller.send_whole(head.status, &forwarded, &body).await?;
                    if head.status.is_success() {
                        self.note_served();
                    }
                    return Ok(());
                }
                Err(broken) => {
                    let target = Target::at(&running.engine());
                    self.log_failure(&target.worker, &broken.to_string());
                    self.note_break(&target).await;
                    let failure = self.failure_without_answer(&target.worker);
                    self.after_failure(&target, failure, None).await?;
                }
            }
        }
    }

    /// Returns the response of the first worker that gives a valid one. `preferred` is tried first.
    pub(super) async fn next_response(
        &mut self,
        last_event_id: Option<&str>,
        mut preferred: Option<Target>,
    ) -> Result<RunningResponse, CallError> {
        self.own_sends = 0;
        loop {
            self.check_sender().map_err(CallError::Refused)?;
            let target = match preferred.take().or_else(|| self.retry_at.take()) {
                Some(target) => target,
                None => self.choose_target().await?,
            };
            if !self.history.may_send_to(&target.worker, self.retry_rules()) {
                return Err(self.give_up());
            }
            let target = self.with_backup(target);
            self.open_witness(&target).await;
            let permit = self.permit_send().await?;
            let (failure, reason) = match self.attempt(permit, &target, last_event_id).await {
                Ok(running) => return Ok(running),
                Err(error @ AttemptError::Refused(_)) => {
                    (AttemptFailure::RefusedByWorker, error.to_string())
                }
                Err(error @ AttemptError::Unproven(_)) => {
                    (AttemptFailure::Unknown, error.to_string())
                }
                Err(AttemptError::Exchange(ExchangeError::NotReached(reason))) => {
                    self.probe_after_break(&target).await;
                    (self.failure_without_connection(&target.worker), reason)
                }
                Err(AttemptError::Exchange(ExchangeError::NotSent(reason))) => {
                    self.probe_after_break(&target).await;
                    (AttemptFailure::NotSent, reason)
                }
                Err(AttemptError::Exchange(ExchangeError::NoResponse(reason))) => {
                    self.note_break(&target).await;
                    (self.failure_without_answer(&target.worker), reason)
                }
            };
            self.log_failure(&target.worker, &reason);
            self.after_failure(&target, failure, last_event_id).await?;
        }
    }

    /// Sends the request to a worker and waits for the head of its response.
    pub(super) async fn attempt(
        &mut self,
        permit: SendPermit,
        target: &Target,
        last_event_id: Option<&str>,
    ) -> Result<RunningResponse, AttemptError> {
        self.sent = self.gateway.now();
        let ended = self.ends().ended;
        let worker_use = WorkerUse::start(self.gateway, &target.worker, &self.identity, ended);
        self.note_tried(&target.worker);
        let request = OutgoingRequest {
            head: self.head.clone(),
            body: self.body.clone(),
            request_id: self.attributes.request_id.clone(),
        };
        let extra = self.worker_headers(target, last_event_id);
        let context = ExchangeContext {
            pool: &self.gateway.pool,
            http: &self.gateway.http,
            clock: self.gateway.clock,
            memory: &self.gateway.memory,
            platform: &*self.gateway.platform,
            connections_opened: &self.gateway.metrics.worker_connections,
            max_idle: self.max_idle_connections(),
            mark: self.history.start_attempt(permit),
        };
        self.gateway.metrics.attempts.inc();
        if let Some(counted) = &mut self.counted {
            counted.note_send();
        }
        self.note_progress();
        self.count_request_bytes(&target.worker);
        let mut exchanging = std::pin::pin!(exchange(&context, target, &request, extra));
        let timed = actix_rt::time::timeout(self.max_silence(), &mut exchanging).await;
        let response = match timed {
            Ok(response) => response?,
            Err(_) if self.should_retry_silent() => {
                let reason = "the worker is silent".to_owned();
                return Err(ExchangeError::NoResponse(reason).into());
            }
            Err(_) => {
                self.note_worker_failure(&target.worker);
                self.silent_since = self.waiting_since.take();
                exchanging.await?
            }
        };
        self.silent_since = None;
        self.note_response_start(&target.worker);
        self.note_sign_of_life(&target.worker, response.opened);
        if response.head.status != StatusCode::MISDIRECTED_REQUEST {
            let mut ends = self.gateway.requests.ends.borrow_mut();
            ends.note_running(WorkerKey::of(&target.worker));
        }
        let status = response.head.status;
        match response.outcome {
            Outcome::Answered => Ok(RunningResponse {
                response,
                address: target.address,
                worker_use,
            }),
            Outcome::NotRun => {
                self.note_refusal(&target.worker, status);
                Err(AttemptError::Refused(status))
            }
            Outcome::Unknown => Err(AttemptError::Unproven(status)),
        }
    }

    pub(super) fn tried(&self) -> Vec<String> {
        self.tried.borrow().clone()
    }

    pub(super) fn last_tried(&self) -> Option<String> {
        self.tried.borrow().last().cloned()
    }

    fn note_tried(&self, worker: &str) {
        let mut tried = self.tried.borrow_mut();
        if !tried.iter().any(|known| known == worker) {
            tried.push(worker.to_owned());
        }
    }

    fn max_idle_connections(&self) -> usize {
        let service = self.config.service(&self.service);
        let max_connections = service.map_or(u32::MAX, |service| service.max_connections);
        let limit = max_idle_connections(max_connections, self.gateway.serving_count.get());
        usize::try_from(limit).unwrap_or(usize::MAX)
    }

    fn worker_headers(&self, target: &Target, last_event_id: Option<&str>) -> HeaderMap {
        let mut extra = HeaderMap::new();
        let values = WorkerHeaders {
            worker_id: &target.worker,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            priority: self.engine_priority(),
            tenant: self.sender.tenant.as_deref(),
            last_event_id,
            prompt_source: &target.prompt_source,
            backup_at: target.backup_at,
            pin: None,
        };
        self.gateway
            .platform
            .set_worker_headers(&mut extra, &values);
        extra
    }

    /// Returns the priority sent to engines: the tenant's, or else the route's.
    fn engine_priority(&self) -> Option<u8> {
        let service = self.config.service(&self.service)?;
        let sends_priority = service.engine.is_some() && self.gateway.settings.policy.engine_rank;
        let priority = self.sender.priority.unwrap_or(self.route.priority);
        sends_priority.then(|| priority.min(LOWEST_PRIORITY))
    }

    /// Returns the preferred worker; one that was tried or is in `avoided` only if there is no other.
    /// `None` if none accepts the request.
    pub(super) fn choose(&self, avoided: &BTreeSet<WorkerKey>) -> Option<Target> {
        let is_first = self.tried.borrow().is_empty();
        let is_suspect = self.ends().is_suspect();
        let tried = self.tried_or_avoided(avoided);
        let prefers_idle = self.gateway.settings.policy.resting_connections;
        let query = PlacementQuery {
            service: &self.service,
            key: self
                .attributes
                .placement_key()
                .filter(|_| self.route.sticky && self.gateway.settings.policy.affinity)
                // Requests with the same key would meet again at the same worker.
                .filter(|_| !is_suspect),
            zone: self.gateway.settings.zone.as_str(),
            repeatable: self.route.is_repeatable(),
            tried: &tried,
            versions: self.version_rule(),
            turn: self.engine_turn(),
            seed: self.gateway.next_sequence(),
            is_connected: &|worker| prefers_idle && self.gateway.pool.has_idle(worker),
        };
        let now = self.gateway.now();
        let mut workers = self.gateway.workers.borrow_mut();
        if let Some(turn) = query.turn.as_ref().filter(|_| is_first) {
            workers.note_turn(&self.service, turn, now);
        }
        let worker = balancer::choose(&workers, &query, now)?;
        if let Some(is_at_home) = balancer::is_at_home(&workers, &query, worker, now) {
            self.gateway.metrics.note_placement(is_at_home);
        }
        let mut target = Target::direct(&worker.record);
        if let Some(turn) = query.turn.as_ref().filter(|_| is_first) {
            let moves = self.engine_moves();
            let source = workers.prompt_source(&target.worker, turn, moves, now);
            if let Some((source, bytes)) = source {
                target.prompt_source = PromptSource::Engine(source);
                self.gateway.metrics.note_prompt_fetch(bytes);
                log::info!(worker = target.worker.as_str(), source = source.to_string().as_str(), tokens = turn.prefix_tokens; "engine fetches the prompt's shared segment from another engine");
            }
        }
        Some(target)
    }

    pub(super) fn tried_or_avoided(&self, avoided: &BTreeSet<WorkerKey>) -> Vec<String> {
        let mut tried = self.tried();
        if !avoided.is_empty() {
            let workers = self.gateway.workers.borrow();
            let of_service = workers.known(&self.service);
            let further = of_service.filter(|worker| avoided.contains(&worker.key()));
            tried.extend(further.map(|worker| worker.record.id.clone()));
        }
        tried
    }

    /// Returns which workers may run the call, by their software version.
    pub(super) fn version_rule(&self) -> VersionRule {
        self.version.rule(self.may_resume())
    }

    /// Returns what engines of the call's service can transfer to each other.
    pub(super) fn engine_moves(&self) -> &MemoryMoves {
        const NONE: &MemoryMoves = &MemoryMoves::NONE;
        let service = self.config.service(&self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(NONE, |engine| &engine.memory_moves)
    }

    /// Returns the turn's parameters for placement at an engine, if the request is a turn.
    fn engine_turn(&self) -> Option<EngineTurn> {
        let engine = self.config.service(&self.service)?.engine.as_ref()?;
        let (first, private) = self.attributes.prompt.split_first()?;
        Some(EngineTurn {
            prefix: PrefixKey::of(&first.id),
            prefix_tokens: first.tokens,
            suffix_tokens: private.iter().map(|segment| segment.tokens).sum(),
            max_output_tokens: self.attributes.max_tokens,
            memory_tokens: engine.memory_tokens,
            slots: engine.slots,
        })
    }
}

fn identity_of(
    request: &CallerRequest,
    attributes: &CallAttributes,
    sender: &SenderIdentity,
) -> RequestIdentity {
    let host = headers::host(&request.head).unwrap_or_default();
    let path = request.head.uri.path_and_query();
    let content = RequestContent {
        method: request.head.method.as_str(),
        host: &host,
        path: path.map_or("", |path| path.as_str()),
        body: request.body.as_deref().unwrap_or_default(),
        tenant: sender.tenant.as_deref(),
        caller: request.caller,
    };
    RequestIdentity::of(&content, attributes)
}

/// Returns the request head sent to any worker, without the headers that depend on the worker.
fn outgoing_head(gateway: &Gateway, config: &ServingConfig, head: &RequestHead) -> RequestHead {
    let mut outgoing = headers::outgoing_head(head);
    let has_tenants = !config.tenants.is_empty();
    gateway
        .platform
        .remove_system_headers(&mut outgoing.headers, has_tenants);
    outgoing
}
