//! Settings of `elderworks sidecar`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::{TenantId, ZoneId};
use serde::Deserialize;

use crate::check::{check_duration, check_not_empty, check_positive};
use crate::error::InvalidValue;
use crate::file::{ProcessSettings, SettingsFile};
use crate::logging::LoggingSettings;

/// A secret that authenticates a caller. Its `Debug` output hides the secret.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(transparent)]
pub struct BearerToken(String);

impl BearerToken {
    /// Creates a token from a secret.
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// Returns the secret, for comparison with the token in a request.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for BearerToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("BearerToken(hidden)")
    }
}

/// The `[sidecar]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarProcessSettings {
    /// HTTP address on which the sidecar accepts calls.
    pub listen: SocketAddr,
    /// Listener addresses of some nodes, preferably in the same zone. Other nodes are discovered through
    /// them.
    pub nodes: Vec<SocketAddr>,
    /// Zone of the sidecar.
    pub zone: ZoneId,
    /// Program used for calls that don't name a run.
    #[serde(default)]
    pub default_program: Option<String>,
    /// Bearer token of each tenant.
    pub tenants: BTreeMap<TenantId, BearerToken>,
    /// Limits.
    #[serde(default)]
    pub limits: SidecarLimits,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The `[sidecar.limits]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SidecarLimits {
    /// Maximum number of concurrent calls; further ones are refused.
    pub max_open_calls: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout of calls without a deadline.
    #[serde(with = "humantime_serde")]
    pub call_timeout: Duration,
    /// Timeout for handing a call over to a node, after which it is refused as not run.
    #[serde(with = "humantime_serde")]
    pub hand_over_timeout: Duration,
}

impl Default for SidecarLimits {
    fn default() -> Self {
        Self {
            max_open_calls: 1024,
            max_body_bytes: 1024 * 1024,
            call_timeout: Duration::from_secs(600),
            hand_over_timeout: Duration::from_secs(30),
        }
    }
}

impl ProcessSettings for SidecarProcessSettings {
    const PROCESS: &'static str = "sidecar";

    fn from_file(file: SettingsFile) -> Result<Self, &'static str> {
        match file {
            SettingsFile::Sidecar(settings) => Ok(settings),
            other => Err(other.process()),
        }
    }

    fn check(&self) -> Result<(), InvalidValue> {
        check_not_empty("zone", self.zone.as_str())?;
        if self.nodes.is_empty() {
            return Err(InvalidValue::new("nodes", "at least one node is needed"));
        }
        check_tenants(&self.tenants)?;
        check_positive("limits.max_open_calls", self.limits.max_open_calls as u64)?;
        check_positive("limits.max_body_bytes", self.limits.max_body_bytes as u64)?;
        check_duration("limits.call_timeout", self.limits.call_timeout)?;
        check_duration("limits.hand_over_timeout", self.limits.hand_over_timeout)
    }
}

fn check_tenants(tenants: &BTreeMap<TenantId, BearerToken>) -> Result<(), InvalidValue> {
    let mut seen = BTreeSet::new();
    for (tenant, token) in tenants {
        let key = format!("tenants.{tenant}");
        check_not_empty(&key, token.expose())?;
        if !seen.insert(token) {
            return Err(InvalidValue::new(key, "another tenant has the same token"));
        }
    }
    Ok(())
}
