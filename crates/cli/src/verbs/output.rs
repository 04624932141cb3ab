//! Forms of output.

use std::str::FromStr;

use serde::Serialize;

use super::VerbError;

/// How documents are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// A table, for people.
    #[default]
    Table,
    /// JSON.
    Json,
    /// YAML, as `apply` reads it.
    Yaml,
}

/// A word that names no form of output.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected table, json or yaml, found {0:?}")]
pub struct UnknownFormat(String);

impl FromStr for OutputFormat {
    type Err = UnknownFormat;

    fn from_str(word: &str) -> Result<Self, UnknownFormat> {
        match word {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "yaml" => Ok(Self::Yaml),
            other => Err(UnknownFormat(other.to_owned())),
        }
    }
}

impl OutputFormat {
    /// Prints `value`; `table` is called where a table is wanted.
    pub(super) fn print<T: Serialize>(
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
