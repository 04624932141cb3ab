//! One partition's ledger on this node: replays, decides, appends, answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use elderworks_gateway_core::directory::Stream;
use elderworks_gateway_core::ledger::{Batch, Evaluation, LedgerState, RETENTION, evaluate};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest};
use elderworks_protocol::{decode, encode};
use elderworks_types::{Offset, PartitionId};
use tokio::sync::{mpsc, oneshot};

use crate::gateway::Gateway;
use crate::ports::{ReadBatch, StoreError};

/// Requests older than this are given up when the log fails.
const PATIENCE: Duration = Duration::from_millis(500);

/// Records that nobody waits for are held back this long to be appended with others.
const HOLD_BACK: Duration = Duration::from_millis(400);

/// Rounds of reading and appending for one set of requests.
const MAX_ROUNDS: u32 = 8;

/// Interval at which old accounts and turns are dropped or written anew.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(10);

/// A request with the way back to whoever made it.
#[derive(Debug)]
pub(super) struct Job {
    request: LedgerRequest,
    reply: oneshot::Sender<LedgerReply>,
    since: Instant,
}

impl Job {
    pub(super) fn new(request: LedgerRequest, reply: oneshot::Sender<LedgerReply>) -> Self {
        Self {
            request,
            reply,
            since: Instant::now(),
        }
    }

    fn answer(self, reply: LedgerReply) {
        // Whoever asked may have given up.
        let _ = self.reply.send(reply);
    }
}

/// Starts to act for a partition.
pub(super) fn spawn(gateway: &Rc<Gateway>, partition: PartitionId) -> mpsc::UnboundedSender<Job> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let owner = Owner {
        gateway: gateway.clone(),
        partition,
        state: LedgerState::default(),
        end: Offset(0),
        is_synced: false,
        jobs: Vec::new(),
    };
    actix_rt::spawn(owner.run(receiver));
    sender
}

struct Owner {
    gateway: Rc<Gateway>,
    partition: PartitionId,
    state: LedgerState,
    /// The offset behind the last record applied.
    end: Offset,
    /// Whether the state was at the log's end when last looked, and nothing is in doubt since.
    is_synced: bool,
    jobs: Vec<Job>,
}

/// What one round has come to.
enum Round {
    /// Answered, or held back until more comes.
    Done,
    /// The state has changed; decide anew.
    Again,
    /// The log fails.
    LogFails,
}

