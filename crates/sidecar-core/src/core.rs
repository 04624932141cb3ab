//! The state machine's entry points: callers' requests, connections and ticks.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::sidecar::{SidecarMessage, SubmissionId};
use elderworks_types::{
    CallId, CallSpec, Failure, FailureReason, Outcome, Refusal, RefusalReason, RunId, RunSpec,
    TenantId, Timestamp, UnknownReason,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::copies::UnansweredCopies;
use crate::delivery::Delivery;
use crate::directory::Directory;
use crate::effect::{CallerReply, Effect};
use crate::event::{Event, RequestId};
use crate::finished::FinishedCalls;
use crate::links::Links;
use crate::open_requests::OpenRequests;
use crate::request::{
    OpenCall, OpenRequest, Operation, RequestKey, RequestState, without_deadline,
};

/// Interval at which the driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after which a caller may retry when the sidecar is full or no node was reachable.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after a request's deadline for which its node may still report the outcome.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// Silence of a call's node after which another node is asked for the partition's owner.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Silence of a call's node after which the call is resubmitted.
pub const RESUBMIT_CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Silence of a node after which a request other than a call is resent, and another node is asked
/// for the partition's owner.
pub const RESEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// Addresses of the nodes to connect to initially; others are learned from lookups.
    pub nodes: Vec<SocketAddr>,
    /// Seed of the random number generator; also identifies the sidecar to nodes.
    pub seed: u64,
    /// Maximum number of open requests; further ones are refused.
    pub max_open_calls: usize,
    /// Maximum time that a call may stay open, also if its deadline is later.
    pub call_timeout: Duration,
    /// Maximum time to wait for a node to accept a request before refusing it as not run.
    pub hand_over_timeout: Duration,
}

impl SidecarSettings {
    /// Returns settings with the default limits.
    pub fn new(nodes: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            nodes,
            seed,
            max_open_calls: 1024,
            call_timeout: Duration::from_secs(600),
            hand_over_timeout: Duration::from_secs(30),
        }
    }
}

/// The state machine of one sidecar.
pub struct SidecarCore {
    pub(crate) settings: SidecarSettings,
    pub(crate) links: Links,
    pub(crate) directory: Directory,
    pub(crate) open: OpenRequests,
    pub(crate) finished: FinishedCalls,
    pub(crate) random: ChaCha8Rng,
    last_submission: u64,
    pub(crate) effects: Vec<Effect>,
}

