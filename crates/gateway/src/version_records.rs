//! Records of the software versions of workers in the platform's log, for the case that all nodes
//! restart.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::stream_versions::records::{
    RecordChange, VersionRecord, VersionRecords, recorder,
};

use crate::gateway::Gateway;
use crate::ports::StoreError;

/// Interval between two checks for records to write. Short compared to the pause after which workers of
/// a new version begin streams.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a starting node checks whether it knows a configuration.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Pause after a failed call. All nodes may start at once while the log refuses calls.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Value of a record, whose key says all. Records without a value count as removed.
const PRESENT: &[u8] = b"1";

/// Reads the versions that were in use before this process started, and records those in use if this
/// node is responsible for that. Does nothing while no stream may be resumed.
pub(crate) async fn keep_version_records(gateway: Rc<Gateway>) {
    read_at_start(&gateway).await;
    // What is in the log, while this node is responsible for the records.
    let mut records: Option<VersionRecords> = None;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let config = config_with_streams(&gateway).filter(|_| is_recorder(&gateway));
        let Some(config) = config else {
            records = None;
            continue;
        };
        let known = match records.take() {
            Some(known) => Some(known),
            None => read(&gateway).await.map(VersionRecords::new),
        };
        let Some(mut known) = known else {
            actix_rt::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        if apply_changes(&gateway, &config, &mut known).await.is_err() {
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        records = Some(known);
    }
}

fn config_with_streams(gateway: &Gateway) -> Option<Rc<ServingConfig>> {
    let config = gateway.current_config();
    config.filter(|config| !config.resumable_services().is_empty())
}

fn is_recorder(gateway: &Gateway) -> bool {
    let serving = gateway.serving.borrow();
    recorder(serving.iter()) == Some(&gateway.settings.node)
}

/// Reads the records until that succeeds, or what they say would no longer matter.
async fn read_at_start(gateway: &Gateway) {
    while gateway.uptime() < gateway.stream_lifetime() {
        if config_with_streams(gateway).is_none() {
            actix_rt::time::sleep(CONFIGURATION_CHECK_INTERVAL).await;
            continue;
        }
        if let Some(records) = read(gateway).await {
            let now = gateway.now();
            let mut workers = gateway.workers.borrow_mut();
            workers.versions_mut().take_recorded(now, &records);
            drop(workers);
            gateway.versions_read.send_replace(true);
            return;
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
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
    let (now, lifetime) = (gateway.now(), gateway.stream_lifetime());
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
