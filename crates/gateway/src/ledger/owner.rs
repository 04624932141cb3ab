//! Drives one partition's ledger on this node: carries its reads and appends out.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::append_pace::{AppendIntervals, AppendPacer, AppendUrgency};
use elderworks_gateway_core::config::Route;
use elderworks_gateway_core::ledger::{
    Action, OverdraftStatus, PartitionOwner, SLOW_CALL_THRESHOLD, TURN_RETENTION, Ticket,
    WitnessQuery,
};
use elderworks_gateway_core::policy::Policy;
use elderworks_protocol::ledger::{LedgerReply, LedgerRequest, WitnessAnswer, WitnessQuestion};
use elderworks_types::{PartitionId, Timestamp};
use tokio::sync::{mpsc, oneshot};

use super::log_calls::{PartitionReads, append};
use crate::gateway::Gateway;

/// Interval at which old accounts and turns are dropped or written anew.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Most appends in a row of records that are written anew.
const MAX_REWRITES: u32 = 16;

/// A request with the way back to whoever made it.
pub(super) type Job = (LedgerRequest, oneshot::Sender<LedgerReply>);

/// Starts to act for a partition.
pub(super) fn spawn(gateway: &Rc<Gateway>, partition: PartitionId) -> mpsc::UnboundedSender<Job> {
    let (sender, jobs) = mpsc::unbounded_channel();
    let (heard, answers) = mpsc::unbounded_channel();
    let driver = Driver {
        gateway: gateway.clone(),
        partition,
        owner: PartitionOwner::with_policy(owner_name(gateway), gateway.settings.policy),
        waiting: HashMap::new(),
        conflicts_counted: 0,
        reads: Some(PartitionReads::new(gateway, partition)),
        overdraft_use: OverdraftStatus::None,
        heard,
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

/// What a witness has answered, `None` if nothing came.
type Heard = (WitnessQuestion, Option<WitnessAnswer>);

/// What comes to an owner.
struct Inbox {
    jobs: mpsc::UnboundedReceiver<Job>,
    answers: mpsc::UnboundedReceiver<Heard>,
}

/// A name that no other start of a node bears.
fn owner_name(gateway: &Gateway) -> String {
    format!("{}#{:016x}", gateway.settings.node, rand::random::<u64>())
}

/// Who waits for a reply.
struct Waiting {
    reply: oneshot::Sender<LedgerReply>,
    urgency: AppendUrgency,
}

struct Driver {
    gateway: Rc<Gateway>,
    partition: PartitionId,
    owner: PartitionOwner,
    waiting: HashMap<Ticket, Waiting>,
    conflicts_counted: u64,
    /// Taken while a read is under way.
    reads: Option<PartitionReads>,
    /// As last logged.
    overdraft_use: OverdraftStatus,
    /// Where answers of witnesses go.
    heard: mpsc::UnboundedSender<Heard>,
    /// When the next append may begin.
    pace: AppendPacer,
}

impl Driver {
    async fn run(mut self, mut inbox: Inbox) {
        let mut upkeep = actix_rt::time::interval(UPKEEP_INTERVAL);
        let mut peers = self.gateway.peers.changes();
        loop {
            while let Ok(job) = inbox.jobs.try_recv() {
                self.submit(job);
            }
            self.collect(&mut inbox).await;
            self.owner.set_preferred(self.is_preferred());
            self.owner.set_serves_without_log(self.serves_without_log());
            let witnesses = self.gateway.peers.witnesses(&self.gateway, self.partition);
            self.owner.set_witnesses(witnesses);
            let action = self.owner.next_action(self.gateway.now());
            self.hand_on();
            let Action::Wait { until } = action else {
                self.carry_out(action, &mut inbox).await;
                continue;
            };
            tokio::select! {
                job = inbox.jobs.recv() => match job {
                    Some(job) => self.submit(job),
                    None => return,
                },
                Some(heard) = inbox.answers.recv() => self.hear(&heard),
                // The sender lives as long as the gateway.
                _ = peers.changed() => {}
                () = sleep_until(&self.gateway, until) => {}
                _ = upkeep.tick() => self.keep_up(&mut inbox).await,
            }
        }
    }

    /// While calls follow each other, takes what comes for some milliseconds, so that one call
    /// carries it. What needs no call is answered meanwhile.
    async fn collect(&mut self, inbox: &mut Inbox) {
        while let Some(wait) = self.pace.wait(self.gateway.now(), self.urgency()) {
            tokio::select! {
                biased;
                () = actix_rt::time::sleep(wait) => {}
                Some(job) = inbox.jobs.recv() => self.submit(job),
                Some(heard) = inbox.answers.recv() => self.hear(&heard),
            }
            self.hand_on();
        }
    }

    fn urgency(&self) -> AppendUrgency {
        let mut waiting = self.waiting.values();
        match waiting.any(|waiting| waiting.urgency == AppendUrgency::Permit) {
            true => AppendUrgency::Permit,
            false => AppendUrgency::Completions,
        }
    }

    fn submit(&mut self, (request, reply): Job) {
        let ticket = Ticket(self.gateway.next_sequence());
        let urgency = match &request {
            LedgerRequest::Finish(_) => AppendUrgency::Completions,
            _ => AppendUrgency::Permit,
        };
        self.waiting.insert(ticket, Waiting { reply, urgency });
        self.owner.submit(self.gateway.now(), ticket, request);
    }

    fn hear(&mut self, (question, answer): &Heard) {
        self.owner
            .on_witness_answer(self.gateway.now(), question, *answer);
    }

    /// Hands on what the owner has decided: replies, and questions to witnesses.
    fn hand_on(&mut self) {
        self.hand_on_replies();
        for inquiry in self.owner.take_witness_queries() {
            let asking = inquire(self.gateway.clone(), self.partition, inquiry);
            let heard = self.heard.clone();
            actix_rt::spawn(async move {
                // The owner lives as long as the process.
                let _ = heard.send(asking.await);
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

    fn hand_on_replies(&mut self) {
        for (ticket, reply) in self.owner.take_replies() {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // Whoever asked may have given up.
                let _ = waiting.reply.send(reply);
            }
        }
    }

    /// Carries an action out, and takes requests meanwhile.
    async fn carry_out(&mut self, action: Action, inbox: &mut Inbox) {
        match action {
            Action::Read { from } => {
                let mut reads = self.reads.take().expect("one call at a time");
                // Whoever catches up does so without a pause.
                if !reads.is_behind() {
                    self.pace.call_started(self.gateway.now());
                }
                let reading = reads.read(self.owner.last_call(), from);
                let (call, outcome) = self.attend_until(reading, inbox).await;
                self.reads = Some(reads);
                let now = self.gateway.now();
                self.owner.on_answered_read(now, call, outcome);
            }
            Action::Append { at, records } => {
                let gateway = self.gateway.clone();
                self.pace.call_started(gateway.now());
                let appending = append(&gateway, self.partition, at, &records);
                let outcome = self.attend_until(appending, inbox).await;
                self.owner.on_append(self.gateway.now(), outcome);
            }
            Action::Wait { .. } => {}
        }
        let conflicts = self.owner.conflicts();
        let new = conflicts - self.conflicts_counted;
        self.gateway.metrics.ledger_conflicts.inc_by(new);
        self.conflicts_counted = conflicts;
    }

    /// Waits for a call to the log; requests that come meanwhile are taken, and answered if that
    /// needs no call.
    async fn attend_until<T>(&mut self, call: impl Future<Output = T>, inbox: &mut Inbox) -> T {
        let mut call = std::pin::pin!(call);
        let mut slow = std::pin::pin!(actix_rt::time::sleep(SLOW_CALL_THRESHOLD));
        let mut is_slow = false;
        loop {
            tokio::select! {
                biased;
                outcome = &mut call => return outcome,
                Some(job) = inbox.jobs.recv() => self.submit(job),
                Some(heard) = inbox.answers.recv() => self.hear(&heard),
                () = &mut slow, if !is_slow => {
                    is_slow = true;
                    self.owner.note_slow_call(self.gateway.now());
                }
            }
            self.hand_on();
        }
    }

    /// Drops what is no longer kept; the first candidate writes anew what the log would lose.
    async fn keep_up(&mut self, inbox: &mut Inbox) {
        let now = self.gateway.now();
        self.owner.expire(now, self.retention());
        if !self.is_preferred() {
            return;
        }
        for _ in 0..MAX_REWRITES {
            let Some(action) = self.owner.plan_rewrite(now) else {
                return;
            };
            self.carry_out(action, inbox).await;
        }
    }

    /// Whether the other nodes send their requests for the partition here.
    fn is_preferred(&self) -> bool {
        let candidates = self.gateway.peers.candidates(&self.gateway, self.partition);
        candidates.first() == Some(&self.gateway.settings.node)
    }

    /// Whether the configuration has streams whose turns are not kept. Without a configuration nothing
    /// is served.
    fn serves_without_log(&self) -> bool {
        if self.gateway.settings.policy.kept_overdrafts {
            return true;
        }
        let config = self.gateway.current_config();
        config.is_some_and(|config| config.routes.iter().any(Route::is_unrecorded_stream))
    }

    fn retention(&self) -> Duration {
        let longest = self.gateway.current_config().and_then(|config| {
            let times = config.routes.iter().map(|route| route.keep_for);
            times.max()
        });
        longest.map_or(TURN_RETENTION, |time| TURN_RETENTION.max(time + time / 4))
    }
}

/// Puts a question to a witness, which may be this node.
async fn inquire(gateway: Rc<Gateway>, partition: PartitionId, inquiry: WitnessQuery) -> Heard {
    let WitnessQuery { witness, question } = inquiry;
    let request = LedgerRequest::Witness(question.clone());
    let reply = if witness.node == gateway.settings.node {
        super::carry_out(&gateway, partition, request).await
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
