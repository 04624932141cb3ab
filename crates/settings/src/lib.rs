//! Settings files of every process: TOML, checked, with the nearest known key on a mistake.
//!
//! A file holds one table named after its process, for example `[node]`. [`load`] reads it, lays
//! the `--set` flags over it and checks the result; every problem names the file, the line and,
//! where a key is unknown, the nearest known one.

mod check;
pub mod error;
pub mod file;
pub mod load;
pub mod logging;
pub mod node;
pub mod overrides;
pub mod sidecar;
pub mod standin;

pub use error::SettingsError;
pub use file::{ProcessSettings, SettingsFile};
pub use load::{check_file, from_flags, load, load_with, values_from_flags};
pub use logging::{LogFormat, LoggingSettings, init_logging, init_logging_to};
pub use node::{NodeLimits, NodeProcessSettings};
pub use overrides::Override;
pub use sidecar::{BearerToken, SidecarLimits, SidecarProcessSettings};
pub use standin::{
    EngineStandinSettings, ListedEngine, ListedNode, LogStandinSettings, MachinesStandinSettings,
    StoredWeights, ToolStandinSettings, WeightsStandinSettings,
};
