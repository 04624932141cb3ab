//! Drives one partition's ledger on this node: carries its reads and appends out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use elderworks_gateway_core::directory::Stream;
use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, Inquiry, OverdraftUse, PartitionOwner, RETENTION, ReadOutcome,
    SLOW_CALL, Ticket,
};
use elderworks_gateway_core::response_time::ResponseTimer;
use elderworks_protocol::ledger::{
    LedgerRecord, LedgerReply, LedgerRequest, WitnessAnswer, WitnessQuestion,
};
use elderworks_protocol::{decode, encode};
use elderworks_types::{Offset, PartitionId, Timestamp};
use tokio::sync::{mpsc, oneshot};

use crate::gateway::Gateway;
use crate::ports::{ReadBatch, ReadLimits, StoreError};

/// Interval at which old accounts and turns are dropped or written anew.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Most appends in a row of records that are written anew.
const MAX_REWRITES: u32 = 16;

/// Most bytes of one read. Whoever takes a partition over reads it whole; in pages, what has
/// arrived over a slow link is not read again when the next page takes too long.
const PAGE_BYTES: usize = 128 * 1024;

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
        page_bytes: Some(PAGE_BYTES),
        overdraft_use: OverdraftUse::None,
        heard,
    };
    actix_rt::spawn(driver.run(Inbox { jobs, answers }));
    sender
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

struct Driver {
    gateway: Rc<Gateway>,
    partition: PartitionId,
    owner: PartitionOwner,
    waiting: HashMap<Ticket, oneshot::Sender<LedgerReply>>,
    conflicts_counted: u64,
    /// Most bytes of the next read.
    page_bytes: Option<usize>,
    /// As last logged.
    overdraft_use: OverdraftUse,
    /// Where answers of witnesses go.
    heard: mpsc::UnboundedSender<Heard>,
}

