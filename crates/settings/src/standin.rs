//! Settings of `elderworks-standin`: small services that take the platform's place in tests.

use std::net::SocketAddr;

use elderworks_types::{EngineId, ModelName, NodeId, ToolName, ZoneId};
use serde::Deserialize;

use crate::error::Problem;
use crate::file::{ProcessSettings, SettingsFile};
use crate::logging::LoggingSettings;
use crate::node::check_positive;

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
    /// Machines listed as live at the start.
    #[serde(default)]
    pub live: Vec<NodeId>,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// The `[weights]` table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsStandinSettings {
    /// Where it listens (HTTP).
    pub listen: SocketAddr,
    /// Bytes that it hands out per second, over all readers.
    #[serde(default = "default_bytes_per_second")]
    pub bytes_per_second: u64,
    /// Logging.
    #[serde(default)]
    pub logging: LoggingSettings,
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

fn default_bytes_per_second() -> u64 {
    100 * 1024 * 1024
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
    check_positive("bytes_per_second", settings.bytes_per_second)
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
