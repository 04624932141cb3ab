//! The file as a whole: one table, named after its process.

use serde::Deserialize;

use crate::error::Problem;
use crate::node::NodeProcessSettings;
use crate::sidecar::SidecarProcessSettings;
use crate::standin::{
    EngineStandinSettings, LogStandinSettings, MachinesStandinSettings, ToolStandinSettings,
    WeightsStandinSettings,
};

/// Names of the tables that a file can hold.
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
    /// `elderworks node`.
    Node(NodeProcessSettings),
    /// `elderworks sidecar`.
    Sidecar(SidecarProcessSettings),
    /// `elderworks-standin log`.
    Log(LogStandinSettings),
    /// `elderworks-standin engine`.
    Engine(EngineStandinSettings),
    /// `elderworks-standin tool`.
    Tool(ToolStandinSettings),
    /// `elderworks-standin machines`.
    Machines(MachinesStandinSettings),
    /// `elderworks-standin weights`.
    Weights(WeightsStandinSettings),
}

impl SettingsFile {
    /// The table's name.
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

    /// Checks ranges and addresses.
    pub fn check(&self) -> Result<(), Problem> {
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
    /// Name of the table that holds them.
    const PROCESS: &'static str;

    /// These settings, if the file is for this process; the file's process otherwise.
    fn from_file(file: SettingsFile) -> Result<Self, &'static str>;

    /// Checks ranges and addresses.
    fn check(&self) -> Result<(), Problem>;
}
