//! Settings of `elderworks-standin`: small services that take the platform's place in tests.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::{EngineId, ModelName, NodeId, ToolName, ZoneId};
use serde::Deserialize;

use crate::check::check_positive;
use crate::error::Problem;
use crate::file::{ProcessSettings, SettingsFile};
use crate::logging::LoggingSettings;

/// The `[log]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogStandinSettings {
    /// Where it listens (HTTP).
    pub listen: SocketAddr,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The `[engine]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineStandinSettings {
    /// Its name, as in the `Service` resource that lists it.
    pub id: EngineId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Where it listens (HTTP).
    pub listen: SocketAddr,
    /// Models that it has loaded.
    pub models: Vec<ModelName>,
    /// Blocks of its prefix cache.
    #[serde(default = "default_memory_blocks")]
    pub memory_blocks: u64,
    /// Requests that it works on at once.
    #[serde(default = "default_max_batch")]
    pub max_batch: u32,
    /// How much faster than a real engine it runs; 1 is real time.
    #[serde(default = "default_speed")]
    pub speed: f64,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The `[tool]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolStandinSettings {
    /// Where it listens (HTTP).
    pub listen: SocketAddr,
    /// Tools that it answers for.
    pub tools: Vec<ToolName>,
    /// Time of one execution.
    #[serde(default = "default_tool_latency", with = "humantime_serde")]
    pub latency: Duration,
    /// Whether a repeated idempotency key gives the first result without running again.
    #[serde(default = "default_keeps_keys")]
    pub keeps_keys: bool,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The `[machines]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachinesStandinSettings {
    /// Where it listens (HTTP).
    pub listen: SocketAddr,
    /// Time after which a change shows.
    #[serde(default = "default_machines_lag", with = "humantime_serde")]
    pub lag: Duration,
    /// Machines for nodes, listed as live at the start.
    #[serde(default)]
    pub nodes: Vec<ListedNode>,
    /// Machines for engines, listed as live at the start.
    #[serde(default)]
    pub engines: Vec<ListedEngine>,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// One of `[[machines.nodes]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedNode {
    /// The node's name.
    pub id: NodeId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Where other nodes reach it.
    pub address: SocketAddr,
}

/// One of `[[machines.engines]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedEngine {
    /// The engine's name.
    pub id: EngineId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Base URL, `http://IP:port`.
    pub url: String,
    /// Models that it can serve.
    #[serde(default)]
    pub models: Vec<ModelName>,
}

/// The `[weights]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsStandinSettings {
    /// Where it listens (HTTP).
    pub listen: SocketAddr,
    /// Requests that may be made at once.
    #[serde(default = "default_weights_burst")]
    pub burst: u32,
    /// Time after which one more request may be made.
    #[serde(default = "default_weights_interval", with = "humantime_serde")]
    pub interval: Duration,
    /// What it holds.
    #[serde(default)]
    pub models: Vec<StoredWeights>,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// One of `[[weights.models]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredWeights {
    /// The model.
    pub model: ModelName,
    /// Its newest version.
    pub version: String,
    /// Size in bytes.
    pub bytes: u64,
}

fn default_memory_blocks() -> u64 {
    4096
}

fn default_max_batch() -> u32 {
    16
}

fn default_speed() -> f64 {
    1.0
}

fn default_tool_latency() -> Duration {
    Duration::from_millis(20)
}

fn default_keeps_keys() -> bool {
    true
}

fn default_machines_lag() -> Duration {
    Duration::from_secs(3)
}

fn default_weights_burst() -> u32 {
    4
}

fn default_weights_interval() -> Duration {
    Duration::from_secs(1)
}

macro_rules! process_settings {
    ($settings:ident, $variant:ident, $process:literal, $check:expr) => {
        impl ProcessSettings for $settings {
            const PROCESS: &'static str = $process;

            fn from_file(file: SettingsFile) -> Result<Self, &'static str> {
                match file {
                    SettingsFile::$variant(settings) => Ok(settings),
                    other => Err(other.process()),
                }
            }

            fn check(&self) -> Result<(), Problem> {
                let check: fn(&$settings) -> Result<(), Problem> = $check;
                check(self)
            }
        }
    };
}

process_settings!(LogStandinSettings, Log, "log", |_| Ok(()));
process_settings!(EngineStandinSettings, Engine, "engine", check_engine);
process_settings!(ToolStandinSettings, Tool, "tool", |settings| {
    check_positive("tools", settings.tools.len() as u64)
});
process_settings!(MachinesStandinSettings, Machines, "machines", |_| Ok(()));
process_settings!(WeightsStandinSettings, Weights, "weights", |settings| {
    check_positive("burst", u64::from(settings.burst))?;
    check_positive("interval", settings.interval.as_millis() as u64)
});

fn check_engine(settings: &EngineStandinSettings) -> Result<(), Problem> {
    check_positive("models", settings.models.len() as u64)?;
    check_positive("memory_blocks", settings.memory_blocks)?;
    check_positive("max_batch", u64::from(settings.max_batch))?;
    if !settings.speed.is_finite() || settings.speed <= 0.0 {
        return Err(Problem::new("speed", "must be a number above 0"));
    }
    Ok(())
}
