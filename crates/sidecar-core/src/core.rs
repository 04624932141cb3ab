//! The state machine: callers' events, connections and time.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::sidecar::{SidecarMessage, SubmissionId};
use elderworks_types::{
    CallId, CallSpec, Failure, FailureReason, Outcome, Refusal, RefusalReason, RunId, RunSpec,
    TenantId, Timestamp, UnknownReason,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::copies::Copies;
use crate::delivery::Delivery;
use crate::directory::Directory;
use crate::effect::{CallerReply, Effect};
use crate::event::{Event, RequestId};
use crate::finished::FinishedCalls;
use crate::links::Links;
use crate::open_requests::OpenRequests;
use crate::request::{Body, OpenCall, OpenRequest, Position, RequestKey, without_deadline};

/// How often a driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// When a refused caller may come back: the sidecar is full, or no node was reached.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long past a call's deadline its node has to say what became of it.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// Silence of a call's node after which another is asked whether it still owns the partition.
pub const PROBE_AFTER: Duration = Duration::from_secs(5);

/// Silence of a call's node after which the call is submitted to it again.
pub const RESUBMIT_CALL_AFTER: Duration = Duration::from_secs(60);

/// Silence of a node after which any other request is sent again, and another node asked who owns
/// the partition.
pub const RESEND_AFTER: Duration = Duration::from_secs(2);

/// What a sidecar is given at its start.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// Addresses of some nodes.
    pub nodes: Vec<SocketAddr>,
    /// Seed of its random choices; also its name on connections.
    pub seed: u64,
    /// Most requests open at once; more are refused.
    pub max_open_calls: usize,
    /// Longest time that a call without a deadline is kept open.
    pub call_timeout: Duration,
    /// How long a request may wait for a node to take it before it is refused as not run.
    pub hand_over_timeout: Duration,
}

