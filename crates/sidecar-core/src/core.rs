//! The state machine: callers' events, connections and time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::sidecar::SidecarMessage;
use elderworks_types::{
    CallId, CallSpec, Failure, FailureReason, Outcome, PartitionId, Refusal, RefusalReason, RunId,
    RunSpec, TenantId, Timestamp, UnknownReason,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::delivery::Delivery;
use crate::directory::{Directory, Route};
use crate::effect::{CallerReply, Effect};
use crate::event::{Event, RequestId};
use crate::finished::FinishedCalls;
use crate::links::{LinkStatus, Links};
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
    pub(crate) open: BTreeMap<RequestKey, OpenRequest>,
    pub(crate) finished: FinishedCalls,
    pub(crate) random: ChaCha8Rng,
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
            open: BTreeMap::new(),
            finished: FinishedCalls::default(),
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
            delivery: Delivery::default(),
            listeners: vec![request],
        };
        let key = RequestKey::Call(id);
        let body = Body::Call(Box::new(call));
        self.insert(now, key, run, body, hand_over_by, give_up_at);
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
            failures: 0,
            hand_over_by,
            give_up_at,
        };
        self.open.insert(key, request);
    }

    fn caller_gone(&mut self, request: RequestId) {
        for open in self.open.values_mut() {
            if let Body::Call(call) = &mut open.body {
                call.listeners.retain(|listener| *listener != request);
            }
        }
    }

    fn disconnected(&mut self, now: Timestamp, address: SocketAddr) {
        self.links.disconnected(now, address, &mut self.random);
        self.directory.forget_node(address);
        for request in self.open.values_mut() {
            if request.is_with(address) {
                request.recall(now);
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

    fn connect(&mut self, now: Timestamp, address: SocketAddr) {
        if self.links.status(now, address) == LinkStatus::MayConnect {
            self.links.connecting(address);
            self.effects.push(Effect::Connect { address });
        }
    }

    fn give_up_overdue(&mut self, now: Timestamp) {
        let overdue: Vec<RequestKey> = self
            .open
            .iter()
            .filter(|(_, request)| is_overdue(request, now))
            .map(|(key, _)| *key)
            .collect();
        for key in overdue {
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

    /// Asks about the owner of requests whose node is silent, and sends again what got no answer.
    fn probe_silent(&mut self, now: Timestamp) {
        let mut questions: Vec<(PartitionId, SocketAddr)> = Vec::new();
        for request in self.open.values_mut() {
            let Position::Sent { to, heard } = request.position else {
                continue;
            };
            // Sending again counts as a new silence, so the owner is asked for by then at last.
            let (probe_after, resend_after) = match request.body {
                Body::Call(_) => (PROBE_AFTER, RESUBMIT_CALL_AFTER),
                _ => (RESEND_AFTER, RESEND_AFTER),
            };
            let silence = now.since(heard);
            if silence >= resend_after {
                request.recall(now);
            }
            if silence >= probe_after
                && let Some(partition) = self.directory.partition(request.run)
            {
                questions.push((partition, to));
            }
        }
        for (partition, silent) in questions {
            self.locate(now, partition, Some(silent));
        }
    }

    /// Sends every request that is due and whose node is connected.
    fn send_due(&mut self, now: Timestamp) {
        let due: Vec<RequestKey> = self
            .open
            .iter()
            .filter(|(_, request)| request.is_due(now))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.try_send(now, key);
        }
    }

    fn try_send(&mut self, now: Timestamp, key: RequestKey) {
        let run = self.open[&key].run;
        let owner = match self.directory.route(run) {
            Route::Owner(owner) => owner,
            Route::Unknown(partition) => return self.locate(now, partition, None),
        };
        match self.links.status(now, owner) {
            LinkStatus::Ready => self.send_request(now, key, owner),
            LinkStatus::Connecting => {}
            LinkStatus::MayConnect => self.connect(now, owner),
            LinkStatus::Down => self.relocate(now, run),
        }
    }

    fn send_request(&mut self, now: Timestamp, key: RequestKey, to: SocketAddr) {
        let abandoned_before = match key {
            RequestKey::Call(call) => self.finished.abandoned_before(call),
            RequestKey::Other(_) => 0,
        };
        let Some(request) = self.open.get_mut(&key) else {
            return;
        };
        request.position = Position::Sent { to, heard: now };
        let message = request.message(key, abandoned_before);
        self.send(to, message);
    }

    pub(crate) fn relocate(&mut self, now: Timestamp, run: RunId) {
        if let Some(partition) = self.directory.partition(run) {
            self.directory
                .forget_owner(now, partition, &mut self.random);
        }
    }

    fn locate(&mut self, now: Timestamp, partition: PartitionId, avoided: Option<SocketAddr>) {
        if self.links.ready_count() == 0 || !self.directory.begin_question(now, partition) {
            return;
        }
        if let Some(address) = self.links.next_ready(avoided) {
            self.send(address, SidecarMessage::Locate { partition });
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

fn is_overdue(request: &OpenRequest, now: Timestamp) -> bool {
    if request.surely_not_taken() {
        return now >= request.hand_over_by;
    }
    now >= request.give_up_at + DEADLINE_GRACE
}

fn refusal(reason: RefusalReason) -> Refusal {
    let may_pass = matches!(
        reason,
        RefusalReason::Overloaded | RefusalReason::NoNodeReachable
    );
    Refusal {
        reason,
        retry_after: may_pass.then_some(RETRY_AFTER),
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
