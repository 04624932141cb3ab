//! `--set key=value` flags, which override values of a settings file.

use std::fmt;
use std::str::FromStr;

use toml::{Table, Value};

use crate::error::SettingsError;

/// One `--set key=value` flag. The key is a dotted path within the process's table, for example
/// `limits.max_open_calls`. The value is parsed as TOML, or taken as a string if it isn't valid TOML.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    key: String,
    value: String,
}

impl Override {
    /// Creates an override that sets `key` to `value`.
    pub fn new(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: value.into(),
        }
    }
}

impl fmt::Display for Override {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}={}", self.key, self.value)
    }
}

/// Error returned when a flag is not of the form `key=value`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected key=value, found `{0}`")]
pub struct OverrideError(String);

impl FromStr for Override {
    type Err = OverrideError;

    fn from_str(text: &str) -> Result<Self, OverrideError> {
        match text.split_once('=') {
            Some((key, value)) if !key.is_empty() => Ok(Self::new(key, value)),
            _ => Err(OverrideError(text.to_owned())),
        }
    }
}

/// Sets the value of `change` in the table of `process`, creating missing tables.
///
/// # Errors
/// Returns an error if a part of the path exists and is not a table.
pub(crate) fn apply(
    file: &mut Table,
    process: &str,
    change: &Override,
) -> Result<(), SettingsError> {
    let path: Vec<&str> = std::iter::once(process)
        .chain(change.key.split('.'))
        .collect();
    let (last, tables) = path
        .split_last()
        .expect("the path starts with the process's name");
    let mut table = file;
    for key in tables {
        let entry = table
            .entry(key.to_string())
            .or_insert_with(|| Value::Table(Table::new()));
        table = entry.as_table_mut().ok_or_else(|| SettingsError::Flag {
            flag: change.to_string(),
            problem: format!("`{key}` is not a table"),
        })?;
    }
    table.insert(last.to_string(), parse_value(&change.value));
    Ok(())
}

fn parse_value(text: &str) -> Value {
    Value::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}
