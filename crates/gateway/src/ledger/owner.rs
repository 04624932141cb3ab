//! The task that drives a [`PartitionOwner`]: executes its reads and appends, asks witnesses and sends
//! its replies.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::append_pace::{AppendIntervals, AppendPacer, AppendUrgency};
use elderworks_gateway_core::config::Route;
use elderworks_gateway_core::ledger::{
    Action, OverdraftStatus, PartitionOwner, SLOW_CALL_THRESHOLD, SentNumber, TURN_RETENTION,
    Ticket, WitnessQuery,
};
use elderworks_gateway_core::policy::Policy;
use elderworks_protocol::ledger::{LedgerReply, LedgerRequest, WitnessAnswer, WitnessRequest};
use elderworks_types::{PartitionId, Timestamp};
use tokio::sync::{mpsc, oneshot};

use super::log_calls::{PartitionReads, append};
use crate::clock::millis;
use crate::gateway::Gateway;

/// Interval at which expired accounts and turns are dropped, and live ones rewritten.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of consecutive appends that rewrite old records.
const MAX_REWRITES: u32 = 16;

/// A request to an owner.
pub(super) struct Job {
    pub(super) request: LedgerRequest,
    /// The number under which another node has sent the request; `None` for this node's own.
    pub(super) sent: Option<SentNumber>,
    pub(super) reply: oneshot::Sender<LedgerReply>,
}

/// Starts the owner of a partition and returns its request queue.
pub(super) fn spawn(gateway: &Rc<Gateway>, partition: PartitionId) -> mpsc::UnboundedSender<Job> {
    let (sender, jobs) = mpsc::unbounded_channel();
    let (responses, answers) = mpsc::unbounded_channel();
    let driver = Driver {
        gateway: gateway.clone(),
        partition,
        owner: PartitionOwner::with_policy(owner_name(gateway), gateway.settings.policy),
        pending: HashMap::new(),
        counted_conflicts: 0,
        reads: Some(PartitionReads::new(gateway, partition)),
        overdraft_use: OverdraftStatus::None,
        responses,
        pace: AppendPacer::new(paces(&gateway.settings.policy)),
    };
    actix_rt::spawn(driver.run(Inbox { jobs, answers }));
    sender
}

fn paces(policy: &Policy) -> AppendIntervals {
    AppendIntervals {
        permits: Duration::from_millis(policy.leave_pace_ms),
        completions: Duration::from_millis(policy.end_pace_ms),
    }
}

/// A question to a witness and its answer, `None` if there was none.
type WitnessResponse = (WitnessRequest, Option<WitnessAnswer>);

/// The inputs of an owner.
struct Inbox {
    jobs: mpsc::UnboundedReceiver<Job>,
    answers: mpsc::UnboundedReceiver<WitnessResponse>,
}

/// Returns a name for an owner that is unique across nodes and restarts.
fn owner_name(gateway: &Gateway) -> String {
    format!("{}#{:016x}", gateway.settings.node, rand::random::<u64>())
}

/// A request that has not been replied to.
struct PendingRequest {
    reply: oneshot::Sender<LedgerReply>,
    urgency: AppendUrgency,
    submitted: Instant,
}

/// The owner of one partition with the I/O that it needs.
struct Driver {
    gateway: Rc<Gateway>,
    partition: PartitionId,
    owner: PartitionOwner,
    pending: HashMap<Ticket, PendingRequest>,
    /// Append conflicts already added to the metric.
    counted_conflicts: u64,
    /// `None` while a read is in flight.
    reads: Option<PartitionReads>,
    /// The use of the overdraft as last logged.
    overdraft_use: OverdraftStatus,
    /// Sends the responses of witnesses to [`Inbox::answers`].
    responses: mpsc::UnboundedSender<WitnessResponse>,
    /// Decides when the next append may start.
    pace: AppendPacer,
}

impl Driver {
    /// Runs the owner until its request queue is closed.
    async fn run(mut self, mut inbox: Inbox) {
        let mut upkeep = actix_rt::time::interval(UPKEEP_INTERVAL);
        let mut peers = self.gateway.peers.changes();
        loop {
            while let Ok(job) = inbox.jobs.try_recv() {
                self.submit(job);
            }
            self.collect_batch(&mut inbox).await;
            self.withdraw_abandoned();
            self.owner.set_preferred(self.is_preferred());
            self.owner.set_serves_without_log(self.serves_without_log());
            let witnesses = self.gateway.peers.witnesses(&self.gateway, self.partition);
            self.owner.set_witnesses(witnesses);
            let action = self.owner.next_action(self.gateway.now());
            let has_settlements = self.owner.has_settlements();
            let ledger = &self.gateway.ledger;
            ledger.note_settlements(self.partition, has_settlements);
            self.dispatch_output();
            let Action::Wait { until } = action else {
                self.execute(action, &mut inbox).await;
                continue;
            };
            tokio::select! {
                job = inbox.jobs.recv() => match job {
                    Some(job) => self.submit(job),
                    None => return,
                },
                Some(response) = inbox.answers.recv() => self.take_response(&response),
                // The sender lives as long as the gateway.
                _ = peers.changed() => {}
                () = sleep_until(&self.gateway, until) => {}
                _ = upkeep.tick() => self.run_upkeep(&mut inbox).await,
            }
        }
    }