impl Owner {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Job>) {
        let mut upkeep = actix_rt::time::interval(UPKEEP_INTERVAL);
        loop {
            let held_until = self.jobs.iter().map(|job| job.since + HOLD_BACK).min();
            let hold_over = async {
                match held_until {
                    Some(until) => actix_rt::time::sleep_until(until.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                job = receiver.recv() => match job {
                    Some(job) => self.jobs.push(job),
                    None => return,
                },
                () = hold_over => {}
                _ = upkeep.tick() => self.keep_up().await,
            }
            while let Ok(job) = receiver.try_recv() {
                self.jobs.push(job);
            }
            self.work().await;
        }
    }

    async fn work(&mut self) {
        for _ in 0..MAX_ROUNDS {
            if self.jobs.is_empty() {
                return;
            }
            match self.round().await {
                Round::Done => return,
                Round::Again => {}
                Round::LogFails => self.give_up_old_jobs(),
            }
        }
        self.give_up_old_jobs();
    }

    async fn round(&mut self) -> Round {
        if !self.is_synced && self.catch_up().await.is_err() {
            return Round::LogFails;
        }
        let mut batch = Batch::default();
        let evaluations: Vec<Evaluation> = self
            .jobs
            .iter()
            .map(|job| evaluate(&self.state, &mut batch, &job.request))
            .collect();
        let mut records = Vec::new();
        let mut must_append = false;
        let mut must_verify = false;
        for (evaluation, job) in evaluations.iter().zip(&self.jobs) {
            match evaluation {
                Evaluation::Answer(_) => {}
                Evaluation::AnswerIfCurrent(_) => must_verify = true,
                Evaluation::Append {
                    records: wanted,
                    may_wait,
                    ..
                } => {
                    records.extend(wanted.iter().cloned());
                    must_append |= !may_wait || job.since.elapsed() >= HOLD_BACK;
                }
            }
        }
        if must_append {
            return self.append_and_answer(records, evaluations).await;
        }
        if must_verify {
            let before = self.end;
            if self.catch_up().await.is_err() {
                return Round::LogFails;
            }
            if self.end != before {
                return Round::Again;
            }
        }
        self.answer(evaluations, false);
        Round::Done
    }

    async fn append_and_answer(
        &mut self,
        records: Vec<LedgerRecord>,
        evaluations: Vec<Evaluation>,
    ) -> Round {
        match self.append(records).await {
            Ok(()) => {
                self.answer(evaluations, true);
                Round::Done
            }
            Err(StoreError::Conflict { .. }) => {
                self.gateway.metrics.ledger_conflicts.inc();
                self.is_synced = false;
                Round::Again
            }
            Err(StoreError::Unavailable(_)) => Round::LogFails,
            Err(StoreError::Unknown(_) | StoreError::Gone { .. }) => {
                self.is_synced = false;
                Round::LogFails
            }
        }
    }

    async fn append(&mut self, records: Vec<LedgerRecord>) -> Result<(), StoreError> {
        let encoded: Vec<Bytes> = records
            .iter()
            .map(|record| Bytes::from(encode(record)))
            .collect();
        let stream = Stream::Ledger(self.partition);
        let appended = self
            .gateway
            .platform
            .append(stream, Some(self.end), encoded)
            .await;
        if let Err(error) = &appended {
            log::warn!(
                partition = self.partition.0, end = self.end.0,
                error = error.to_string().as_str();
                "append to the ledger failed"
            );
        }
        appended?;
        let now = self.gateway.now();
        for record in records {
            self.state.apply(now, record);
            self.end = self.end.next();
        }
        Ok(())
    }

    /// Answers what was decided; records that were not appended stay held back.
    fn answer(&mut self, evaluations: Vec<Evaluation>, appended: bool) {
        let jobs = std::mem::take(&mut self.jobs);
        for (job, evaluation) in jobs.into_iter().zip(evaluations) {
            match evaluation {
                Evaluation::Answer(reply) | Evaluation::AnswerIfCurrent(reply) => {
                    job.answer(reply);
                }
                Evaluation::Append { reply, .. } if appended => job.answer(reply),
                Evaluation::Append { .. } => self.jobs.push(job),
            }
        }
    }

    /// Applies the records that others have appended.
    async fn catch_up(&mut self) -> Result<(), StoreError> {
        let stream = Stream::Ledger(self.partition);
        loop {
            let read = self
                .gateway
                .platform
                .read(stream, self.end, Duration::ZERO)
                .await;
            match read {
                Ok(batch) => {
                    let log_end = batch.end;
                    self.apply(batch);
                    if self.end >= log_end {
                        self.is_synced = true;
                        return Ok(());
                    }
                }
                Err(StoreError::Gone { first }) => {
                    // What is gone is older than anything that is still kept.
                    self.end = first;
                }
                Err(error) => {
                    log::warn!(
                        partition = self.partition.0, end = self.end.0,
                        error = error.to_string().as_str();
                        "reading the ledger failed"
                    );
                    return Err(error);
                }
            }
        }
    }

    fn apply(&mut self, batch: ReadBatch) {
        let now = self.gateway.now();
        for record in batch.records {
            match decode::<LedgerRecord>(&record.value) {
                Ok(content) => self.state.apply(now, content),
                Err(error) => log::error!(
                    partition = self.partition.0, offset = record.offset.0,
                    error = error.to_string().as_str();
                    "a record of the ledger cannot be read"
                ),
            }
            self.end = record.offset.next();
        }
    }

    fn give_up_old_jobs(&mut self) {
        let jobs = std::mem::take(&mut self.jobs);
        for job in jobs {
            if job.since.elapsed() >= PATIENCE {
                job.answer(LedgerReply::Unavailable);
            } else {
                self.jobs.push(job);
            }
        }
    }

    /// Drops what is no longer kept; the first candidate writes anew what the log would lose.
    async fn keep_up(&mut self) {
        let now = self.gateway.now();
        self.state.expire(now, self.retention());
        let first = self.gateway.peers.candidates(self.partition);
        if first.first() != Some(&self.gateway.settings.node) || !self.is_synced {
            return;
        }
        let rewrites = self.state.rewrites(now);
        if rewrites.is_empty() {
            return;
        }
        if self.append(rewrites).await.is_err() {
            self.is_synced = false;
        }
    }

    fn retention(&self) -> Duration {
        let longest = self.gateway.current_config().and_then(|config| {
            let times = config.routes.iter().map(|route| route.keep_for);
            times.max()
        });
        longest.map_or(RETENTION, |time| RETENTION.max(time + time / 4))
    }
}
