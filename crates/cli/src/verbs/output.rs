//! Output formats of the operator verbs.

use std::str::FromStr;

use serde::Serialize;

use super::VerbError;

/// Format in which documents are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable table.
    #[default]
    Table,
    /// Indented JSON.
    Json,
    /// YAML that `apply` accepts.
    Yaml,
}

/// Error for an unknown output format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected table, json or yaml, found {0:?}")]
pub struct UnknownFormat(String);

impl FromStr for OutputFormat {
    type Err = UnknownFormat;

    fn from_str(name: &str) -> Result<Self, UnknownFormat> {
        match name {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "yaml" => Ok(Self::Yaml),
            other => Err(UnknownFormat(other.to_owned())),
        }
    }
}

impl OutputFormat {
    /// Formats `value` as a string; `table` formats it for [`OutputFormat::Table`].
    pub(super) fn render<T: Serialize>(
        self,
        value: &T,
        table: impl FnOnce(&T) -> String,
    ) -> Result<String, VerbError> {
        match self {
            Self::Table => Ok(table(value)),
            Self::Json => serde_json::to_string_pretty(value)
                .map_err(|error| VerbError::Unexpected(error.to_string())),
            Self::Yaml => serde_norway::to_string(value)
                .map_err(|error| VerbError::Unexpected(error.to_string())),
        }
    }
}
