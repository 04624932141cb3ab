//! Reads and appends of one partition's ledger stream.
//!
//! The owner stops waiting for a call after a timeout, but the call itself keeps running up to
//! [`MAX_CALL_TIME`]: the response time of a late answer still feeds the adaptive timeouts. In the
//! meantime the owner retries on another connection, so it notices soon when the log answers again.

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

/// Maximum duration of a call, after which its connection is closed.
const MAX_CALL_TIME: Duration = Duration::from_millis(1_500);

/// Maximum number of concurrent reads of one partition, including those no longer waited for.
const MAX_CONCURRENT_READS: usize = 8;

/// Maximum size of one read. A new owner reads the whole partition; with pages, a timeout on a slow
/// link repeats only the current page.
const PAGE_BYTES: usize = 128 * 1024;

/// Minimum timeout for a page during catch-up. Many partitions catch up at the same time and share
/// the bandwidth of the log and of this machine; a premature retry would add to that load.
const MIN_PAGE_TIMEOUT: Duration = Duration::from_millis(600);

/// The reads of one partition: the current one, and earlier ones that timed out but still run.
pub(super) struct PartitionReads {
    gateway: Rc<Gateway>,
    partition: PartitionId,
    in_flight: FuturesUnordered<LocalBoxFuture<'static, CompletedRead>>,
    /// Maximum size of the next read in bytes; `None` for the platform's own limit.
    page_bytes: Option<usize>,
    /// Whether the next read is expected to return a full page.
    is_behind: bool,
}

/// The result of one read.
struct CompletedRead {
    call: CallNumber,
    from: Offset,
    read: Result<ReadBatch, StoreError>,
}

impl PartitionReads {
    /// Creates the state of a partition without any read in flight.
    pub(super) fn new(gateway: &Rc<Gateway>, partition: PartitionId) -> Self {
        Self {
            gateway: gateway.clone(),
            partition,
            in_flight: FuturesUnordered::new(),
            page_bytes: Some(PAGE_BYTES),
            is_behind: true,
        }
    }

    /// Reads from an offset. Returns the outcome with the number of the call that was answered:
    /// `call`, or an earlier call from the same offset.
    pub(super) async fn read(
        &mut self,
        call: CallNumber,
        from: Offset,
    ) -> (CallNumber, ReadOutcome) {
        if self.in_flight.len() < MAX_CONCURRENT_READS {
            self.start_read(call, from);
        }
        let timeout = self.read_timeout();
        let result = actix_rt::time::timeout(timeout, self.next_result(call, from));
        let (answered, read) = result.await.unwrap_or_else(|_| {
            let reason = "the read timed out".to_owned();
            (call, Err(StoreError::Unknown(reason)))
        });
        self.page_bytes = next_page_bytes(from, &read);
        self.is_behind = is_behind(from, &read, self.is_behind);
        match &read {
            // The other reads would return the same records or fewer.
            Ok(_) | Err(StoreError::Gone { .. }) => self.in_flight.clear(),
            Err(error) => record_failure(&self.gateway, error),
        }
        (answered, read_outcome(self.partition, from, read))
    }

    /// Returns how long to wait for the answer to a read.
    fn read_timeout(&self) -> Duration {
        let usual = self.gateway.log_read_timer.borrow().timeout();
        match self.is_behind {
            true => usual.max(MIN_PAGE_TIMEOUT),
            false => usual,
        }
    }

    /// Starts a read and adds it to the reads in flight.
    fn start_read(&mut self, call: CallNumber, from: Offset) {
        let gateway = self.gateway.clone();
        let stream = Stream::Ledger(self.partition);
        let cause = match self.is_behind {
            true => LogCallPurpose::CatchUp,
            false => LogCallPurpose::Verify,
        };
        let limits = ReadLimits {
            wait: Duration::ZERO,
            timeout: MAX_CALL_TIME,
            most_bytes: self.page_bytes,
        };
        let reading = async move {
            let started = Instant::now();
            let read = gateway.platform.read(stream, from, limits);
            let read = match cause {
                // The duration of a page depends on its size and says nothing about an outage.
                LogCallPurpose::CatchUp => read.await,
                _ => gateway.log_outage.observe(&gateway, read).await,
            };
            gateway.metrics.note_log_call(cause, outcome_label(&read));
            record_response(
                &gateway,
                &gateway.log_read_timer,
                started,
                read.as_ref().err(),
            );
            CompletedRead { call, from, read }
        };
        self.in_flight.push(Box::pin(reading));
    }

