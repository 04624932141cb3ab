//! The settings file, which consists of one table named after its process.

use serde::Deserialize;

use crate::error::InvalidValue;
use crate::node::NodeProcessSettings;
use crate::sidecar::SidecarProcessSettings;
use crate::standin::{
    EngineStandinSettings, LogStandinSettings, MachinesStandinSettings, ToolStandinSettings,
    WeightsStandinSettings,
};

/// Names of the tables that a settings file may contain.
pub const PROCESSES: [&str; 7] = [
    NodeProcessSettings::PROCESS,
    SidecarProcessSettings::PROCESS,
    LogStandinSettings::PROCESS,
    EngineStandinSettings::PROCESS,
    ToolStandinSettings::PROCESS,
    MachinesStandinSettings::PROCESS,
    WeightsStandinSettings::PROCESS,
];

/// A parsed settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SettingsFile {
    /// Settings of `elderworks node`.
    Node(NodeProcessSettings),
    /// Settings of `elderworks sidecar`.
    Sidecar(SidecarProcessSettings),
    /// Settings of `elderworks-standin log`.
    Log(LogStandinSettings),
    /// Settings of `elderworks-standin engine`.
    Engine(EngineStandinSettings),
    /// Settings of `elderworks-standin tool`.
    Tool(ToolStandinSettings),
    /// Settings of `elderworks-standin machines`.
    Machines(MachinesStandinSettings),
    /// Settings of `elderworks-standin weights`.
    Weights(WeightsStandinSettings),
}

impl SettingsFile {
    /// Returns the name of the table.
    pub fn process(&self) -> &'static str {
        match self {
            SettingsFile::Node(_) => NodeProcessSettings::PROCESS,
            SettingsFile::Sidecar(_) => SidecarProcessSettings::PROCESS,
            SettingsFile::Log(_) => LogStandinSettings::PROCESS,
            SettingsFile::Engine(_) => EngineStandinSettings::PROCESS,
            SettingsFile::Tool(_) => ToolStandinSettings::PROCESS,
            SettingsFile::Machines(_) => MachinesStandinSettings::PROCESS,
            SettingsFile::Weights(_) => WeightsStandinSettings::PROCESS,
        }
    }

    /// Validates ranges and addresses.
    ///
    /// # Errors
    /// Returns the first invalid value.
    pub fn check(&self) -> Result<(), InvalidValue> {
        match self {
            SettingsFile::Node(settings) => settings.check(),
            SettingsFile::Sidecar(settings) => settings.check(),
            SettingsFile::Log(settings) => settings.check(),
            SettingsFile::Engine(settings) => settings.check(),
            SettingsFile::Tool(settings) => settings.check(),
            SettingsFile::Machines(settings) => settings.check(),
            SettingsFile::Weights(settings) => settings.check(),
        }
    }
}

/// The settings of one kind of process.
pub trait ProcessSettings: Sized {
    /// Name of the table that contains the settings.
    const PROCESS: &'static str;

    /// Returns the settings contained in `file`.
    ///
    /// # Errors
    /// Returns the name of the file's table if it belongs to another process.
    fn from_file(file: SettingsFile) -> Result<Self, &'static str>;

    /// Validates ranges and addresses.
    ///
    /// # Errors
    /// Returns the first invalid value.
    fn check(&self) -> Result<(), InvalidValue>;
}
