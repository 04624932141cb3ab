//! Settings of all processes, and logging setup.
//!
//! A settings file is a TOML file with one table named after its process, for example `[node]`.
//! [`load()`] reads and validates it; [`load_with`] also applies `--set` flags. Errors name the file and
//! the line, and suggest the most similar known key for an unknown one.

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
