//! A partition's calls to the log.
//!
//! A call that takes too long is given up by the owner, but goes on: a log that is slow answers it
//! yet, and how long that takes tells how long to wait for the next one. Meanwhile the owner tries
//! again on another connection, so that a log that was silent is met again soon after its return.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use elderworks_gateway_core::ledger::{AppendOutcome, CallNumber, ReadOutcome};
use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::response_time::ResponseTimer;
use elderworks_protocol::ledger::LedgerRecord;
use elderworks_protocol::{decode, encode};
use elderworks_types::{Offset, PartitionId};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;

use crate::gateway::Gateway;
use crate::ports::{ReadBatch, ReadLimits, StoreError};

/// How long a call may go on after it began; the connection is closed then.
const LONGEST_CALL: Duration = Duration::from_millis(1_500);

/// Most reads of one partition at the same time, those that were given up included.
const MOST_READS: usize = 8;

/// Most bytes of one read. Whoever takes a partition over reads it whole; in pages, what has
/// arrived over a slow link is not read again when the next page takes too long.
const PAGE_BYTES: usize = 128 * 1024;

/// Shortest wait for a page while a partition is read that is not known yet: pages of many partitions
/// share the log's bandwidth and a small machine's link and processor, and one that is read again
/// takes as much of them once more.
const PAGE_PATIENCE: Duration = Duration::from_millis(600);

/// The reads of one partition: the present one, and those that were given up.
pub(super) struct PartitionReads {
    gateway: Rc<Gateway>,
    partition: PartitionId,
    under_way: FuturesUnordered<LocalBoxFuture<'static, EndedRead>>,
    /// Most bytes of the next read.
    page_bytes: Option<usize>,
    /// Whether the next read is expected to bring a whole page.
    is_behind: bool,
}

/// How one read has ended.
struct EndedRead {
    call: CallNumber,
    from: Offset,
    read: Result<ReadBatch, StoreError>,
}

impl PartitionReads {
    /// No read is under way yet.
    pub(super) fn new(gateway: &Rc<Gateway>, partition: PartitionId) -> Self {
        Self {
            gateway: gateway.clone(),
            partition,
            under_way: FuturesUnordered::new(),
            page_bytes: Some(PAGE_BYTES),
            is_behind: true,
        }
    }

    /// Reads from an offset on, and tells by which call that was answered: `call`, or an earlier
    /// one from the same offset on.
    pub(super) async fn read(
        &mut self,
        call: CallNumber,
        from: Offset,
    ) -> (CallNumber, ReadOutcome) {
        if self.under_way.len() < MOST_READS {
            self.begin(call, from);
        }
        let patience = self.patience();
        let answering = actix_rt::time::timeout(patience, self.next_answer(call, from));
        let (answered, read) = answering.await.unwrap_or_else(|_| {
            let reason = "no answer to the read in time".to_owned();
            (call, Err(StoreError::Unknown(reason)))
        });
        self.page_bytes = next_page_bytes(from, &read);
        self.is_behind = is_behind(from, &read, self.is_behind);
        match &read {
            // What the others bring is older, or the same.
            Ok(_) | Err(StoreError::Gone { .. }) => self.under_way.clear(),
            Err(error) => note_failure(&self.gateway, error),
        }
        (answered, read_outcome(self.partition, from, read))
    }

    /// Whether the next read is expected to bring a whole page.
    pub(super) fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// How long an answer is waited for.
    fn patience(&self) -> Duration {
        let usual = self.gateway.log_read_timer.borrow().timeout();
        match self.is_behind {
            true => usual.max(PAGE_PATIENCE),
            false => usual,
        }
    }

    fn begin(&mut self, call: CallNumber, from: Offset) {
        let gateway = self.gateway.clone();
        let stream = Stream::Ledger(self.partition);
        let cause = match self.is_behind {
            true => LogCallPurpose::CatchUp,
            false => LogCallPurpose::Verify,
        };
        let limits = ReadLimits {
            wait: Duration::ZERO,
            timeout: LONGEST_CALL,
            most_bytes: self.page_bytes,
        };
        let reading = async move {
            let started = Instant::now();
            let read = gateway.platform.read(stream, from, limits);
            let read = match cause {
                // A page takes as long as its bytes do.
                LogCallPurpose::CatchUp => read.await,
                _ => gateway.log_outage.observe(&gateway, read).await,
            };
            gateway.metrics.note_log_call(cause, outcome(&read));
            note_response(
                &gateway,
                &gateway.log_read_timer,
                started,
                read.as_ref().err(),
            );
            EndedRead { call, from, read }
        };
        self.under_way.push(Box::pin(reading));
    }

