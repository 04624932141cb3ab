//! Records of the software versions of workers in the platform's log, for the case that all nodes
//! restart.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::stream_versions::lifetime::MAX_DEADLINE;
use elderworks_gateway_core::stream_versions::records::{
    RecordChange, VersionRecord, VersionRecords, recorder,
};

use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::ports::StoreError;

/// Interval between two checks for records to write. Short compared to the pause after which workers of
/// a new version begin streams.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed call. All nodes may start at once while the log refuses calls.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Value of a record, whose key says all. Records without a value count as removed.
const PRESENT: &[u8] = b"1";

/// Maximum time that a stream to be resumed waits for the records.
const MAX_READ_WAIT: Duration = Duration::from_millis(100);

/// Whether this process has read what was recorded before it started.
#[derive(Debug)]
pub(crate) struct RecordsRead {
    is_reading: Cell<bool>,
    is_read: watch::Sender<bool>,
}

impl Default for RecordsRead {
    fn default() -> Self {
        Self {
            is_reading: Cell::default(),
            is_read: watch::Sender::new(false),
        }
    }
}

/// Records the versions in use while this node is responsible for that. Does nothing while no stream
/// may be resumed.
pub(crate) async fn keep_version_records(gateway: Rc<Gateway>) {
    let mut records = VersionRecords::default();
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let config = config_with_streams(&gateway).filter(|_| is_recorder(&gateway));
        let Some(config) = config else {
            records = VersionRecords::default();
            continue;
        };
        if maintain(&gateway, &config, &mut records).await.is_none() {
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Brings the records up to date; `None` if a call failed.
async fn maintain(
    gateway: &Gateway,
    config: &ServingConfig,
    records: &mut VersionRecords,
) -> Option<()> {
    // Only a process that has run for long enough may remove records, and needs to know them all.
    if !records.is_read() && gateway.uptime() >= gateway.stream_lifetime() {
        records.take_read(read(gateway).await?);
    }
    apply_changes(gateway, config, records).await.ok()
}

/// Reads the records if this process has just started and a stream is to be resumed. Most starts need
/// none: other nodes prove which versions were in use.
pub(crate) async fn read_if_needed(gateway: &Rc<Gateway>) {
    let state = &gateway.versions_read;
    if gateway.uptime() >= gateway.stream_lifetime() || *state.is_read.borrow() {
        return;
    }
    if !state.is_reading.replace(true) {
        let gateway = gateway.clone();
        actix_rt::spawn(async move { read_recorded(&gateway).await });
    }
    let mut reading = state.is_read.subscribe();
    let reading = reading.wait_for(|is_read| *is_read);
    // Without the records, other nodes are asked.
    let _ = actix_rt::time::timeout(MAX_READ_WAIT, reading).await;
}

async fn read_recorded(gateway: &Gateway) {
    let state = &gateway.versions_read;
    if let Some(records) = read(gateway).await {
        let now = gateway.now();
        let mut workers = gateway.workers.borrow_mut();
        workers.versions_mut().take_recorded(now, &records);
        drop(workers);
        state.is_read.send_replace(true);
    }
    state.is_reading.set(false);
}

fn config_with_streams(gateway: &Gateway) -> Option<Rc<ServingConfig>> {
    let config = gateway.current_config();
    config.filter(|config| !config.resumable_services().is_empty())
}

fn is_recorder(gateway: &Gateway) -> bool {
    let serving = gateway.serving.borrow();
    recorder(serving.iter()) == Some(&gateway.settings.node)
}

async fn read(gateway: &Gateway) -> Option<Vec<VersionRecord>> {
    let read = gateway.platform.read_newest(Stream::Versions, None).await;
    note_call(gateway, LogCallPurpose::ReadVersions, read.as_ref().err());
    let page = read.ok()?;
    let present = page
        .records
        .iter()
        .filter(|record| !record.value.is_empty());
    let keys = present.filter_map(|record| record.key.as_deref());
    let records: Vec<VersionRecord> = keys.filter_map(VersionRecord::parse).collect();
    log::info!(records = records.len(); "read recorded software versions");
    Some(records)
}

async fn apply_changes(
    gateway: &Gateway,
    config: &ServingConfig,
    known: &mut VersionRecords,
) -> Result<(), StoreError> {
    let now = gateway.now();
    // Processes that start later may meet callers that have waited for longer.
    let lifetime = gateway.stream_lifetime().max(MAX_DEADLINE);
    let due = {
        let workers = gateway.workers.borrow();
        let services = config.resumable_services().into_iter();
        known.due(services, workers.versions(), now, lifetime)
    };
    for change in due {
        let (record, value) = match change {
            RecordChange::Write(record) => (record, Bytes::from_static(PRESENT)),
            RecordChange::Remove(record) => (record, Bytes::new()),
        };
        let key = record.key();
        let put = gateway.platform.put(Stream::Versions, &key, value).await;
        note_call(gateway, LogCallPurpose::RecordVersions, put.as_ref().err());
        put?;
        known.note_done(change);
        log::info!(key = key.as_str(), change:? = change; "recorded software versions in use");
    }
    Ok(())
}

fn note_call(gateway: &Gateway, purpose: LogCallPurpose, error: Option<&StoreError>) {
    let outcome = if error.is_none() { "ok" } else { "failed" };
    gateway.metrics.note_log_call(purpose, outcome);
}
