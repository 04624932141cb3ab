//! Settings of `elderworks node`.

use std::net::SocketAddr;

use elderworks_types::{NodeId, ZoneId};
use serde::Deserialize;

use crate::check::{check_not_empty, check_positive, check_url};
use crate::error::InvalidValue;
use crate::file::{ProcessSettings, SettingsFile};
use crate::logging::LoggingSettings;
use crate::sidecar::BearerToken;

/// Default number of partitions.
pub const DEFAULT_PARTITION_COUNT: u32 = 64;

/// Maximum number of partitions.
pub const MAX_PARTITION_COUNT: u32 = 65_536;

/// The `[node]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeProcessSettings {
    /// Name of the node, unique in the system and the same as in the platform's machine list.
    pub name: NodeId,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Cell of the node within its zone, if the zone has several.
    #[serde(default)]
    pub cell: Option<String>,
    /// TCP address of the listener for sidecars and other nodes.
    pub listen: SocketAddr,
    /// UDP address for gossip.
    pub gossip: SocketAddr,
    /// HTTP address of the admin interface, metrics and health checks.
    pub admin: SocketAddr,
    /// Gossip addresses of nodes to contact at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Base URL of the platform's log service.
    pub log_url: String,
    /// Base URL of the platform's machine list. Without it, nodes are discovered by gossip only.
    #[serde(default)]
    pub machines_url: Option<String>,
    /// Number of partitions; must be the same on all nodes.
    #[serde(default = "default_partition_count")]
    pub partition_count: u32,
    /// Bearer token required by the admin interface. Without it, no authentication is required.
    #[serde(default)]
    pub operator_token: Option<BearerToken>,
    /// Limits.
    #[serde(default)]
    pub limits: NodeLimits,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The `[node.limits]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeLimits {
    /// Maximum number of attempts of a repeatable call, including the first.
    pub max_attempts: u32,
    /// Maximum size of an admin request's body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            max_body_bytes: 1024 * 1024,
        }
    }
}

fn default_partition_count() -> u32 {
    DEFAULT_PARTITION_COUNT
}

impl ProcessSettings for NodeProcessSettings {
    const PROCESS: &'static str = "node";

    fn from_file(file: SettingsFile) -> Result<Self, &'static str> {
        match file {
            SettingsFile::Node(settings) => Ok(settings),
            other => Err(other.process()),
        }
    }

    fn check(&self) -> Result<(), InvalidValue> {
        check_not_empty("name", self.name.as_str())?;
        check_not_empty("zone", self.zone.as_str())?;
        check_url("log_url", &self.log_url)?;
        if let Some(url) = &self.machines_url {
            check_url("machines_url", url)?;
        }
        if !(1..=MAX_PARTITION_COUNT).contains(&self.partition_count) {
            let problem = format!("must be between 1 and {MAX_PARTITION_COUNT}");
            return Err(InvalidValue::new("partition_count", problem));
        }
        check_positive("limits.max_attempts", u64::from(self.limits.max_attempts))?;
        check_positive("limits.max_body_bytes", self.limits.max_body_bytes as u64)
    }
}