    /// The first good answer to a read from `from` on, or the failure of `call`.
    async fn next_answer(
        &mut self,
        call: CallNumber,
        from: Offset,
    ) -> (CallNumber, Result<ReadBatch, StoreError>) {
        while let Some(ended) = self.under_way.next().await {
            let is_answer = matches!(ended.read, Ok(_) | Err(StoreError::Gone { .. }));
            let is_wanted = ended.call == call || is_answer;
            if ended.from == from && is_wanted {
                return (ended.call, ended.read);
            }
        }
        let reason = "every read under way has failed".to_owned();
        (call, Err(StoreError::Unknown(reason)))
    }
}

/// Appends records if the log ends at `at`.
pub(super) async fn append(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    at: Offset,
    records: &[LedgerRecord],
) -> AppendOutcome {
    let encoded: Vec<Bytes> = records
        .iter()
        .map(|record| Bytes::from(encode(record)))
        .collect();
    let cause = LogCallPurpose::of_append(records);
    let appending = {
        let gateway = gateway.clone();
        async move {
            let started = Instant::now();
            let stream = Stream::Ledger(partition);
            let append = gateway.platform.append(stream, at, encoded, LONGEST_CALL);
            let appended = gateway.log_outage.observe(&gateway, append).await;
            gateway.metrics.note_log_call(cause, outcome(&appended));
            note_response(
                &gateway,
                &gateway.log_timer,
                started,
                appended.as_ref().err(),
            );
            appended
        }
    };
    let patience = gateway.log_timer.borrow().timeout();
    let appending = actix_rt::spawn(appending);
    let error = match actix_rt::time::timeout(patience, appending).await {
        Ok(Ok(Ok(_))) => return AppendOutcome::Done,
        Ok(Ok(Err(error))) => error,
        Ok(Err(ended)) => StoreError::Unknown(ended.to_string()),
        Err(_) => StoreError::Unknown("no answer to the append in time".to_owned()),
    };
    warn("append to the ledger failed", partition, at, &error);
    note_failure(gateway, &error);
    match error {
        StoreError::Conflict { .. } => AppendOutcome::Conflict,
        StoreError::Unavailable(_) => AppendOutcome::Refused,
        StoreError::Unknown(_) | StoreError::Gone { .. } => AppendOutcome::Unknown,
    }
}

/// Whether more is to be read after this.
fn is_behind(from: Offset, read: &Result<ReadBatch, StoreError>, before: bool) -> bool {
    match read {
        Ok(batch) => batch.end.0.saturating_sub(from.0) > batch.records.len() as u64,
        Err(StoreError::Gone { .. }) => true,
        Err(_) => before,
    }
}

/// The size of the next read: a page, unless the last one did not suffice for a single record.
fn next_page_bytes(from: Offset, read: &Result<ReadBatch, StoreError>) -> Option<usize> {
    match read {
        Ok(batch) if batch.records.is_empty() && batch.end > from => None,
        _ => Some(PAGE_BYTES),
    }
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

/// How a call has ended, for the counters.
fn outcome<T>(ended: &Result<T, StoreError>) -> &'static str {
    match ended {
        Ok(_) => "ok",
        Err(StoreError::Conflict { .. } | StoreError::Gone { .. }) => "conflict",
        Err(StoreError::Unavailable(_) | StoreError::Unknown(_)) => "failed",
    }
}

/// Notes an answer, also one that came too late for whoever waited.
fn note_response(
    gateway: &Gateway,
    timer: &RefCell<ResponseTimer>,
    started: Instant,
    error: Option<&StoreError>,
) {
    match error {
        None | Some(StoreError::Conflict { .. } | StoreError::Gone { .. }) => {
            timer.borrow_mut().note_answer(started.elapsed());
            gateway.log_reach.borrow_mut().note_answer();
        }
        // A refusal tells nothing of how long an answer takes.
        Some(StoreError::Unknown(_) | StoreError::Unavailable(_)) => {}
    }
}

fn note_failure(gateway: &Gateway, error: &StoreError) {
    match error {
        StoreError::Conflict { .. } | StoreError::Gone { .. } => {}
        StoreError::Unknown(_) | StoreError::Unavailable(_) => {
            gateway.log_reach.borrow_mut().note_failure();
        }
    }
}

fn warn(what: &str, partition: PartitionId, at: Offset, error: &StoreError) {
    log::warn!(
        partition = partition.0, at = at.0, error = error.to_string().as_str();
        "{what}"
    );
}
