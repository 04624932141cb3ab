//! Records of the use of tenants' quotas in the platform's log, for the case that all nodes restart.

use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::quota::{AgedCount, RecordGroup, UseRecord};
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_protocol::gateway::{QuotaUseRecord, TenantHistory};
use elderworks_protocol::{decode, encode};

use crate::gateway::Gateway;
use crate::ports::StoreError;

/// Interval between two checks for records to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which a starting node checks whether it knows a configuration, so that it can read the
/// records. Until they are read, requests are decided by a guess.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Pause after a failed read. All nodes may start at once while the log refuses calls.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Reads the records that were written before this process started, and records the use of the groups of
/// tenants that this node is responsible for. Does nothing while no tenant has a quota.
pub(crate) async fn keep_quota_records(gateway: Rc<Gateway>) {
    // What was recorded before must not be replaced before it was read.
    read_if_needed(&gateway).await;
    loop {
        if let Some(config) = config_with_quotas(&gateway) {
            for group in RecordGroup::all() {
                write_if_due(&gateway, &config, group).await;
            }
        }
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
}

fn config_with_quotas(gateway: &Gateway) -> Option<Rc<ServingConfig>> {
    let config = gateway.current_config();
    config.filter(|config| config.has_quotas())
}

/// Reads the records if they may show what an earlier process sent, once a configuration with quotas is
/// known. Gives up when that has left the window.
async fn read_if_needed(gateway: &Gateway) {
    while gateway.quotas.borrow().needs_records(gateway.now()) {
        if config_with_quotas(gateway).is_none() {
            actix_rt::time::sleep(CONFIGURATION_CHECK_INTERVAL).await;
        } else if read_records(gateway).await {
            return;
        } else {
            actix_rt::time::sleep(READ_RETRY_PAUSE).await;
        }
    }
}

/// Reads and applies the records. Returns whether that succeeded.
async fn read_records(gateway: &Gateway) -> bool {
    let read = gateway.platform.read_newest(Stream::QuotaUse, None).await;
    note_call(gateway, LogCallPurpose::ReadQuotaUse, read.as_ref().err());
    let Ok(page) = read else {
        return false;
    };
    let now = gateway.now();
    let mut quotas = gateway.quotas.borrow_mut();
    for record in &page.records {
        let group = record.key.as_deref().and_then(group_of_key);
        let value = decode::<QuotaUseRecord>(&record.value);
        let (Some(group), Ok(value)) = (group, value) else {
            log::warn!(key = record.key.as_deref().unwrap_or_default(); "unreadable record of quota use");
            continue;
        };
        let tenants = value.tenants.into_iter().map(decode_tenant).collect();
        quotas.take_record(now, group, &UseRecord { tenants });
    }
    log::info!(groups = page.records.len(); "read recorded quota use");
    true
}

/// Writes the record of a group if this node is responsible for it and the record is due.
async fn write_if_due(gateway: &Gateway, config: &ServingConfig, group: RecordGroup) {
    let is_recorder = {
        let serving = gateway.serving.borrow();
        group.recorder(serving.iter()) == Some(&gateway.settings.node)
    };
    if !is_recorder {
        gateway.quotas.borrow_mut().stop_recording(group);
        return;
    }
    let quota_of = |tenant| config.tenants.find(tenant).and_then(|known| known.quota);
    let now = gateway.now();
    let due = gateway.quotas.borrow_mut().record_due(now, group, quota_of);
    let Some(record) = due else {
        return;
    };
    let value = QuotaUseRecord {
        tenants: record.tenants.into_iter().map(encode_tenant).collect(),
    };
    let key = key_of_group(group);
    let put = gateway
        .platform
        .put(Stream::QuotaUse, &key, encode(&value).into());
    let result = put.await;
    let error = result.as_ref().err();
    note_call(gateway, LogCallPurpose::RecordQuotaUse, error);
    if error.is_some() {
        gateway.quotas.borrow_mut().note_record_failed(group);
    }
}

fn note_call(gateway: &Gateway, purpose: LogCallPurpose, error: Option<&StoreError>) {
    let outcome = if error.is_none() { "ok" } else { "failed" };
    gateway.metrics.note_log_call(purpose, outcome);
}

fn key_of_group(group: RecordGroup) -> String {
    format!("group-{}", group.0)
}

fn group_of_key(key: &str) -> Option<RecordGroup> {
    let number = key.strip_prefix("group-")?;
    number.parse().ok().map(RecordGroup)
}

/// Converts a tenant's counts for a message or record.
pub(crate) fn encode_tenant((tenant, sent): (TenantKey, Vec<AgedCount>)) -> TenantHistory {
    let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    TenantHistory {
        tenant: tenant.0,
        sent: sent
            .into_iter()
            .map(|aged| (millis(aged.age), aged.count))
            .collect(),
    }
}

/// Converts a tenant's counts from a message or record.
pub(crate) fn decode_tenant(history: TenantHistory) -> (TenantKey, Vec<AgedCount>) {
    let sent = history.sent.into_iter().map(|(age_ms, count)| AgedCount {
        age: Duration::from_millis(age_ms.into()),
        count,
    });
    (TenantKey(history.tenant), sent.collect())
}
