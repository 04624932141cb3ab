//! Attempts of one call at workers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use elderworks_gateway_core::attempt::{AttemptFailure, AttemptHistory, NextStep};
use elderworks_gateway_core::balancer::{self, PlacementQuery};
use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::{MemoryMoves, Route, ServingConfig};
use elderworks_gateway_core::engines::PromptSource;
use elderworks_gateway_core::placement::demand::{EngineTurn, PrefixKey};
use elderworks_gateway_core::workers::max_idle_connections;

use super::access::Sender;
use super::occupied::{Occupied, RunningAnswer};
use super::outliving::{OutlivingRun, RunBackup};
use super::quota::Counted;
use super::turn::TurnLease;
use super::{CallError, Milestones, Trace, headers};
use crate::admission::AdmittedTurn;
use crate::caller::Caller;
use crate::gateway::Gateway;
use crate::memory::MemoryReservation;
use crate::ports::WorkerHeaders;
use crate::reply::Refusal;
use crate::server::CallerRequest;
use crate::upstream::{ExchangeContext, ExchangeError, OutgoingRequest, Target, exchange};

/// Largest answer that is collected before it is passed on, in bytes.
const MAX_WHOLE_ANSWER: usize = 16 * 1024 * 1024;

/// Least urgent rank that engines know; 0 is the most urgent.
const LEAST_URGENT: u8 = 9;

/// One request on its way.
pub(super) struct Call<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) config: &'a ServingConfig,
    pub(super) route: &'a Route,
    pub(super) attributes: &'a CallAttributes,
    pub(super) sender: Sender,
    pub(super) counted: Option<Counted>,
    pub(super) head: Rc<RequestHead>,
    pub(super) body: Option<Bytes>,
    pub(super) deadline: Instant,
    pub(super) received: Instant,
    pub(super) service: String,
    pub(super) lease: Option<TurnLease>,
    /// Its place at an engine, while it has one.
    pub(super) place: Option<AdmittedTurn>,
    pub(super) history: AttemptHistory,
    pub(super) milestones: Milestones,
    /// Counts the body for as long as the call holds it.
    _memory: MemoryReservation,
    tried: TriedWorkers,
    /// Where the next attempt must go, if the route allows no other worker.
    retry_at: Option<Target>,
    /// Set once the run has gone on elsewhere.
    pub(super) run: Option<OutlivingRun>,
    /// Where the run's memory is sent as it grows.
    pub(super) backup: Option<RunBackup>,
    /// Since when the worker of the present attempt has shown no sign of life.
    pub(super) waiting_since: Option<Instant>,
}

/// Ids of the workers that were tried for a request, in order; shared with its log line.
pub(super) type TriedWorkers = Rc<RefCell<Vec<String>>>;

