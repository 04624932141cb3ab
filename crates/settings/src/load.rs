//! Reading a file, laying flags over it, and saying what is wrong with it.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use toml::{Spanned, Table};

use crate::error::SettingsError;
use crate::file::{PROCESSES, ProcessSettings, SettingsFile};
use crate::overrides::{Override, apply};

/// Largest edit distance at which a known key is suggested for an unknown one.
const SUGGESTION_DISTANCE: usize = 3;

/// Reads and checks the settings of one process.
pub fn load<T: ProcessSettings>(path: &Path) -> Result<T, SettingsError> {
    load_with(path, &[])
}

/// Reads the settings of one process, with flags laid over the file.
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
    let settings = T::from_file(file).map_err(|found| SettingsError::OtherProcess {
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

/// Builds and checks the settings of one process from flags alone.
pub fn from_flags<T: ProcessSettings>(overrides: &[Override]) -> Result<T, SettingsError> {
    let table = table_of(T::PROCESS, overrides)?;
    let flag_error = |problem: String| flag_error(overrides, problem);
    let file =
        SettingsFile::deserialize(table).map_err(|error| flag_error(describe(error.message())))?;
    let settings = T::from_file(file)
        .map_err(|found| flag_error(format!("these settings are for `{found}`")))?;
    settings
        .check()
        .map_err(|problem| flag_error(problem.to_string()))?;
    Ok(settings)
}

/// Builds values that are no process's settings from flags alone, over their defaults; the caller
/// checks them.
pub fn values_from_flags<T: DeserializeOwned>(overrides: &[Override]) -> Result<T, SettingsError> {
    let mut table = table_of(VALUES, overrides)?;
    let values = table.remove(VALUES).unwrap_or_else(|| Table::new().into());
    T::deserialize(values).map_err(|error| flag_error(overrides, describe(error.message())))
}

/// Stands for the process's table where there is none.
const VALUES: &str = "values";

fn table_of(process: &str, overrides: &[Override]) -> Result<Table, SettingsError> {
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

/// Reads and checks a file of any process; returns which process it is for.
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

/// Checks that the file holds one table and that it is named after a process.
fn check_tables(path: &Path, text: &str) -> Result<(), SettingsError> {
    let tables: BTreeMap<Spanned<String>, IgnoredAny> =
        toml::from_str(text).map_err(|error| malformed(path, text, &error))?;
    let mut names: Vec<Spanned<String>> = tables.into_keys().collect();
    names.sort_by_key(|name| name.span().start);
    let at = |position: usize, problem: String| SettingsError::Malformed {
        path: path.to_owned(),
        line: line_of(text, position),
        problem,
    };
    for name in &names {
        if !PROCESSES.contains(&name.as_ref().as_str()) {
            let problem = describe_unknown(name.as_ref(), &PROCESSES);
            return Err(at(name.span().start, problem));
        }
    }
    match names.as_slice() {
        [_] => Ok(()),
        [] => Err(at(
            0,
            format!("no table; expected one of {}", PROCESSES.join(", ")),
        )),
        [_, second, ..] => Err(at(
            second.span().start,
            "a file holds the table of one process only".to_owned(),
        )),
    }
}

/// Decodes file and flags together. Where that fails, the file alone is tried: a mistake of its
/// own is reported with its line, any other is the flags'.
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
            problem: describe(error.message()),
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
        problem: describe(error.message()),
    }
}

fn line_of(text: &str, position: usize) -> usize {
    let before = text.as_bytes().iter().take(position);
    1 + before.filter(|byte| **byte == b'\n').count()
}

/// The decoder's message, with the nearest known key where one is unknown. The decoder's message
/// quotes the unknown key first and the known ones after it.
fn describe(message: &str) -> String {
    let is_unknown_key =
        message.starts_with("unknown field") || message.starts_with("unknown variant");
    if !is_unknown_key {
        return message.to_owned();
    }
    let quoted: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let Some((unknown, known)) = quoted.split_first() else {
        return message.to_owned();
    };
    describe_unknown(unknown, known)
}

fn describe_unknown(unknown: &str, known: &[&str]) -> String {
    match nearest(unknown, known) {
        Some(key) => format!("unknown key `{unknown}`; did you mean `{key}`?"),
        None => format!("unknown key `{unknown}`; known keys: {}", known.join(", ")),
    }
}

fn nearest<'a>(unknown: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|key| (strsim::damerau_levenshtein(unknown, key), *key))
        .filter(|(distance, _)| *distance <= SUGGESTION_DISTANCE)
        .min()
        .map(|(_, key)| key)
}