    /// Collects requests for some milliseconds if the previous append was recent, so that a single
    /// append can write all of them. Requests that need no append are answered immediately.
    async fn collect_batch(&mut self, inbox: &mut Inbox) {
        while let Some(wait) = self.pace.wait(self.gateway.now(), self.urgency()) {
            tokio::select! {
                biased;
                () = actix_rt::time::sleep(wait) => {}
                Some(job) = inbox.jobs.recv() => self.submit(job),
                Some(response) = inbox.answers.recv() => self.take_response(&response),
            }
            self.dispatch_output();
        }
    }

    /// Returns the highest urgency of the pending requests.
    fn urgency(&self) -> AppendUrgency {
        let mut pending = self.pending.values();
        match pending.any(|request| request.urgency == AppendUrgency::Permit) {
            true => AppendUrgency::Permit,
            false => AppendUrgency::Completions,
        }
    }

    fn submit(&mut self, job: Job) {
        let Job {
            request,
            sent,
            reply,
        } = job;
        let ticket = Ticket(self.gateway.next_sequence());
        let urgency = match &request {
            LedgerRequest::Finish(_) => AppendUrgency::Completions,
            _ => AppendUrgency::Permit,
        };
        let pending = PendingRequest {
            reply,
            urgency,
            submitted: Instant::now(),
        };
        self.pending.insert(ticket, pending);
        let now = self.gateway.now();
        match sent {
            Some(sent) => self.owner.submit_sent(now, ticket, request, sent),
            None => self.owner.submit(now, ticket, request),
        }
    }

    /// Withdraws the requests whose requesters no longer wait: their nodes have given up, or the
    /// connections on which they asked are closed.
    fn withdraw_abandoned(&mut self) {
        let abandoned = self
            .pending
            .extract_if(|_, request| request.reply.is_closed());
        for (ticket, _) in abandoned {
            self.owner.withdraw(ticket);
        }
    }

    fn take_response(&mut self, (question, answer): &WitnessResponse) {
        self.owner
            .on_witness_answer(self.gateway.now(), question, *answer);
    }

    /// Sends the owner's replies and its questions to witnesses.
    fn dispatch_output(&mut self) {
        self.send_replies();
        self.log_refusals();
        for inquiry in self.owner.take_witness_queries() {
            let asking = ask_witness(self.gateway.clone(), self.partition, inquiry);
            let responses = self.responses.clone();
            actix_rt::spawn(async move {
                // The owner lives as long as the process.
                let _ = responses.send(asking.await);
            });
        }
        self.log_overdraft();
    }

    fn log_overdraft(&mut self) {
        let present = self.owner.overdraft_status();
        if present == self.overdraft_use {
            return;
        }
        log::info!(
            partition = self.partition.0, before:? = self.overdraft_use, now:? = present,
            end = self.owner.end().0;
            "use of the overdraft changed"
        );
        if present == OverdraftStatus::Active {
            self.gateway.metrics.overdrafts_activated.inc();
        }
        self.overdraft_use = present;
    }

    /// Logs what holds the budgets of refused turns.
    fn log_refusals(&mut self) {
        for refusal in self.owner.take_refusals() {
            let holds: Vec<String> = refusal.holds.iter().map(ToString::to_string).collect();
            log::info!(
                partition = self.partition.0, program = refusal.program.as_str(),
                turn = refusal.turn.as_str(), budget = refusal.budget, tokens = refusal.tokens,
                settled = refusal.settled, unsettled = refusal.unsettled,
                holds = holds.join("; "), end = self.owner.end().0;
                "the budget does not hold a turn"
            );
        }
    }

    fn send_replies(&mut self) {
        for (ticket, reply) in self.owner.take_replies() {
            if let Some(request) = self.pending.remove(&ticket) {
                // The requester may no longer wait for the reply.
                let _ = request.reply.send(reply);
            }
        }
    }

    /// Executes an action while accepting further requests.
    async fn execute(&mut self, action: Action, inbox: &mut Inbox) {
        match action {
            Action::Read { from } => {
                let mut reads = self.reads.take().expect("one call at a time");
                let catches_up = !self.owner.is_synced();
                self.pace.read_started(self.gateway.now(), catches_up);
                let reading = reads.read(self.owner.last_call(), from);
                let (call, outcome) = self.serve_during(reading, inbox).await;
                self.reads = Some(reads);
                let now = self.gateway.now();
                self.owner.on_answered_read(now, call, outcome);
            }
            Action::Append { at, records } => {
                let gateway = self.gateway.clone();
                self.pace.call_started(gateway.now());
                let appending = append(&gateway, self.partition, at, &records);
                let outcome = self.serve_during(appending, inbox).await;
                self.owner.on_append(self.gateway.now(), outcome);
            }
            Action::Wait { .. } => {}
        }
        self.note_conflicts();
    }

