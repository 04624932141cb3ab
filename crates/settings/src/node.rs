//! Settings of `elderworks node`.

use std::net::SocketAddr;

use elderworks_types::{NodeId, ZoneId};
use serde::Deserialize;

use crate::check::{check_not_empty, check_positive, check_url};
use crate::error::Problem;
use crate::file::{ProcessSettings, SettingsFile};
use crate::logging::LoggingSettings;
use crate::sidecar::BearerToken;

/// Partitions of the run space, unless the file says otherwise.
pub const DEFAULT_PARTITION_COUNT: u32 = 64;

/// Most partitions that a file may ask for.
pub const MAX_PARTITION_COUNT: u32 = 65_536;

/// The `[node]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeProcessSettings {
    /// Name of this machine, unique in the system and equal to its name on the machine list.
    pub name: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell within the zone, where the zone has several.
    #[serde(default)]
    pub cell: Option<String>,
    /// Where it takes connections from sidecars and peers (TCP).
    pub listen: SocketAddr,
    /// Where it takes gossip (UDP).
    pub gossip: SocketAddr,
    /// Where it serves operators, metrics and health (HTTP).
    pub admin: SocketAddr,
    /// Gossip addresses of other nodes to ask at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Base URL of the platform's log service.
    pub log_url: String,
    /// Base URL of the platform's machine list; without it, gossip alone tells who is there.
    #[serde(default)]
    pub machines_url: Option<String>,
    /// Number of partitions; must be the same on every node.
    #[serde(default = "default_partition_count")]
    pub partition_count: u32,
    /// Bearer token that operators must show; without it, the admin interface is open.
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
    /// Attempts of a repeatable call, the first included.
    pub max_attempts: u32,
    /// Largest body of an operator's request, in bytes.
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

    fn check(&self) -> Result<(), Problem> {
        check_not_empty("name", self.name.as_str())?;
        check_not_empty("zone", self.zone.as_str())?;
        check_url("log_url", &self.log_url)?;
        if let Some(url) = &self.machines_url {
            check_url("machines_url", url)?;
        }
        if !(1..=MAX_PARTITION_COUNT).contains(&self.partition_count) {
            let problem = format!("must be between 1 and {MAX_PARTITION_COUNT}");
            return Err(Problem::new("partition_count", problem));
        }
        check_positive("limits.max_attempts", u64::from(self.limits.max_attempts))?;
        check_positive("limits.max_body_bytes", self.limits.max_body_bytes as u64)
    }
}
