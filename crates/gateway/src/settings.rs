//! Settings of a gateway process.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use elderworks_gateway_core::cold_workers::ColdRules;
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::quota::QuotaRules;
use elderworks_gateway_core::stream_reads::UpdateDeadlines;
use elderworks_types::{NodeId, ZoneId};

/// Settings of a gateway process, which the adapter reads from the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this node.
    pub node: NodeId,
    /// Zone of this node.
    pub zone: ZoneId,
    /// Region of this node.
    pub region: String,
    /// IP address of this node.
    pub ip: IpAddr,
    /// Listening address for callers; `None` if this role serves no callers.
    pub callers: Option<SocketAddr>,
    /// Listening address for readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Listening address for callers that look up node addresses.
    pub registry: Option<SocketAddr>,
    /// Address for peer connections (TCP) and gossip (UDP).
    pub peers: SocketAddr,
    /// Listening address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Number of partitions of the ledger.
    pub partitions: u32,
    /// Time between the termination signal and the kill signal.
    pub grace: Duration,
    /// Whether no node of the system has run before.
    pub is_first_start: bool,
    /// Processor capacity in thousandths of a core.
    pub millicores: u32,
    /// Memory limit of the process in bytes.
    pub memory_bytes: usize,
    /// Time between a worker's announcement that it is leaving and the moment when it must get no
    /// new requests.
    pub drain_notice: Duration,
    /// Maximum validity of a list of node addresses.
    pub longest_ttl: Duration,
    /// Time within which a configuration must be applied at every node.
    pub apply_within: Duration,
    /// Time within which a revoked key must be refused at every node, including nodes that can't
    /// read the log; `None` if there is no such requirement.
    pub revoke_within: Option<Duration>,
    /// How far the request rate of cold workers may be exceeded.
    pub cold: ColdRules,
    /// How tenants' quotas are measured.
    pub quotas: QuotaRules,
    /// Which mechanisms are enabled.
    pub policy: Policy,
}

impl GatewaySettings {
    /// Returns how soon new records of the platform's streams must be applied.
    pub(crate) fn news_deadlines(&self) -> UpdateDeadlines {
        UpdateDeadlines {
            apply: self.apply_within,
            drain: self.drain_notice,
        }
    }
}