impl<'a> Call<'a> {
    #[allow(
        clippy::too_many_arguments,
        reason = "the parts of one call, each named where it is made"
    )]
    pub(super) fn new(
        gateway: &'a Rc<Gateway>,
        config: &'a ServingConfig,
        route: &'a Route,
        attributes: &'a CallAttributes,
        sender: Sender,
        request: CallerRequest,
        deadline: Instant,
        trace: &Trace,
    ) -> Self {
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
            service: service.unwrap_or_default(),
            lease: None,
            place: None,
            history: AttemptHistory::default(),
            milestones: trace.milestones.clone(),
            tried: trace.tried.clone(),
            retry_at: None,
            run: None,
            backup: None,
            waiting_since: None,
        }
    }

    pub(super) fn route(&self) -> &Route {
        self.route
    }

    /// Runs a request whose answer is passed on whole.
    pub(super) async fn run_whole(&mut self, caller: &mut Caller<'_>) -> Result<(), CallError> {
        loop {
            let mut running = self.next_answer(None, None).await?;
            match running.answer.whole_body(MAX_WHOLE_ANSWER).await {
                Ok(body) => {
                    self.note_answer(&running.occupied.worker, running.answer.head.status);
                    self.count_answer(&running.occupied.worker, body.len());
                    drop(running.occupied);
                    self.leave_place();
                    let head = &running.answer.head;
                    let passed = headers::end_to_end(&head.headers);
                    caller.send_whole(head.status, &passed, &body).await?;
                    return Ok(());
                }
                Err(broken) => {
                    let worker = running.occupied.worker.clone();
                    self.log_failure(&worker, &broken.to_string());
                    self.after_failure(&worker, AttemptFailure::Unknown)?;
                }
            }
        }
    }

    /// The head of a valid answer, from whichever worker gives one. `preferred` is tried first.
    pub(super) async fn next_answer(
        &mut self,
        last_event_id: Option<&str>,
        mut preferred: Option<Target>,
    ) -> Result<RunningAnswer, CallError> {
        loop {
            self.check_sender().map_err(CallError::Refused)?;
            let target = match preferred.take().or_else(|| self.retry_at.take()) {
                Some(target) => target,
                None => self.choose()?,
            };
            let target = self.with_backup(target);
            let (failure, reason) = match self.attempt(&target, last_event_id).await {
                Ok(running) if self.gateway.platform.was_not_run(&running.answer.head) => {
                    let status = running.answer.head.status;
                    self.note_refusal(&target.worker, status);
                    let reason = format!("refused with {}", status.as_u16());
                    (AttemptFailure::RefusedByWorker, reason)
                }
                Ok(running) if is_unbacked_promise(running.answer.head.status) => {
                    let status = running.answer.head.status.as_u16();
                    let reason = format!("{status} without a word that it was not run");
                    (AttemptFailure::Unknown, reason)
                }
                Ok(running) => return Ok(running),
                Err(ExchangeError::NotSent(reason)) => (AttemptFailure::NotSent, reason),
                Err(ExchangeError::NoAnswer(reason)) => (AttemptFailure::Unknown, reason),
            };
            self.log_failure(&target.worker, &reason);
            self.after_failure(&target.worker, failure)?;
        }
    }

    pub(super) async fn attempt(
        &mut self,
        target: &Target,
        last_event_id: Option<&str>,
    ) -> Result<RunningAnswer, ExchangeError> {
        let occupied = Occupied::start(self.gateway, &target.worker);
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
            memory: &self.gateway.memory,
            platform: &*self.gateway.platform,
            connections_made: &self.gateway.metrics.worker_connections,
            most_idle: self.most_idle_connections(),
            mark: self.history.start_attempt(),
        };
        self.gateway.metrics.attempts.inc();
        if let Some(counted) = &mut self.counted {
            counted.note_send();
        }
        self.note_progress();
        self.count_request(&target.worker);
        let mut exchanging = std::pin::pin!(exchange(&context, target, &request, extra));
        let soon = actix_rt::time::timeout(self.longest_silence(), &mut exchanging).await;
        let answer = match soon {
            Ok(answer) => answer?,
            Err(_) if self.should_ask_again() => {
                let reason = "the worker is silent".to_owned();
                return Err(ExchangeError::NoAnswer(reason));
            }
            Err(_) => {
                self.note_worker_failure(&target.worker);
                self.waiting_since = None;
                exchanging.await?
            }
        };
        self.note_heard(&target.worker);
        Ok(RunningAnswer {
            answer,
            address: target.address,
            occupied,
        })
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

    fn most_idle_connections(&self) -> usize {
        let service = self.config.service(&self.service);
        let max_connections = service.map_or(u32::MAX, |service| service.max_connections);
        let share = max_idle_connections(max_connections, self.gateway.nodes_serving.get());
        usize::try_from(share).unwrap_or(usize::MAX)
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

    /// Requests for engines carry the rank of their tenant, or else of their route.
    fn engine_priority(&self) -> Option<u8> {
        let service = self.config.service(&self.service)?;
        let is_told = service.engine.is_some() && self.gateway.settings.policy.engine_rank;
        let rank = self.sender.priority.unwrap_or(self.route.priority);
        is_told.then(|| rank.min(LEAST_URGENT))
    }

    fn choose(&self) -> Result<Target, CallError> {
        let tried = self.tried.borrow();
        let prefers_resting = self.gateway.settings.policy.resting_connections;
        let query = PlacementQuery {
            service: &self.service,
            key: self
                .attributes
                .placement_key()
                .filter(|_| self.route.sticky && self.gateway.settings.policy.affinity),
            zone: self.gateway.settings.zone.as_str(),
            repeatable: self.route.is_repeatable(),
            tried: &tried,
            turn: self.engine_turn(),
            seed: self.gateway.next_sequence(),
            is_connected: &|worker| prefers_resting && self.gateway.pool.has(worker),
        };
        let now = self.gateway.now();
        let mut workers = self.gateway.workers.borrow_mut();
        if let Some(turn) = query.turn.as_ref().filter(|_| tried.is_empty()) {
            workers.note_turn(&self.service, turn, now);
        }
        let Some(worker) = balancer::choose(&workers, &query, now) else {
            return Err(self.give_up());
        };
        if let Some(is_at_home) = balancer::is_at_home(&workers, &query, worker) {
            self.gateway.metrics.note_placement(is_at_home);
        }
        let mut target = Target::plain(&worker.record);
        if let Some(turn) = query.turn.as_ref().filter(|_| tried.is_empty()) {
            let moves = self.engine_moves();
            let source = workers.prompt_source(&target.worker, turn, moves, now);
            if let Some((source, bytes)) = source {
                target.prompt_source = PromptSource::Engine(source);
                self.gateway.metrics.note_prompt_fetch(bytes);
                log::info!(worker = target.worker.as_str(), source = source.to_string().as_str(), tokens = turn.prefix_tokens; "an engine takes a prompt's part from another one");
            }
        }
        Ok(target)
    }

    /// What engines of the call's service pass to each other.
    fn engine_moves(&self) -> &MemoryMoves {
        const NONE: &MemoryMoves = &MemoryMoves::NONE;
        let service = self.config.service(&self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(NONE, |engine| &engine.memory_moves)
    }

    /// The turn as an engine sees it, if the request is one.
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

    /// Notes a failed attempt; an error is the answer if there is to be no other attempt.
    pub(super) fn after_failure(
        &mut self,
        worker: &str,
        failure: AttemptFailure,
    ) -> Result<(), CallError> {
        self.gateway.metrics.attempts_failed.inc();
        self.waiting_since = None;
        if failure != AttemptFailure::RefusedByWorker {
            self.gateway.pool.discard_connections(worker);
            self.note_worker_failure(worker);
        }
        let repeatable = self.route.is_repeatable();
        let step = self
            .history
            .after_failure(failure, repeatable, self.route.attempts);
        match step {
            NextStep::Retry => Ok(()),
            NextStep::RetrySameWorker => {
                self.retry_at = self.target_unless_ejected(worker);
                match self.retry_at {
                    Some(_) => Ok(()),
                    None => Err(self.give_up()),
                }
            }
            NextStep::GiveUp => Err(self.give_up()),
        }
    }

    /// The answer if no further attempt is made.
    fn give_up(&self) -> CallError {
        CallError::Refused(match self.history.not_run() {
            Some(shown) => Refusal::not_run(shown, "no worker takes the request now"),
            None => Refusal::unknown("no worker gave a valid answer; the request may have run"),
        })
    }

    fn target_unless_ejected(&self, worker: &str) -> Option<Target> {
        let now = self.gateway.now();
        let workers = self.gateway.workers.borrow();
        let known = workers.get(worker)?;
        let may_get = workers.is_open(known) && !workers.is_throttled(known, now);
        let is_fit = may_get && !known.is_ejected(now);
        is_fit.then(|| Target::plain(&known.record))
    }
}

/// Whether callers take a status for a promise that the request was not run, which a worker that
/// gives it of its own accord does not make.
pub(super) fn is_unbacked_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::PAYMENT_REQUIRED
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// The head of a request as it goes to workers, apart from what depends on the worker.
fn outgoing_head(gateway: &Gateway, config: &ServingConfig, head: &RequestHead) -> RequestHead {
    let mut outgoing = headers::outgoing_head(head);
    let has_tenants = !config.tenants.is_empty();
    gateway
        .platform
        .remove_system_headers(&mut outgoing.headers, has_tenants);
    outgoing
}