    /// Returns the first successful result of a read from `from`, or the failure of `call`.
    async fn next_result(
        &mut self,
        call: CallNumber,
        from: Offset,
    ) -> (CallNumber, Result<ReadBatch, StoreError>) {
        while let Some(completed) = self.in_flight.next().await {
            let is_answer = matches!(completed.read, Ok(_) | Err(StoreError::Gone { .. }));
            let is_relevant = completed.call == call || is_answer;
            if completed.from == from && is_relevant {
                return (completed.call, completed.read);
            }
        }
        let reason = "every read in flight failed".to_owned();
        (call, Err(StoreError::Unknown(reason)))
    }
}

/// Appends records to a partition's ledger stream if the stream ends at `at`.
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
            let append = gateway.platform.append(stream, at, encoded, MAX_CALL_TIME);
            let appended = gateway.log_outage.observe(&gateway, append).await;
            gateway
                .metrics
                .note_log_call(cause, outcome_label(&appended));
            record_response(
                &gateway,
                &gateway.log_timer,
                started,
                appended.as_ref().err(),
            );
            appended
        }
    };
    let timeout = gateway.log_timer.borrow().timeout();
    let appending = actix_rt::spawn(appending);
    let error = match actix_rt::time::timeout(timeout, appending).await {
        Ok(Ok(Ok(_))) => return AppendOutcome::Done,
        Ok(Ok(Err(error))) => error,
        Ok(Err(error)) => StoreError::Unknown(error.to_string()),
        Err(_) => StoreError::Unknown("the append timed out".to_owned()),
    };
    log_failure("append to the ledger failed", partition, at, &error);
    record_failure(gateway, &error);
    match error {
        StoreError::Conflict { .. } => AppendOutcome::Conflict,
        StoreError::Unavailable(_) => AppendOutcome::Refused,
        StoreError::Unknown(_) | StoreError::Gone { .. } => AppendOutcome::Unknown,
    }
}

/// Returns whether records remain to be read after this read; a failed read changes nothing.
fn is_behind(from: Offset, read: &Result<ReadBatch, StoreError>, before: bool) -> bool {
    match read {
        Ok(batch) => batch.end.0.saturating_sub(from.0) > batch.records.len() as u64,
        Err(StoreError::Gone { .. }) => true,
        Err(_) => before,
    }
}

/// Returns the size limit of the next read: a page, or no limit if the next record exceeds a page.
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
            log_failure("reading the ledger failed", partition, from, &error);
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
                    "cannot decode a ledger record"
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

/// Returns the outcome of a call as a metric label.
fn outcome_label<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Conflict { .. } | StoreError::Gone { .. }) => "conflict",
        Err(StoreError::Unavailable(_) | StoreError::Unknown(_)) => "failed",
    }
}

/// Records the response time of an answered call, even if the caller no longer waits for it.
fn record_response(
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
        // Refusals and timeouts are no measure of the response time.
        Some(StoreError::Unknown(_) | StoreError::Unavailable(_)) => {}
    }
}

/// Records a failed call, which counts against the reachability of the log.
fn record_failure(gateway: &Gateway, error: &StoreError) {
    match error {
        StoreError::Conflict { .. } | StoreError::Gone { .. } => {}
        StoreError::Unknown(_) | StoreError::Unavailable(_) => {
            gateway.log_reach.borrow_mut().note_failure();
        }
    }
}

fn log_failure(message: &str, partition: PartitionId, at: Offset, error: &StoreError) {
    log::warn!(
        partition = partition.0, at = at.0, error = error.to_string().as_str();
        "{message}"
    );
}
