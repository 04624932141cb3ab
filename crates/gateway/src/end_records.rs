//! Records of requests under which workers ended in the platform's log, for the case that all nodes
//! restart.
//!
//! Each node has one record with what it noted itself. It is written when a worker has ended under a
//! request, and read only by a process that finds no other which has known all reports for long enough.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_protocol::gateway::EndRecord;
use elderworks_protocol::{decode, encode};
use elderworks_types::Offset;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::peers;
use crate::ports::{ReadLimits, StoreError, StreamRecord};

/// Maximum time that a request waits until the log has what it met.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(150);

/// Pause between two writes, so that the ends of a moment share one.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of reads of the stream or pages of its newest records.
const MAX_READS: u32 = 16;

/// The newest record of each node, by the node's name.
type NodeRecords = BTreeMap<String, Bytes>;

/// This node's record.
#[derive(Debug)]
pub(crate) struct EndRecords {
    /// Number of changes so far.
    changes: Cell<u64>,
    /// Number of changes that the log has.
    recorded: watch::Sender<u64>,
    is_writing: Cell<bool>,
    /// Whether this process has read what was recorded before.
    is_read: Cell<bool>,
    /// Whether the log has a record of this node that isn't empty.
    is_present: Cell<bool>,
}

impl Default for EndRecords {
    fn default() -> Self {
        Self {
            changes: Cell::default(),
            recorded: watch::Sender::new(0),
            is_writing: Cell::default(),
            is_read: Cell::default(),
            is_present: Cell::default(),
        }
    }
}

/// Records what has changed, without waiting for that.
pub(crate) fn record_soon(gateway: &Rc<Gateway>) {
    let state = &gateway.end_records;
    state.changes.set(state.changes.get() + 1);
    if state.is_writing.replace(true) {
        return;
    }
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        write_changes(&gateway).await;
        gateway.end_records.is_writing.set(false);
    });
}

/// Waits a limited time until the log has all changes so far.
pub(crate) async fn wait_until_recorded(gateway: &Gateway) {
    let state = &gateway.end_records;
    let wanted = state.changes.get();
    let mut recorded = state.recorded.subscribe();
    let waiting = recorded.wait_for(|recorded| *recorded >= wanted);
    if actix_rt::time::timeout(MAX_RECORD_WAIT, waiting)
        .await
        .is_err()
    {
        log::warn!(changes = wanted, recorded = *state.recorded.borrow(); "ends of workers are not recorded in time");
    }
}

/// Removes this node's record once its callers don't come back any more.
pub(crate) fn upkeep(gateway: &Rc<Gateway>) {
    let state = &gateway.end_records;
    let is_outdated = state.is_present.get() && own_record(gateway).ended.is_empty();
    if is_outdated && !state.is_writing.get() {
        record_soon(gateway);
    }
}

/// Reads what was recorded before all nodes were lost. Returns whether that succeeded.
pub(crate) async fn read_recorded(gateway: &Gateway) -> bool {
    let read = read_all(gateway).await;
    let (purpose, error) = (LogCallPurpose::ReadEnds, read.as_ref().err());
    note_call(gateway, purpose, error);
    let records = match read {
        Ok(records) => records,
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "cannot read under which requests workers ended");
            return false;
        }
    };
    let own = gateway.settings.node.as_str();
    let mut requests = 0;
    for (node, value) in &records {
        let Ok(record) = decode::<EndRecord>(value) else {
            log::warn!(node = node.as_str(); "skipped an unreadable record of ended workers");
            continue;
        };
        requests += record.ended.len();
        peers::take_recorded(gateway, &record, node == own);
        if node == own {
            gateway.end_records.is_present.set(true);
        }
    }
    gateway.end_records.is_read.set(true);
    log::info!(nodes = records.len(), requests = requests; "read under which requests workers ended");
    true
}

async fn write_changes(gateway: &Rc<Gateway>) {
    let state = &gateway.end_records;
    while *state.recorded.borrow() < state.changes.get() {
        // The record of the process before this one must not be lost.
        if !state.is_read.get() && !read_recorded(gateway).await {
            actix_rt::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let changes = state.changes.get();
        let record = own_record(gateway);
        let value = match record.ended.is_empty() {
            true => Bytes::new(),
            false => encode(&record).into(),
        };
        let key = gateway.settings.node.as_str();
        let put = gateway
            .platform
            .put(Stream::RequestEnds, key, value.clone())
            .await;
        note_call(gateway, LogCallPurpose::RecordEnds, put.as_ref().err());
        let pause = match put {
            Ok(_) => {
                state.is_present.set(!value.is_empty());
                state.recorded.send_replace(changes);
                WRITE_INTERVAL
            }
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "cannot record under which requests workers ended");
                RETRY_PAUSE
            }
        };
        actix_rt::time::sleep(pause).await;
    }
}

fn own_record(gateway: &Gateway) -> EndRecord {
    let table = gateway.requests.ends.borrow();
    peers::record_of(&table.to_record(gateway.now()))
}

async fn read_all(gateway: &Gateway) -> Result<NodeRecords, StoreError> {
    match read_stream(gateway).await {
        Err(StoreError::Gone { .. }) => read_newest(gateway).await,
        read => read,
    }
}

/// Reads the stream from its start, which is short unless workers ended lately.
async fn read_stream(gateway: &Gateway) -> Result<NodeRecords, StoreError> {
    let limits = ReadLimits {
        wait: Duration::ZERO,
        timeout: READ_TIMEOUT,
        most_bytes: None,
    };
    let mut newest = NodeRecords::new();
    let mut from = Offset(0);
    for _ in 0..MAX_READS {
        let batch = gateway
            .platform
            .read(Stream::RequestEnds, from, limits)
            .await?;
        let Some(last) = batch.records.last().map(|record| record.offset) else {
            if from < batch.end {
                let reason = "the read returned none of the records that remain";
                return Err(StoreError::Unknown(reason.to_owned()));
            }
            break;
        };
        add(&mut newest, batch.records);
        from = last.next();
        if from >= batch.end {
            break;
        }
    }
    Ok(newest)
}

async fn read_newest(gateway: &Gateway) -> Result<NodeRecords, StoreError> {
    let mut newest = NodeRecords::new();
    let mut after = None;
    for _ in 0..MAX_READS {
        let page = gateway
            .platform
            .read_newest(Stream::RequestEnds, after.as_deref())
            .await?;
        add(&mut newest, page.records);
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    Ok(newest)
}

fn add(newest: &mut NodeRecords, records: Vec<StreamRecord>) {
    for record in records {
        let Some(key) = record.key else {
            continue;
        };
        match record.value.is_empty() {
            true => newest.remove(&key),
            false => newest.insert(key, record.value),
        };
    }
}

fn note_call(gateway: &Gateway, purpose: LogCallPurpose, error: Option<&StoreError>) {
    let outcome = if error.is_none() { "ok" } else { "failed" };
    gateway.metrics.note_log_call(purpose, outcome);
}
