//! Loading and validating settings from files and `--set` flags.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use toml::{Spanned, Table};

use crate::error::SettingsError;
use crate::file::{PROCESSES, ProcessSettings, SettingsFile};
use crate::overrides::{Override, apply};

/// Maximum edit distance, in characters, between an unknown key and a suggested one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Loads the settings of one process from a file.
///
/// # Errors
/// Returns an error if the file can't be read, is malformed, belongs to another process or contains
/// invalid values.
pub fn load<T: ProcessSettings>(path: &Path) -> Result<T, SettingsError> {
    load_with(path, &[])
}

/// Loads the settings of one process from a file, with values overridden by flags.
///
/// # Errors
/// Returns the errors of [`load`], or [`SettingsError::Flag`] for an invalid flag.
pub fn load_with<T: ProcessSettings>(
    path: &Path,
    overrides: &[Override],
) -> Result<T, SettingsError> {
    let text = read(path)?;
    let file = if overrides.is_empty() {
        parse(path, &text)?
    } else {
        parse_overridden::<T>(path, &text, overrides)?
    };
    let settings = T::from_file(file).map_err(|found| SettingsError::WrongProcess {
        path: path.to_owned(),
        expected: T::PROCESS,
        found,
    })?;
    settings.check().map_err(|problem| SettingsError::Invalid {
        path: path.to_owned(),
        problem,
    })?;
    Ok(settings)
}

/// Creates the settings of one process from flags only, without a file.
///
/// # Errors
/// Returns [`SettingsError::Flag`] if the flags don't form valid settings.
pub fn from_flags<T: ProcessSettings>(overrides: &[Override]) -> Result<T, SettingsError> {
    let table = table_from_flags(T::PROCESS, overrides)?;
    let flag_error = |problem: String| flag_error(overrides, problem);
    let file = SettingsFile::deserialize(table)
        .map_err(|error| flag_error(describe_error(error.message())))?;
    let settings = T::from_file(file)
        .map_err(|found| flag_error(format!("the flags contain settings for `{found}`")))?;
    settings
        .check()
        .map_err(|problem| flag_error(problem.to_string()))?;
    Ok(settings)
}

/// Creates a value other than a process's settings from flags only. The caller validates it.
///
/// # Errors
/// Returns [`SettingsError::Flag`] if the flags can't be deserialized as `T`.
pub fn values_from_flags<T: DeserializeOwned>(overrides: &[Override]) -> Result<T, SettingsError> {
    let mut table = table_from_flags(VALUES_TABLE, overrides)?;
    let values = table
        .remove(VALUES_TABLE)
        .unwrap_or_else(|| Table::new().into());
    T::deserialize(values).map_err(|error| flag_error(overrides, describe_error(error.message())))
}

/// Name of the temporary table in [`values_from_flags`], which has no process.
const VALUES_TABLE: &str = "values";

fn table_from_flags(process: &str, overrides: &[Override]) -> Result<Table, SettingsError> {
    let mut table = Table::new();
    for change in overrides {
        apply(&mut table, process, change)?;
    }
    Ok(table)
}

fn flag_error(overrides: &[Override], problem: String) -> SettingsError {
    SettingsError::Flag {
        flag: join_flags(overrides),
        problem,
    }
}

/// Validates a settings file of any process and returns the name of the process.
///
/// # Errors
/// Returns an error if the file can't be read, is malformed or contains invalid values.
pub fn check_file(path: &Path) -> Result<&'static str, SettingsError> {
    let file = parse(path, &read(path)?)?;
    file.check().map_err(|problem| SettingsError::Invalid {
        path: path.to_owned(),
        problem,
    })?;
    Ok(file.process())
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

fn parse(path: &Path, text: &str) -> Result<SettingsFile, SettingsError> {
    check_tables(path, text)?;
    toml::from_str(text).map_err(|error| malformed(path, text, &error))
}

/// Checks that the file consists of exactly one table, named after a process.
fn check_tables(path: &Path, text: &str) -> Result<(), SettingsError> {
    let tables: BTreeMap<Spanned<String>, IgnoredAny> =
        toml::from_str(text).map_err(|error| malformed(path, text, &error))?;
    let mut names: Vec<Spanned<String>> = tables.into_keys().collect();
    names.sort_by_key(|name| name.span().start);
    let error_at = |position: usize, problem: String| SettingsError::Malformed {
        path: path.to_owned(),
        line: line_of(text, position),
        problem,
    };
    for name in &names {
        if !PROCESSES.contains(&name.as_ref().as_str()) {
            let problem = describe_unknown_key(name.as_ref(), &PROCESSES);
            return Err(error_at(name.span().start, problem));
        }
    }
    match names.as_slice() {
        [_] => Ok(()),
        [] => Err(error_at(
            0,
            format!("no table; expected one of {}", PROCESSES.join(", ")),
        )),
        [_, second, ..] => Err(error_at(
            second.span().start,
            "a file holds the table of one process only".to_owned(),
        )),
    }
}

/// Deserializes the file with the flags applied. If that fails, parses the file without the flags to
/// find the cause: errors in the file are reported with their line, others are attributed to the flags.
fn parse_overridden<T: ProcessSettings>(
    path: &Path,
    text: &str,
    overrides: &[Override],
) -> Result<SettingsFile, SettingsError> {
    let mut table: Table = toml::from_str(text).map_err(|error| malformed(path, text, &error))?;
    for change in overrides {
        apply(&mut table, T::PROCESS, change)?;
    }
    SettingsFile::deserialize(table).or_else(|error| {
        parse(path, text)?;
        Err(SettingsError::Flag {
            flag: join_flags(overrides),
            problem: describe_error(error.message()),
        })
    })
}

fn join_flags(overrides: &[Override]) -> String {
    let flags: Vec<String> = overrides.iter().map(Override::to_string).collect();
    flags.join(" --set ")
}

fn malformed(path: &Path, text: &str, error: &toml::de::Error) -> SettingsError {
    let span = error.span().unwrap_or(0..0);
    SettingsError::Malformed {
        path: path.to_owned(),
        line: line_of(text, span.start),
        problem: describe_error(error.message()),
    }
}

fn line_of(text: &str, position: usize) -> usize {
    let before = text.as_bytes().iter().take(position);
    1 + before.filter(|byte| **byte == b'\n').count()
}

/// Returns the deserializer's error message. For an unknown key, the message is replaced by one that
/// suggests the most similar known key; serde quotes the unknown key first, then the known ones.
fn describe_error(message: &str) -> String {
    let is_unknown_key =
        message.starts_with("unknown field") || message.starts_with("unknown variant");
    if !is_unknown_key {
        return message.to_owned();
    }
    let quoted: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let Some((unknown, known)) = quoted.split_first() else {
        return message.to_owned();
    };
    describe_unknown_key(unknown, known)
}

fn describe_unknown_key(unknown: &str, known: &[&str]) -> String {
    match most_similar(unknown, known) {
        Some(key) => format!("unknown key `{unknown}`; did you mean `{key}`?"),
        None => format!("unknown key `{unknown}`; known keys: {}", known.join(", ")),
    }
}

fn most_similar<'a>(unknown: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|key| (strsim::damerau_levenshtein(unknown, key), *key))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, key)| key)
}
