//! Settings of a gateway process.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use elderworks_gateway_core::cold::ColdRules;
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::quota::QuotaRules;
use elderworks_gateway_core::stream_reads::UpdateDeadlines;
use elderworks_types::{NodeId, ZoneId};

/// Settings of a gateway process, as its adapter reads them from the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: String,
    /// Its address.
    pub ip: IpAddr,
    /// Where callers connect; absent if this role takes no callers.
    pub callers: Option<SocketAddr>,
    /// Where readiness is asked.
    pub readiness: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub registry: Option<SocketAddr>,
    /// Where peers connect (TCP) and gossip (UDP).
    pub peers: SocketAddr,
    /// Where counters are shown.
    pub metrics: Option<SocketAddr>,
    /// Partitions of the ledger.
    pub partitions: u32,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Processor capacity in thousandths of a core.
    pub millicores: u32,
    /// Memory in bytes beyond which the process is killed.
    pub memory_bytes: usize,
    /// Time from a worker's word that it is leaving until it must get no new work.
    pub drain_notice: Duration,
    /// Longest validity of an answer of the registry.
    pub longest_ttl: Duration,
    /// Time within which a configuration must be in force everywhere.
    pub apply_within: Duration,
    /// Time within which a key that was taken away must be refused everywhere, also by nodes that
    /// cannot read the log; `None` if that is not asked for.
    pub revoke_within: Option<Duration>,
    /// How far the rate that cold workers bear may be passed.
    pub cold: ColdRules,
    /// How tenants' quotas are measured.
    pub quotas: QuotaRules,
    /// Which mechanisms are in use.
    pub policy: Policy,
}

impl GatewaySettings {
    /// How soon news of the platform's streams must be acted on.
    pub(crate) fn news_deadlines(&self) -> UpdateDeadlines {
        UpdateDeadlines {
            apply: self.apply_within,
            drain: self.drain_notice,
        }
    }
}
