//! Settings of `elderworks-standin`, which provides replacements of the platform's services for tests
//! and local use.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::{EngineId, ModelName, NodeId, ToolName, ZoneId};
use serde::Deserialize;

use crate::check::check_positive;
use crate::error::InvalidValue;
use crate::file::{ProcessSettings, SettingsFile};
use crate::logging::LoggingSettings;

/// The `[log]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogStandinSettings {
    /// HTTP address on which the service listens.
    pub listen: SocketAddr,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The `[engine]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineStandinSettings {
    /// Id of the engine, the same as in the `Service` resource that lists it.
    pub id: EngineId,
    /// Zone of the engine.
    pub zone: ZoneId,
    /// HTTP address on which the service listens.
    pub listen: SocketAddr,
    /// Loaded models.
    pub models: Vec<ModelName>,
    /// Size of the prefix cache, in blocks.
    #[serde(default = "default_memory_blocks")]
    pub memory_blocks: u64,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_max_batch")]
    pub max_batch: u32,
    /// Speed relative to a real engine; 1 is real time.
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
    /// HTTP address on which the service listens.
    pub listen: SocketAddr,
    /// Tools that the service provides.
    pub tools: Vec<ToolName>,
    /// Duration of one invocation.
    #[serde(default = "default_tool_latency", with = "humantime_serde")]
    pub latency: Duration,
    /// Whether a repeated idempotency key returns the first result without another execution.
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
    /// HTTP address on which the service listens.
    pub listen: SocketAddr,
    /// Delay after which a change becomes visible.
    #[serde(default = "default_machines_lag", with = "humantime_serde")]
    pub lag: Duration,
    /// Node machines, initially listed as live.
    #[serde(default)]
    pub nodes: Vec<ListedNode>,
    /// Engine machines, initially listed as live.
    #[serde(default)]
    pub engines: Vec<ListedEngine>,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// An entry of `[[machines.nodes]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedNode {
    /// Name of the node.
    pub id: NodeId,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Address for other nodes.
    pub address: SocketAddr,
}

/// An entry of `[[machines.engines]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedEngine {
    /// Id of the engine.
    pub id: EngineId,
    /// Zone of the engine.
    pub zone: ZoneId,
    /// Base URL, `http://IP:port`.
    pub url: String,
    /// Models that the engine can serve.
    #[serde(default)]
    pub models: Vec<ModelName>,
}

/// The `[weights]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsStandinSettings {
    /// HTTP address on which the service listens.
    pub listen: SocketAddr,
    /// Maximum number of requests in a burst, before rate limiting.
    #[serde(default = "default_weights_burst")]
    pub burst: u32,
    /// Interval at which one further request is permitted.
    #[serde(default = "default_weights_interval", with = "humantime_serde")]
    pub interval: Duration,
    /// Stored models.
    #[serde(default)]
    pub models: Vec<StoredWeights>,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// An entry of `[[weights.models]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredWeights {
    /// The model.
    pub model: ModelName,
    /// Latest version.
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

            fn check(&self) -> Result<(), InvalidValue> {
                let check: fn(&$settings) -> Result<(), InvalidValue> = $check;
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

fn check_engine(settings: &EngineStandinSettings) -> Result<(), InvalidValue> {
    check_positive("models", settings.models.len() as u64)?;
    check_positive("memory_blocks", settings.memory_blocks)?;
    check_positive("max_batch", u64::from(settings.max_batch))?;
    if !settings.speed.is_finite() || settings.speed <= 0.0 {
        return Err(InvalidValue::new(
            "speed",
            "must be a finite number greater than 0",
        ));
    }
    Ok(())
}