impl SidecarCore {
    /// Creates a sidecar without connections or open requests.
    pub fn new(settings: SidecarSettings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            links: Links::default(),
            directory: Directory::default(),
            open: OpenRequests::default(),
            finished: FinishedCalls::default(),
            last_submission: 0,
            effects: Vec::new(),
        }
    }

    /// Handles one event and returns the resulting effects in the order of their execution.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        let may_make_requests_due = !matches!(event, Event::CallerDisconnected { .. });
        match event {
            Event::StartRun { request, spec } => self.start_run(now, request, spec),
            Event::Call {
                request,
                tenant,
                run,
                spec,
            } => self.call(now, request, tenant, run, spec),
            Event::ReadRun {
                request,
                tenant,
                run,
            } => self.open_other(now, request, run, Operation::ReadRun { tenant }),
            Event::EndRun {
                request,
                tenant,
                run,
            } => self.open_other(now, request, run, Operation::EndRun { tenant }),
            Event::CallerDisconnected { request } => self.handle_caller_disconnect(request),
            Event::Connected { address } => self.links.set_connected(address),
            Event::Disconnected { address } => self.handle_disconnect(now, address),
            Event::Received { address, message } => self.handle_message(now, address, message),
            Event::Tick => self.handle_tick(now),
        }
        if may_make_requests_due {
            self.send_due(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of connected nodes.
    pub fn ready_nodes(&self) -> usize {
        self.links.ready_count()
    }

    fn start_run(&mut self, now: Timestamp, request: RequestId, spec: RunSpec) {
        self.open_other(now, request, spec.id, Operation::StartRun(spec));
    }

    fn open_other(&mut self, now: Timestamp, request: RequestId, run: RunId, operation: Operation) {
        if self.is_full() {
            let reply = match operation {
                Operation::StartRun(_) => CallerReply::RunRefused {
                    refusal: refusal(RefusalReason::Overloaded),
                },
                _ => CallerReply::NoAnswerFromNode,
            };
            return self.reply(request, reply);
        }
        let deadline = now + self.settings.hand_over_timeout;
        self.insert(
            now,
            RequestKey::Other(request),
            run,
            operation,
            deadline,
            deadline,
        );
    }

    fn call(
        &mut self,
        now: Timestamp,
        request: RequestId,
        tenant: TenantId,
        run: RunId,
        spec: CallSpec,
    ) {
        let id = CallId {
            run,
            number: spec.number,
        };
        if self.finished.conflicts(id, &spec) {
            return self.refuse_call(request, RefusalReason::CallNumberReused);
        }
        if self.open.contains_key(&RequestKey::Call(id)) {
            return self.join_call(request, id, &tenant, &spec);
        }
        if self.is_full() {
            return self.refuse_call(request, RefusalReason::Overloaded);
        }
        let answer_deadline = match spec.deadline {
            Some(deadline) => deadline.min(now + self.settings.call_timeout),
            None => now + self.settings.call_timeout,
        };
        let hand_over_deadline = answer_deadline.min(now + self.settings.hand_over_timeout);
        let call = OpenCall {
            tenant,
            spec,
            submission: self.next_submission(),
            delivery: Delivery::default(),
            listeners: vec![request],
        };
        let key = RequestKey::Call(id);
        let operation = Operation::Call(Box::new(call));
        self.insert(
            now,
            key,
            run,
            operation,
            hand_over_deadline,
            answer_deadline,
        );
    }

    fn next_submission(&mut self) -> SubmissionId {
        self.last_submission += 1;
        SubmissionId {
            sidecar: self.settings.seed,
            number: self.last_submission,
        }
    }

    /// Adds a caller to a call that is already open, after checking that it requests the same call.
    fn join_call(&mut self, request: RequestId, id: CallId, tenant: &TenantId, spec: &CallSpec) {
        let call = self
            .open_call(id)
            .expect("the caller has checked that the call is open");
        if call.tenant != *tenant {
            return self.refuse_call(request, RefusalReason::RunNotFound);
        }
        if without_deadline(&call.spec) != without_deadline(spec) {
            return self.refuse_call(request, RefusalReason::CallNumberReused);
        }
        call.listeners.push(request);
        let text = call.delivery.text().to_owned();
        if !text.is_empty() {
            self.reply(request, CallerReply::Chunk { text });
        }
    }

    pub(crate) fn open_call(&mut self, id: CallId) -> Option<&mut OpenCall> {
        match &mut self.open.get_mut(&RequestKey::Call(id))?.operation {
            Operation::Call(call) => Some(call),
            _ => None,
        }
    }

    fn is_full(&self) -> bool {
        self.open.len() >= self.settings.max_open_calls
    }

    fn insert(
        &mut self,
        now: Timestamp,
        key: RequestKey,
        run: RunId,
        operation: Operation,
        hand_over_deadline: Timestamp,
        answer_deadline: Timestamp,
    ) {
        let request = OpenRequest {
            run,
            operation,
            state: RequestState::Waiting { retry_at: now },
            possibly_accepted: false,
            copies: UnansweredCopies::default(),
            failures: 0,
            hand_over_deadline,
            answer_deadline,
        };
        self.open.insert(key, request);
    }

    fn handle_caller_disconnect(&mut self, request: RequestId) {
        let joined = self.open.matching(|open| {
            matches!(
                &open.operation,
                Operation::Call(call) if call.listeners.contains(&request)
            )
        });
        for key in joined {
            if let Some(open) = self.open.get_mut(&key)
                && let Operation::Call(call) = &mut open.operation
            {
                call.listeners.retain(|listener| *listener != request);
            }
        }
    }

    fn handle_disconnect(&mut self, now: Timestamp, address: SocketAddr) {
        self.links.set_disconnected(now, address, &mut self.random);
        self.directory.forget_node(address);
        let affected = self.open.matching(|request| {
            request.is_sent_to(address) || request.copies.has_unanswered_at(address)
        });
        for key in affected {
            let Some(request) = self.open.get_mut(&key) else {
                continue;
            };
            if request.is_sent_to(address) {
                request.requeue(now);
            } else {
                request.abandon_copies();
            }
        }
    }

    fn handle_tick(&mut self, now: Timestamp) {
        self.connect_to_known_nodes(now);
        self.expire_overdue(now);
        self.probe_silent(now);
    }

    fn connect_to_known_nodes(&mut self, now: Timestamp) {
        self.links.forget_down_except(&self.settings.nodes);
        for address in self.settings.nodes.clone() {
            self.connect(now, address);
        }
    }

    fn expire_overdue(&mut self, now: Timestamp) {
        for key in self.open.overdue(now) {
            self.expire(key);
        }
    }

    fn expire(&mut self, key: RequestKey) {
        let Some(request) = self.open.get(&key) else {
            return;
        };
        let not_accepted = request.is_known_not_accepted();
        match (key, &request.operation) {
            (RequestKey::Call(id), Operation::Call(call)) => {
                if not_accepted {
                    let refusal = refusal(RefusalReason::NoNodeReachable);
                    return self.finish_call(id, None, Outcome::Refused(refusal));
                }
                let outcome = unsettled_outcome(call.spec.repeatable);
                self.abandon_call(id, outcome);
            }
            (RequestKey::Other(request), Operation::StartRun(_)) if not_accepted => {
                let refusal = refusal(RefusalReason::NoNodeReachable);
                self.finish_other(request, CallerReply::RunRefused { refusal });
            }
            (RequestKey::Other(request), _) => {
                self.finish_other(request, CallerReply::NoAnswerFromNode)
            }
            (RequestKey::Call(_), _) => unreachable!("only calls are keyed by call ids"),
        }
    }

    pub(crate) fn send(&mut self, address: SocketAddr, message: SidecarMessage) {
        self.effects.push(Effect::Send { address, message });
    }

    pub(crate) fn reply(&mut self, request: RequestId, reply: CallerReply) {
        self.effects.push(Effect::Reply { request, reply });
    }

    fn refuse_call(&mut self, request: RequestId, reason: RefusalReason) {
        let reply = CallerReply::CallEnded {
            attempt: None,
            outcome: Outcome::Refused(refusal(reason)),
        };
        self.reply(request, reply);
    }
}

fn refusal(reason: RefusalReason) -> Refusal {
    let is_transient = matches!(
        reason,
        RefusalReason::Overloaded | RefusalReason::NoNodeReachable
    );
    Refusal {
        reason,
        retry_after: is_transient.then_some(RETRY_AFTER),
    }
}

/// Returns the outcome of a call that a node may have accepted without reporting its end.
pub(crate) fn unsettled_outcome(repeatable: bool) -> Outcome {
    if !repeatable {
        return Outcome::Unknown(UnknownReason::OwnerLost);
    }
    Outcome::Failed(Failure {
        reason: FailureReason::AttemptsExhausted,
        detail: "no node reported the call's outcome in time".to_owned(),
        cost: elderworks_types::Credits::ZERO,
    })
}