    /// Counts and logs an append that was lost to one of another node.
    fn note_conflicts(&mut self) {
        let conflicts = self.owner.conflicts();
        let new = conflicts - self.counted_conflicts;
        if new == 0 {
            return;
        }
        self.gateway.metrics.ledger_conflicts.inc_by(new);
        self.counted_conflicts = conflicts;
        let waiting = self.owner.waiting();
        log::info!(
            partition = self.partition.0, end = self.owner.end().0,
            is_preferred = self.owner.is_preferred(), starts = waiting.starts,
            ends = waiting.ends, oldest_ms = millis(self.oldest_wait());
            "another node has appended first"
        );
    }

    /// Returns how long the oldest pending request has waited.
    fn oldest_wait(&self) -> Option<Duration> {
        let waits = self.pending.values();
        waits.map(|request| request.submitted.elapsed()).max()
    }

    /// Waits for a call to the log. Requests that arrive during the call are accepted, and answered
    /// if that needs no further call.
    async fn serve_during<T>(&mut self, call: impl Future<Output = T>, inbox: &mut Inbox) -> T {
        let mut call = std::pin::pin!(call);
        let mut slow = std::pin::pin!(actix_rt::time::sleep(SLOW_CALL_THRESHOLD));
        let mut is_slow = false;
        loop {
            tokio::select! {
                biased;
                outcome = &mut call => return outcome,
                Some(job) = inbox.jobs.recv() => self.submit(job),
                Some(response) = inbox.answers.recv() => self.take_response(&response),
                () = &mut slow, if !is_slow => {
                    is_slow = true;
                    self.owner.note_slow_call(self.gateway.now());
                }
            }
            self.dispatch_output();
        }
    }

    /// Drops expired accounts and turns. On the first candidate, also rewrites live records that the
    /// log is about to drop.
    async fn run_upkeep(&mut self, inbox: &mut Inbox) {
        let now = self.gateway.now();
        self.owner.expire(now, self.retention());
        if !self.is_preferred() {
            return;
        }
        for _ in 0..MAX_REWRITES {
            let Some(action) = self.owner.plan_rewrite(now) else {
                return;
            };
            self.execute(action, inbox).await;
        }
    }

    /// Returns whether this node is the partition's first candidate.
    fn is_preferred(&self) -> bool {
        let candidates = self.gateway.peers.candidates(&self.gateway, self.partition);
        candidates.first() == Some(&self.gateway.settings.node)
    }

    /// Returns whether any turn can finish while the log is unavailable: every turn if the policy has
    /// overdrafts for kept turns, otherwise only streams whose turns are not kept.
    fn serves_without_log(&self) -> bool {
        if self.gateway.settings.policy.kept_overdrafts {
            return true;
        }
        let config = self.gateway.current_config();
        config.is_some_and(|config| config.routes.iter().any(Route::is_unrecorded_stream))
    }

    /// Returns how long accounts and turns are retained: longer than any route keeps its turns.
    fn retention(&self) -> Duration {
        let longest = self.gateway.current_config().and_then(|config| {
            let times = config.routes.iter().map(|route| route.keep_for);
            times.max()
        });
        longest.map_or(TURN_RETENTION, |time| TURN_RETENTION.max(time + time / 4))
    }
}

/// Asks a witness, which may be this node.
async fn ask_witness(
    gateway: Rc<Gateway>,
    partition: PartitionId,
    inquiry: WitnessQuery,
) -> WitnessResponse {
    let WitnessQuery { witness, question } = inquiry;
    let request = LedgerRequest::Witness(question.clone());
    let reply = if witness.node == gateway.settings.node {
        super::execute(&gateway, partition, request).await
    } else {
        let asked = gateway
            .peers
            .ask(&gateway, &witness.node, partition, request);
        asked.await.unwrap_or(LedgerReply::Unavailable)
    };
    let answer = match reply {
        LedgerReply::Witness(answer) => Some(answer),
        _ => None,
    };
    log::info!(
        partition = partition.0, overdraft = question.overdraft.as_str(),
        witness = witness.node.as_str(), wish:? = question.wish, answer:? = answer;
        "witness asked"
    );
    (question, answer)
}

async fn sleep_until(gateway: &Gateway, until: Option<Timestamp>) {
    match until {
        Some(until) => actix_rt::time::sleep(until.since(gateway.now())).await,
        None => std::future::pending().await,
    }
}
