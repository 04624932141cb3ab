//! The stream of what the operator publishes: configurations, and zones that are to get no work.

use std::collections::BTreeSet;
use std::rc::Rc;

use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::config_proof::proof_interval;
use elderworks_gateway_core::evacuations::EvacuationOrder;
use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::start::Milestone;
use elderworks_gateway_core::stream_reads::ReadTimeouts;
use elderworks_types::{Offset, Timestamp};

use super::{Follower, PROOF_TIMEOUT, follow, limits, read_more};
use crate::gateway::Gateway;
use crate::ports::{Publication, StreamRecord};

/// Follows the operator's configurations until the process ends.
pub(crate) async fn follow_configuration(gateway: Rc<Gateway>) {
    follow::<ConfigurationFollower>(gateway, None).await;
}

/// Proves now and then, by reads that don't wait for news, that the configuration is the newest: a
/// read that waits proves it only for the time at which it was sent. Nodes that don't read just then
/// ask those that did.
pub(crate) async fn prove_configuration(gateway: Rc<Gateway>) {
    loop {
        let asks_others = gateway.settings.policy.peer_proofs && !gateway.feed.reads_for_others();
        let nodes = match asks_others {
            true => gateway.nodes.borrow().count(),
            false => 1,
        };
        // Exponentially distributed pauses: nodes that start together soon read at any time.
        let share = -(1.0 - rand::random::<f64>()).ln();
        actix_rt::time::sleep(proof_interval(nodes).mul_f64(share)).await;
        let Some(from) = gateway
            .config_stream_end
            .get()
            .filter(|_| gateway.key_lease().is_some() || gateway.feed.reads_for_others())
        else {
            continue;
        };
        let sent = gateway.now();
        let limits = limits(ReadTimeouts::immediate(PROOF_TIMEOUT));
        // Failures are told by the follower of the configuration.
        let read = read_more::<ConfigurationFollower>(&gateway, from, limits).await;
        let outcome = if read.is_ok() { "ok" } else { "failed" };
        gateway
            .metrics
            .note_log_call(LogCallPurpose::Prove, outcome);
        if let Ok(progress) = read
            && progress.is_complete
        {
            ConfigurationFollower::note_current(&gateway, sent, progress.next);
        }
    }
}

struct ConfigurationFollower;

impl Follower for ConfigurationFollower {
    const STREAM: Stream = Stream::Configuration;

    fn note_current(gateway: &Gateway, sent: Timestamp, end: Offset) {
        gateway.config_proof.borrow_mut().note_read(sent);
        gateway.config_stream_end.set(Some(end));
    }

    fn take_all(gateway: &Rc<Gateway>, records: &[StreamRecord], end: Offset) {
        let zones: BTreeSet<String> = records
            .iter()
            .filter_map(|record| evacuated_zone(gateway, record))
            .collect();
        let zones = zones.iter().map(String::as_str).collect();
        let lifted = gateway.evacuations.borrow_mut().lift_unlisted(&zones, end);
        for zone in &lifted {
            log::info!(zone = zone.as_str(), offset = end.0, by = "log"; "zone takes work again");
        }
        if !lifted.is_empty() {
            gateway.apply_evacuations();
        }
        Self::take_more(gateway, records);
    }

    fn take_more(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
        for record in records {
            take_publication(gateway, record);
        }
    }
}

/// The zone that a record asks to empty, if it asks for that.
fn evacuated_zone(gateway: &Gateway, record: &StreamRecord) -> Option<String> {
    match gateway.platform.parse_publication(record) {
        Ok(Publication::Evacuation { zone, is_on: true }) => Some(zone),
        _ => None,
    }
}

/// Takes what the operator has published.
pub(crate) fn take_publication(gateway: &Gateway, record: &StreamRecord) {
    match gateway.platform.parse_publication(record) {
        Ok(Publication::Configuration(config)) => take_configuration(gateway, record, config),
        Ok(Publication::Evacuation { zone, is_on }) => {
            let offset = record.offset;
            take_zone_wish(gateway, &zone, EvacuationOrder { offset, is_on }, "log");
        }
        Ok(Publication::Other) => {}
        Err(error) => {
            log::error!(offset = record.offset.0, error = error.to_string().as_str(); "configuration cannot be read");
            gateway.config_proof.borrow_mut().note_unreadable();
        }
    }
}

/// Takes the operator's wish for a zone, whoever has told it, unless it is older than what is known.
pub(crate) fn take_zone_wish(gateway: &Gateway, zone: &str, wish: EvacuationOrder, by: &str) {
    if !gateway.evacuations.borrow_mut().note(zone, wish) {
        return;
    }
    let news = match wish.is_on {
        true => "zone gets no more work",
        false => "zone takes work again",
    };
    log::info!(zone = zone, offset = wish.offset.0, by = by; "{news}");
    gateway.apply_evacuations();
}

/// Takes a configuration into force, from the log or from another node, unless one of the same or a
/// later version is.
fn take_configuration(gateway: &Gateway, record: &StreamRecord, config: ServingConfig) {
    let version = config.version;
    let routes = config.routes.len();
    let tenants = config.tenants.len();
    if !gateway.config.borrow_mut().offer(config) {
        return;
    }
    if let Some(config) = gateway.current_config() {
        gateway.workers.borrow_mut().set_cold_rates(&config);
    }
    gateway.config_proof.borrow_mut().replace(version);
    *gateway.config_record.borrow_mut() = Some(record.clone());
    log::info!(version = version, routes = routes, tenants = tenants, offset = record.offset.0; "configuration in force");
    gateway.reach_milestone(Milestone::Configuration);
    gateway.peers.wake_owners();
    let version = i64::try_from(version).unwrap_or(i64::MAX);
    gateway.metrics.config_version.set(version);
}