impl Driver {
    async fn run(mut self, mut inbox: Inbox) {
        let mut upkeep = actix_rt::time::interval(UPKEEP_INTERVAL);
        let mut peers = self.gateway.peers.changes();
        loop {
            while let Ok(job) = inbox.jobs.try_recv() {
                self.submit(job);
            }
            self.owner.set_preferred(self.is_preferred());
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

    fn submit(&mut self, (request, reply): Job) {
        let ticket = Ticket(self.gateway.next_sequence());
        self.waiting.insert(ticket, reply);
        self.owner.submit(self.gateway.now(), ticket, request);
    }

    fn hear(&mut self, (question, answer): &Heard) {
        self.owner.on_inquiry(self.gateway.now(), question, *answer);
    }

    /// Hands on what the owner has decided: replies, and questions to witnesses.
    fn hand_on(&mut self) {
        self.hand_on_replies();
        for inquiry in self.owner.take_inquiries() {
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
        let present = self.owner.overdraft_use();
        if present == self.overdraft_use {
            return;
        }
        log::info!(
            partition = self.partition.0, before:? = self.overdraft_use, now:? = present,
            end = self.owner.end().0;
            "use of the overdraft changed"
        );
        if present == OverdraftUse::Active {
            self.gateway.metrics.overdrafts_activated.inc();
        }
        self.overdraft_use = present;
    }

    fn hand_on_replies(&mut self) {
        for (ticket, reply) in self.owner.take_replies() {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // Whoever asked may have given up.
                let _ = waiting.send(reply);
            }
        }
    }

    /// Carries an action out, and takes requests meanwhile.
    async fn carry_out(&mut self, action: Action, inbox: &mut Inbox) {
        match action {
            Action::Read { from } => {
                let call = read(self.gateway.clone(), self.partition, from, self.page_bytes);
                let read = self.attend_until(call, inbox).await;
                self.page_bytes = next_page_bytes(from, &read);
                let outcome = read_outcome(self.partition, from, read);
                self.owner.on_read(self.gateway.now(), outcome);
            }
            Action::Append { at, records } => {
                let call = append(self.gateway.clone(), self.partition, at, records);
                let outcome = self.attend_until(call, inbox).await;
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
        let mut slow = std::pin::pin!(actix_rt::time::sleep(SLOW_CALL));
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

    fn retention(&self) -> Duration {
        let longest = self.gateway.current_config().and_then(|config| {
            let times = config.routes.iter().map(|route| route.keep_for);
            times.max()
        });
        longest.map_or(RETENTION, |time| RETENTION.max(time + time / 4))
    }
}

/// Puts a question to a witness, which may be this node.
async fn inquire(gateway: Rc<Gateway>, partition: PartitionId, inquiry: Inquiry) -> Heard {
    let Inquiry { witness, question } = inquiry;
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

/// The size of the next read: a page, unless the last one did not suffice for a single record.
fn next_page_bytes(from: Offset, read: &Result<ReadBatch, StoreError>) -> Option<usize> {
    match read {
        Ok(batch) if batch.records.is_empty() && batch.end > from => None,
        _ => Some(PAGE_BYTES),
    }
}

async fn sleep_until(gateway: &Gateway, until: Option<Timestamp>) {
    match until {
        Some(until) => actix_rt::time::sleep(until.since(gateway.now())).await,
        None => std::future::pending().await,
    }
}

async fn read(
    gateway: Rc<Gateway>,
    partition: PartitionId,
    from: Offset,
    most_bytes: Option<usize>,
) -> Result<ReadBatch, StoreError> {
    let started = Instant::now();
    let limits = ReadLimits {
        wait: Duration::ZERO,
        timeout: gateway.log_read_timer.borrow().timeout(),
        most_bytes,
    };
    let stream = Stream::Ledger(partition);
    let read = gateway.platform.read(stream, from, limits).await;
    note_response(&gateway.log_read_timer, started, read.as_ref().err());
    read
}

fn read_outcome(
    partition: PartitionId,
    from: Offset,
    read: Result<ReadBatch, StoreError>,
) -> ReadOutcome {
    match read {
        Ok(batch) => decode_records(partition, batch),
        Err(StoreError::Gone { first }) => ReadOutcome::Gone { first },
        Err(error) => {
            warn("reading the ledger failed", partition, from, &error);
            ReadOutcome::Failed
        }
    }
}

fn decode_records(partition: PartitionId, batch: ReadBatch) -> ReadOutcome {
    let mut records = Vec::with_capacity(batch.records.len());
    for record in batch.records {
        match decode::<LedgerRecord>(&record.value) {
            Ok(content) => records.push(Some(content)),
            Err(error) => {
                log::error!(
                    partition = partition.0, offset = record.offset.0,
                    error = error.to_string().as_str();
                    "a record of the ledger cannot be read"
                );
                records.push(None);
            }
        }
    }
    ReadOutcome::Records {
        records,
        end: batch.end,
    }
}

async fn append(
    gateway: Rc<Gateway>,
    partition: PartitionId,
    at: Offset,
    records: Vec<LedgerRecord>,
) -> AppendOutcome {
    let encoded: Vec<Bytes> = records
        .iter()
        .map(|record| Bytes::from(encode(record)))
        .collect();
    let started = Instant::now();
    let timeout = gateway.log_timer.borrow().timeout();
    let stream = Stream::Ledger(partition);
    let appended = gateway.platform.append(stream, at, encoded, timeout).await;
    note_response(&gateway.log_timer, started, appended.as_ref().err());
    let Err(error) = appended else {
        return AppendOutcome::Done;
    };
    warn("append to the ledger failed", partition, at, &error);
    match error {
        StoreError::Conflict { .. } => AppendOutcome::Conflict,
        StoreError::Unavailable(_) => AppendOutcome::Refused,
        StoreError::Unknown(_) | StoreError::Gone { .. } => AppendOutcome::Unknown,
    }
}

fn note_response(timer: &RefCell<ResponseTimer>, started: Instant, error: Option<&StoreError>) {
    let mut timer = timer.borrow_mut();
    match error {
        None | Some(StoreError::Conflict { .. } | StoreError::Gone { .. }) => {
            timer.note_answer(started.elapsed());
        }
        Some(StoreError::Unknown(_)) => timer.note_timeout(),
        // A refusal tells nothing of how long an answer takes.
        Some(StoreError::Unavailable(_)) => {}
    }
}

fn warn(what: &str, partition: PartitionId, at: Offset, error: &StoreError) {
    log::warn!(
        partition = partition.0, at = at.0, error = error.to_string().as_str();
        "{what}"
    );
}
