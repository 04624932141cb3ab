//! Errors in settings files and flags.

use std::path::PathBuf;

/// Error returned when a settings file or a `--set` flag is invalid.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or contains an unknown key or a value of the wrong type.
    #[error("{}:{line}: {problem}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// Description of the error; suggests the most similar known key for an unknown one.
        problem: String,
    },
    /// The file contains the settings of another process.
    #[error("{}: expected settings for `{expected}`, found settings for `{found}`", path.display())]
    WrongProcess {
        /// The file.
        path: PathBuf,
        /// The process that was started.
        expected: &'static str,
        /// The process whose settings the file contains.
        found: &'static str,
    },
    /// A value is out of range or conflicts with another value.
    #[error("{}: {problem}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The key and the reason.
        problem: InvalidValue,
    },
    /// A `--set` flag is invalid.
    #[error("--set {flag}: {problem}")]
    Flag {
        /// The flag as given.
        flag: String,
        /// Description of the error.
        problem: String,
    },
}

/// A value that is out of range or conflicts with another value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct InvalidValue {
    /// Dotted path of the key within the process's table.
    pub key: String,
    /// Why the value is invalid.
    pub problem: String,
}

impl InvalidValue {
    /// Creates an error for the value of `key`.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            problem: problem.into(),
        }
    }
}
