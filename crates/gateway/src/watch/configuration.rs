//! Follows the stream of the operator's publications: configurations and zone evacuations.

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

/// Follows the operator's publications until the process ends.
pub(crate) async fn follow_configuration(gateway: Rc<Gateway>) {
    follow::<ConfigurationFollower>(gateway, None).await;
}

/// Regularly proves that the configuration is the newest one by reads that don't wait for new records; a
/// waiting read proves that only for the time at which it was sent. Between its own reads, a node asks
/// other nodes for younger proofs.
pub(crate) async fn prove_configuration(gateway: Rc<Gateway>) {
    loop {
        let asks_others = gateway.settings.policy.peer_proofs && !gateway.feed.reads_for_others();
        let nodes = match asks_others {
            true => gateway.nodes.borrow().count(),
            false => 1,
        };
        // Exponentially distributed pauses desynchronize nodes that start at the same time.
        let factor = -(1.0 - rand::random::<f64>()).ln();
        actix_rt::time::sleep(proof_interval(nodes).mul_f64(factor)).await;
        let Some(from) = gateway
            .config_stream_end
            .get()
            .filter(|_| gateway.key_lease().is_some() || gateway.feed.reads_for_others())
        else {
            continue;
        };
        let sent = gateway.now();
        let limits = limits(ReadTimeouts::immediate(PROOF_TIMEOUT));
        // Failures are logged by the follower of the configuration.
        let read = read_more::<ConfigurationFollower>(&gateway, from, limits).await;
        let outcome = if read.is_ok() { "ok" } else { "failed" };
        gateway
            .metrics
            .note_log_call(LogCallPurpose::Prove, outcome);
        if let Ok(progress) = read
            && progress.is_complete
        {
            ConfigurationFollower::on_current(&gateway, sent, progress.next);
        }
    }
}

struct ConfigurationFollower;

impl Follower for ConfigurationFollower {
    const STREAM: Stream = Stream::Configuration;

    fn on_current(gateway: &Gateway, sent: Timestamp, end: Offset) {
        gateway.config_proof.borrow_mut().note_read(sent);
        gateway.config_stream_end.set(Some(end));
    }

    fn replace_all(gateway: &Rc<Gateway>, records: &[StreamRecord], end: Offset) {
        let zones: BTreeSet<String> = records
            .iter()
            .filter_map(|record| evacuated_zone(gateway, record))
            .collect();
        let zones = zones.iter().map(String::as_str).collect();
        let lifted = gateway.evacuations.borrow_mut().lift_unlisted(&zones, end);
        for zone in &lifted {
            log::info!(zone = zone.as_str(), offset = end.0, by = "log"; "zone evacuation lifted");
        }
        if !lifted.is_empty() {
            gateway.apply_evacuations();
        }
        Self::apply(gateway, records);
    }

    fn apply(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
        for record in records {
            apply_publication(gateway, record);
        }
    }
}

/// Returns the zone that a record evacuates, if any.
fn evacuated_zone(gateway: &Gateway, record: &StreamRecord) -> Option<String> {
    match gateway.platform.parse_publication(record) {
        Ok(Publication::Evacuation { zone, is_on: true }) => Some(zone),
        _ => None,
    }
}

/// Applies a publication of the operator.
pub(crate) fn apply_publication(gateway: &Gateway, record: &StreamRecord) {
    match gateway.platform.parse_publication(record) {
        Ok(Publication::Configuration(config)) => apply_configuration(gateway, record, config),
        Ok(Publication::Evacuation { zone, is_on }) => {
            let offset = record.offset;
            apply_evacuation_order(gateway, &zone, EvacuationOrder { offset, is_on }, "log");
        }
        Ok(Publication::Other) => {}
        Err(error) => {
            log::error!(offset = record.offset.0, error = error.to_string().as_str(); "cannot decode a configuration");
            gateway.config_proof.borrow_mut().note_unreadable();
        }
    }
}

/// Applies an evacuation request, from the log or from another node, unless a newer one for the zone is
/// known. `by` names the origin in the log.
pub(crate) fn apply_evacuation_order(
    gateway: &Gateway,
    zone: &str,
    order: EvacuationOrder,
    by: &str,
) {
    if !gateway.evacuations.borrow_mut().note(zone, order) {
        return;
    }
    let message = match order.is_on {
        true => "zone evacuated: it receives no new requests",
        false => "zone evacuation lifted",
    };
    log::info!(zone = zone, offset = order.offset.0, by = by; "{message}");
    gateway.apply_evacuations();
}

/// Activates a configuration from the log or from another node, unless the active one is at least as
/// new.
fn apply_configuration(gateway: &Gateway, record: &StreamRecord, config: ServingConfig) {
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