impl SidecarSettings {
    /// Ordinary limits.
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

/// One sidecar.
pub struct SidecarCore {
    pub(crate) settings: SidecarSettings,
    pub(crate) links: Links,
    pub(crate) directory: Directory,
    pub(crate) open: OpenRequests,
    pub(crate) finished: FinishedCalls,
    pub(crate) random: ChaCha8Rng,
    submissions: u64,
    pub(crate) effects: Vec<Effect>,
}

impl SidecarCore {
    /// A sidecar without open calls.
    pub fn new(settings: SidecarSettings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            links: Links::default(),
            directory: Directory::default(),
            open: OpenRequests::default(),
            finished: FinishedCalls::default(),
            submissions: 0,
            effects: Vec::new(),
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        let may_free_requests = !matches!(event, Event::CallerGone { .. });
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
            } => self.open_other(now, request, run, Body::ReadRun { tenant }),
            Event::EndRun {
                request,
                tenant,
                run,
            } => self.open_other(now, request, run, Body::EndRun { tenant }),
            Event::CallerGone { request } => self.caller_gone(request),
            Event::Connected { address } => self.links.connected(address),
            Event::Disconnected { address } => self.disconnected(now, address),
            Event::Received { address, message } => self.received(now, address, message),
            Event::Tick => self.tick(now),
        }
        if may_free_requests {
            self.send_due(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Number of requests open.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Number of nodes connected to.
    pub fn ready_nodes(&self) -> usize {
        self.links.ready_count()
    }

    fn start_run(&mut self, now: Timestamp, request: RequestId, spec: RunSpec) {
        self.open_other(now, request, spec.id, Body::StartRun(spec));
    }

    fn open_other(&mut self, now: Timestamp, request: RequestId, run: RunId, body: Body) {
        if self.is_full() {
            let reply = match body {
                Body::StartRun(_) => CallerReply::RunRefused {
                    refusal: refusal(RefusalReason::Overloaded),
                },
                _ => CallerReply::Unreachable,
            };
            return self.reply(request, reply);
        }
        let deadline = now + self.settings.hand_over_timeout;
        self.insert(
            now,
            RequestKey::Other(request),
            run,
            body,
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
        let give_up_at = match spec.deadline {
            Some(deadline) => deadline.min(now + self.settings.call_timeout),
            None => now + self.settings.call_timeout,
        };
        let hand_over_by = give_up_at.min(now + self.settings.hand_over_timeout);
        let call = OpenCall {
            tenant,
            spec,
            submission: self.next_submission(),
            delivery: Delivery::default(),
            listeners: vec![request],
        };
        let key = RequestKey::Call(id);
        let body = Body::Call(Box::new(call));
        self.insert(now, key, run, body, hand_over_by, give_up_at);
    }

    fn next_submission(&mut self) -> SubmissionId {
        self.submissions += 1;
        SubmissionId {
            sidecar: self.settings.seed,
            number: self.submissions,
        }
    }

    /// A caller asks for the answer of a call that is open already.
    fn join_call(&mut self, request: RequestId, id: CallId, tenant: &TenantId, spec: &CallSpec) {
        let call = self.open_call(id).expect("the call was just found open");
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
        match &mut self.open.get_mut(&RequestKey::Call(id))?.body {
            Body::Call(call) => Some(call),
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
        body: Body,
        hand_over_by: Timestamp,
        give_up_at: Timestamp,
    ) {
        let request = OpenRequest {
            run,
            body,
            position: Position::Waiting { retry_at: now },
            maybe_taken: false,
            copies: Copies::default(),
            failures: 0,
            hand_over_by,
            give_up_at,
        };
        self.open.insert(key, request);
    }

    fn caller_gone(&mut self, request: RequestId) {
        let joined = self.open.matching(
            |open| matches!(&open.body, Body::Call(call) if call.listeners.contains(&request)),
        );
        for key in joined {
            if let Some(open) = self.open.get_mut(&key)
                && let Body::Call(call) = &mut open.body
            {
                call.listeners.retain(|listener| *listener != request);
            }
        }
    }

    fn disconnected(&mut self, now: Timestamp, address: SocketAddr) {
        self.links.disconnected(now, address, &mut self.random);
        self.directory.forget_node(address);
        let concerned = self
            .open
            .matching(|request| request.is_with(address) || request.copies.are_with(address));
        for key in concerned {
            let Some(request) = self.open.get_mut(&key) else {
                continue;
            };
            if request.is_with(address) {
                request.recall(now);
            } else {
                request.leave_copies();
            }
        }
    }

    fn tick(&mut self, now: Timestamp) {
        self.connect_to_known_nodes(now);
        self.give_up_overdue(now);
        self.probe_silent(now);
    }

    fn connect_to_known_nodes(&mut self, now: Timestamp) {
        self.links.forget_down_except(&self.settings.nodes);
        for address in self.settings.nodes.clone() {
            self.connect(now, address);
        }
    }

    fn give_up_overdue(&mut self, now: Timestamp) {
        for key in self.open.overdue(now) {
            self.give_up(key);
        }
    }

    fn give_up(&mut self, key: RequestKey) {
        let Some(request) = self.open.get(&key) else {
            return;
        };
        let not_taken = request.surely_not_taken();
        match (key, &request.body) {
            (RequestKey::Call(id), Body::Call(call)) => {
                if not_taken {
                    let refusal = refusal(RefusalReason::NoNodeReachable);
                    return self.end_call(id, None, Outcome::Refused(refusal));
                }
                let outcome = unresolved(call.spec.repeatable);
                self.abandon_call(id, outcome);
            }
            (RequestKey::Other(request), Body::StartRun(_)) if not_taken => {
                let refusal = refusal(RefusalReason::NoNodeReachable);
                self.end_other(request, CallerReply::RunRefused { refusal });
            }
            (RequestKey::Other(request), _) => self.end_other(request, CallerReply::Unreachable),
            (RequestKey::Call(_), _) => unreachable!("only calls are named by call ids"),
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

/// The outcome of a call that a node may have taken and of which nothing more was heard.
pub(crate) fn unresolved(repeatable: bool) -> Outcome {
    if !repeatable {
        return Outcome::Unknown(UnknownReason::OwnerLost);
    }
    Outcome::Failed(Failure {
        reason: FailureReason::AttemptsExhausted,
        detail: "no node could say in time what became of the call".to_owned(),
        cost: elderworks_types::Credits::ZERO,
    })
}
